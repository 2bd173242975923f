#pragma once

#include "Libraries/Edge/Message.h"

/** What HTTP/1.1 allows in the head of a message (RFC 9110, section 5, and
 * RFC 9112, section 3). A line break in a value would begin a field, or a whole
 * message, of its own. No I/O. */
namespace lavender::edge {

enum class head_part
{
  Method,
  Target,
  FieldName,
  FieldValue
};

struct head_fault
{
  head_part mPart = head_part::Method;
  /** Name of the field; empty if the fault isn't in one. */
  std::string mField;
};

/** A sentence for logs and errors. */
std::string
Describe(const head_fault& aFault);

/** Whether the text may be a method or the name of a field. */
bool
IsToken(std::string_view aText);

bool
IsFieldValue(std::string_view aText);

/** Whether HTTP knows the class of a status, and a response with it ends the
 * request (RFC 9110, section 15). One of class 1xx is an interim response. */
bool
IsFinalStatus(unsigned aStatus);

/** Whether the text may stand in a request line as a path with a query. Bytes
 * beyond ASCII may, though HTTP has them escaped: callers send them, and they
 * end no line. */
bool
IsTarget(std::string_view aText);

/** Whether a status line stands inside the text, which is a reason phrase or
 * the value of a field. The sender stopped in the middle of the head of one
 * response and went on with the next one, so what was read as one head is made
 * of two. */
bool
HoldsStatusLine(std::string_view aText);

/** Whether a line of a head begins with a blank, which makes it a part of the
 * field before it (RFC 9112, section 5.2).
 * @param aLines whole lines */
bool
HoldsFoldedLine(std::string_view aLines);

/** The first fault; none if the fields can be written. */
std::optional<head_fault>
FindFault(const header_list& aHeaders);

std::optional<head_fault>
FindFault(const request& aRequest);

} // namespace lavender::edge
