#pragma once

#include "Libraries/Json/Value.h"

/** Takes a document apart without parsing its parts, so that a part that can't
 * be parsed spoils no other one. Parts are told apart by brackets and strings
 * alone; whether a part is JSON is up to whoever parses it. No I/O. */
namespace lavender::json {

/** A member of an object, as it stands in the document. */
struct raw_member
{
  /** Between its quotation marks, with escapes as they are. */
  std::string_view mName;
  std::string_view mValue;
};

/** The members of an object. Fails when its brackets don't match. */
result<std::vector<raw_member>>
SplitObject(std::string_view aText);

/** The elements of an array. Fails when its brackets don't match. */
result<std::vector<std::string_view>>
SplitArray(std::string_view aText);

/** The value of the first member with that name; empty if there is none. */
std::string_view
FindRaw(const std::vector<raw_member>& aMembers, std::string_view aName);

} // namespace lavender::json
