#pragma once

#include "Tests/Site/Support/ByteServer.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** A server that answers in each wrong way that a reader must bear, alone and
 * combined: what is wrong with the bytes, whose id they bear, and whether they
 * take the place of the answer or come beside it. */
namespace lavender::tests {

/** How the bytes of a wrong answer go on. */
enum class answer_shape
{
  Whole,
  /** Whole, with a status that HTTP doesn't know. */
  InvalidStatus,
  /** Whole, with a line in the head that begins with a blank. */
  FoldedLine,
  /** The connection is closed in the head. */
  CutHead,
  /** The connection is closed in the body. */
  CutBody,
  /** Nothing is sent. */
  Missing,
  /** One byte after the other, without end. */
  DrippingHead,
  DrippingBody,
  /** Without end in that part, as fast as the reader takes it. */
  EndlessHead,
  EndlessLine,
  EndlessEvent,
  EndlessChunkExtension,
  EndlessBody,
  EndlessTrailer
};

/** Whose id a wrong answer bears. */
enum class answer_id
{
  Own,
  Another,
  None
};

/** When a wrong answer is sent. */
enum class answer_place
{
  /** In place of the right one. */
  Instead,
  /** After the right one, in the same write. */
  ExtraAtOnce,
  /** Left by an earlier request: after the next request on its connection has
   * arrived, before the answer to that one. */
  ExtraLate
};

struct wrong_way
{
  answer_shape mShape = answer_shape::Whole;
  answer_id mId = answer_id::Own;
  answer_place mPlace = answer_place::Instead;
};

/** Each combination that differs from a right answer. */
std::vector<wrong_way>
AllWrongWays();

std::string
NameOf(const wrong_way& aWay);

/** A response in its parts. */
struct answer_parts
{
  unsigned mStatus = 200;
  std::string mId;
  /** Further fields; each ends with a line break. */
  std::string mFields;
  std::string mBody;
};

/** The report of a sound model server. */
answer_parts
ReportParts();

std::string
RightBytes(const answer_parts& aParts);

/** Writes the bytes of a wrong answer alone, wherever they stand.
 * @param aParts the answer whose shape is wrong; an answer that bears no own id
 * is made of another request's parts */
void
WriteShaped(byte_channel& aChannel,
            answer_shape aShape,
            const answer_parts& aParts);

/** A byte_server that answers the requests of its victims in one wrong way, and
 * all others rightly. */
class hostile_server
{
public:
  /** Makes the right answer to a request. */
  using answer_maker = std::function<answer_parts(const edge::request&)>;

  hostile_server(test_loop& aLoop,
                 const wrong_way& aWay,
                 answer_maker aMakeAnswer);

  /** Whether a request is a victim, whose answer is wrong or comes beside an
   * extra one; null if each one is. */
  std::function<bool(const edge::request&)> mIsVictim;
  /** Rightly answers each request for a report; none if those are requests like
   * others. */
  std::optional<answer_parts> mReport = ReportParts();
  /** Answers a request in the test's own way, and returns whether it did; null
   * for none. */
  std::function<bool(const byte_channel_ptr&, const edge::request&)> mServe;
  /** Called before wrong bytes are sent; null for nothing. */
  std::function<void()> mOnWrong;
  /** Number of further wrong answers at most. */
  int mWrongsLeft = 1000;
  /** What answers to another request are made of. */
  answer_parts mAnother{ 200,
                         "another",
                         "X-Weight-Versions: 1\r\nX-Server-Load: 7,0,8,300\r\n"
                         "X-Server-Seal: seal-another\r\n",
                         EventBytes("another", 0, 6) };
  /** Wrong answers, and extra ones, that were sent. */
  int mWrongs = 0;
  byte_server mServer;

private:
  void Serve(const byte_channel_ptr& aChannel, const edge::request& aRequest);
  void ServeVictim(const byte_channel_ptr& aChannel,
                   const edge::request& aRequest);
  void SendRight(const byte_channel_ptr& aChannel, const answer_parts& aParts);
  void SendWrong(byte_channel& aChannel, const answer_parts& aParts);
  /** The parts of a wrong answer in place of aRight or after it. */
  answer_parts WrongParts(const answer_parts& aRight) const;

  const wrong_way mWay;
  answer_maker mMakeAnswer;
  /** Extra responses that are still to come; none for a connection that has
   * served no request. */
  std::map<byte_channel_ptr, answer_parts> mLate;
};

} // namespace lavender::tests
