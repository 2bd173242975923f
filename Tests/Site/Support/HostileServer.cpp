#include "Tests/Site/Support/HostileServer.h"

namespace lavender::tests {

using namespace std::chrono_literals;

namespace {

constexpr char kReport[] =
  R"({"born":0,"models":[{"name":"model","version":1}],"busy":false,)"
  R"("seq":0,"running":0,"waiting":0})";
/** Long enough for the next request, however busy the machine is. */
constexpr char kKeepAlive[] = "Keep-Alive: timeout=60\r\n";
constexpr milliseconds kDripPause = 400ms;
const std::string kPlain(1000, 'a');

const std::vector<std::pair<answer_shape, const char*>> kShapes{
  { answer_shape::Whole, "whole" },
  { answer_shape::InvalidStatus, "invalid status" },
  { answer_shape::FoldedLine, "folded line" },
  { answer_shape::CutHead, "cut in the head" },
  { answer_shape::CutBody, "cut in the body" },
  { answer_shape::Missing, "no answer" },
  { answer_shape::DrippingHead, "dripping head" },
  { answer_shape::DrippingBody, "dripping body" },
  { answer_shape::EndlessHead, "head without end" },
  { answer_shape::EndlessLine, "line without end" },
  { answer_shape::EndlessEvent, "event without end" },
  { answer_shape::EndlessChunkExtension, "chunk extension without end" },
  { answer_shape::EndlessBody, "body without end" },
  { answer_shape::EndlessTrailer, "trailer without end" }
};
const std::vector<std::pair<answer_id, const char*>> kIds{
  { answer_id::Own, "" },
  { answer_id::Another, ", foreign id" },
  { answer_id::None, ", no id" }
};
const std::vector<std::pair<answer_place, const char*>> kPlaces{
  { answer_place::Instead, "" },
  { answer_place::ExtraAtOnce, ", extra at once" },
  { answer_place::ExtraLate, ", extra late" }
};

template<class Value>
std::string
NameIn(const std::vector<std::pair<Value, const char*>>& aNames, Value aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return {};
}

bool
IsWrong(const wrong_way& aWay)
{
  const bool isRight = aWay.mShape == answer_shape::Whole &&
                       aWay.mId == answer_id::Own &&
                       aWay.mPlace == answer_place::Instead;
  // Nothing bears no id, and nothing is no extra response.
  const bool isNothing =
    aWay.mShape == answer_shape::Missing &&
    (aWay.mId != answer_id::Own || aWay.mPlace != answer_place::Instead);
  return !isRight && !isNothing;
}

/** Head without its empty line. */
std::string
HeadOf(const answer_parts& aParts)
{
  std::string head = "HTTP/1.1 " + std::to_string(aParts.mStatus) + " x\r\n";
  if (!aParts.mId.empty()) {
    head += "X-Attempt-Id: " + aParts.mId + "\r\n";
  }
  return head + aParts.mFields;
}

} // namespace

answer_parts
ReportParts()
{
  return { 200, {}, {}, kReport };
}

std::vector<wrong_way>
AllWrongWays()
{
  std::vector<wrong_way> ways;
  for (const auto& [place, placeName] : kPlaces) {
    for (const auto& [id, idName] : kIds) {
      for (const auto& [shape, shapeName] : kShapes) {
        if (const wrong_way way{ shape, id, place }; IsWrong(way)) {
          ways.push_back(way);
        }
      }
    }
  }
  return ways;
}

std::string
NameOf(const wrong_way& aWay)
{
  return NameIn(kShapes, aWay.mShape) + NameIn(kIds, aWay.mId) +
         NameIn(kPlaces, aWay.mPlace);
}

std::string
RightBytes(const answer_parts& aParts)
{
  return ResponseBytes(
    aParts.mStatus, aParts.mId, aParts.mFields, aParts.mBody);
}

void
WriteShaped(byte_channel& aChannel,
            answer_shape aShape,
            const answer_parts& aParts)
{
  const auto whole = RightBytes(aParts);
  const auto head = HeadOf(aParts);
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n" +
                       (aParts.mBody.empty() ? "" : ChunkBytes(aParts.mBody));
  switch (aShape) {
    case answer_shape::Whole:
      aChannel.Write(whole);
      return;
    case answer_shape::InvalidStatus:
      aChannel.Write("HTTP/1.1 000" + whole.substr(whole.find(" x\r\n")));
      return;
    case answer_shape::FoldedLine: {
      auto parts = aParts;
      parts.mFields += (parts.mFields.empty() ? "X-Padding: a\r\n" : "") +
                       std::string(" folded\r\n");
      aChannel.Write(RightBytes(parts));
      return;
    }
    case answer_shape::CutHead:
      aChannel.WriteAndClose(head + "Content-Len");
      return;
    case answer_shape::CutBody:
      aChannel.WriteAndClose(whole.substr(0, whole.size() - 1));
      return;
    case answer_shape::Missing:
      return;
    case answer_shape::DrippingHead:
      aChannel.Write(head + "X-Padding: ");
      aChannel.WriteWithoutEnd("a", kDripPause);
      return;
    case answer_shape::DrippingBody:
      aChannel.Write(chunked);
      aChannel.WriteWithoutEnd(ChunkBytes("a"), kDripPause);
      return;
    case answer_shape::EndlessHead:
      aChannel.Write(head);
      aChannel.WriteWithoutEnd("X-Padding: " + kPlain + "\r\n");
      return;
    case answer_shape::EndlessLine:
      aChannel.Write(chunked);
      aChannel.WriteWithoutEnd(ChunkBytes(kPlain));
      return;
    case answer_shape::EndlessEvent:
      aChannel.Write(chunked);
      aChannel.WriteWithoutEnd(ChunkBytes("data: " + kPlain + "\n"));
      return;
    case answer_shape::EndlessChunkExtension:
      aChannel.Write(chunked + "4;x=");
      aChannel.WriteWithoutEnd(kPlain);
      return;
    case answer_shape::EndlessBody:
      aChannel.Write(head + "Content-Length: 1000000000000\r\n\r\n" +
                     aParts.mBody);
      aChannel.WriteWithoutEnd(": " + kPlain + "\n\n");
      return;
    case answer_shape::EndlessTrailer:
      aChannel.Write(chunked + "0\r\n");
      aChannel.WriteWithoutEnd("X-Padding: " + kPlain + "\r\n");
      return;
  }
}

hostile_server::hostile_server(test_loop& aLoop,
                               const wrong_way& aWay,
                               answer_maker aMakeAnswer)
  : mServer(aLoop,
            [this](const auto& aChannel, const auto& aRequest) {
              Serve(aChannel, aRequest);
            })
  , mWay(aWay)
  , mMakeAnswer(std::move(aMakeAnswer))
{
  mServer.mTellsReport = false;
}

void
hostile_server::Serve(const byte_channel_ptr& aChannel,
                      const edge::request& aRequest)
{
  if (aRequest.mTarget == "/report" && mReport) {
    SendRight(aChannel, *mReport);
    return;
  }
  if (mServe && mServe(aChannel, aRequest)) {
    return;
  }
  if (mWrongsLeft > 0 && (!mIsVictim || mIsVictim(aRequest))) {
    ServeVictim(aChannel, aRequest);
    return;
  }
  SendRight(aChannel, mMakeAnswer(aRequest));
}

void
hostile_server::ServeVictim(const byte_channel_ptr& aChannel,
                            const edge::request& aRequest)
{
  const auto right = mMakeAnswer(aRequest);
  switch (mWay.mPlace) {
    case answer_place::Instead:
      SendWrong(*aChannel, WrongParts(right));
      return;
    case answer_place::ExtraAtOnce:
      aChannel->Hold();
      SendRight(aChannel, right);
      SendWrong(*aChannel, WrongParts(right));
      aChannel->Release();
      return;
    case answer_place::ExtraLate:
      if (const auto late = mLate.find(aChannel); late != mLate.end()) {
        SendWrong(*aChannel, late->second);
      }
      SendRight(aChannel, right);
      return;
  }
}

void
hostile_server::SendRight(const byte_channel_ptr& aChannel,
                          const answer_parts& aParts)
{
  auto kept = aParts;
  kept.mFields += kKeepAlive;
  aChannel->Write(RightBytes(kept));
  if (mWay.mPlace == answer_place::ExtraLate) {
    mLate[aChannel] = WrongParts(aParts);
  }
}

void
hostile_server::SendWrong(byte_channel& aChannel, const answer_parts& aParts)
{
  ++mWrongs;
  --mWrongsLeft;
  if (mOnWrong) {
    mOnWrong();
  }
  WriteShaped(aChannel, mWay.mShape, aParts);
}

answer_parts
hostile_server::WrongParts(const answer_parts& aRight) const
{
  auto wrong = mWay.mId == answer_id::Own ? aRight : mAnother;
  if (mWay.mId == answer_id::None) {
    wrong.mId.clear();
  }
  return wrong;
}

} // namespace lavender::tests
