#include "Libraries/Edge/ResponseReader.h"

#include "Libraries/Edge/HeadSyntax.h"
#include "Libraries/Edge/ResponseBounds.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace lavender::edge {

namespace http = boost::beast::http;

namespace {

/** Whether the head is made of those of two responses. */
bool
IsMadeOfTwo(const header_list& aHeaders, std::string_view aReason)
{
  const auto& fields = aHeaders.mFields;
  return HoldsStatusLine(aReason) ||
         std::any_of(fields.begin(), fields.end(), [](const auto& aField) {
           return HoldsStatusLine(aField.second);
         });
}

} // namespace

response_reader::response_reader()
{
  // One part at a time: the parser would add the fields of a trailer to those
  // of the head.
  mParser.eager(false);
  mParser.header_limit(kMaximumHeadBytes);
  // Without a limit the parser refuses a length in a head that comes alone.
  mParser.body_limit(std::numeric_limits<std::uint64_t>::max());
}

std::size_t
response_reader::Read(boost::asio::const_buffer aBytes)
{
  boost::system::error_code error;
  std::size_t used = 0;
  while (!error && mFault.empty() && used < aBytes.size() && !IsWhole()) {
    const bool isHead = !HasHead();
    const auto bytes = aBytes + used;
    const auto size = mParser.put(bytes, error);
    used += size;
    if (error && error != http::error::need_more) {
      mFault = error.message();
    } else if (isHead) {
      // The parser uses whole lines of a head.
      CheckLines({ static_cast<const char*>(bytes.data()), size });
    }
  }
  return used;
}

void
response_reader::CheckLines(std::string_view aLines)
{
  if (HoldsFoldedLine(aLines)) {
    mFault = "a folded line";
  } else if (HasHead()) {
    TakeHead();
  }
}

void
response_reader::TakeHead()
{
  const auto& message = mParser.get();
  mHead.mStatus = message.result_int();
  for (const auto& field : message) {
    mHead.mHeaders.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  const auto reason = message.reason();
  if (IsMadeOfTwo(mHead.mHeaders, { reason.data(), reason.size() })) {
    mFault = "a head within a head";
  } else if (!IsFinalStatus(mHead.mStatus)) {
    mFault = "no final status of HTTP";
  }
}

std::string
response_reader::TakeBody()
{
  return std::exchange(mParser.get().body(), {});
}

} // namespace lavender::edge
