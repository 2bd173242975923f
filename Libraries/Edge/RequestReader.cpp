#include "Libraries/Edge/RequestReader.h"

#include <boost/beast/http/error.hpp>

namespace lavender::edge {

namespace http = boost::beast::http;

namespace {

/** HTTP/1.1 as Boost.Beast writes it. */
constexpr int kVersion11 = 11;
constexpr char kEndOfText = '\n';
/** Bytes of a field's line beside the name and the value, as the shortest line
 * has them and as it is sent on. */
constexpr std::size_t kShortestLineBytes = 3;
constexpr std::size_t kLineBytes = 4;

/** Removes and returns the first text. */
std::string
TakeText(std::string_view& aTexts)
{
  const auto end = aTexts.find(kEndOfText);
  std::string taken(aTexts.substr(0, end));
  aTexts.remove_prefix(end + 1);
  return taken;
}

} // namespace

request_reader::request_reader(const request_bounds& aBounds)
  : mBounds(aBounds)
{
  header_limit(static_cast<std::uint32_t>(aBounds.mHeadBytes));
  body_limit(aBounds.mBodyBytes);
  eager(true);
}

std::size_t
request_reader::Read(boost::asio::const_buffer aBytes, error_code& aError)
{
  aError = {};
  std::size_t used = 0;
  while (!aError && used < aBytes.size() && !IsWhole()) {
    const auto size = put(aBytes + used, aError);
    used += size;
    // The parser limits only what it is given at once.
    mHeadBytes += HasHead() ? 0 : size;
    if (mHeadBytes > mBounds.mHeadBytes) {
      aError = http::error::header_limit;
    }
  }
  if (aError == http::error::need_more) {
    aError = {};
  }
  return used;
}

void
request_reader::on_request_impl(verb,
                                text aMethod,
                                text aTarget,
                                int aVersion,
                                error_code& aError)
{
  aError = {};
  mMethod.assign(aMethod.data(), aMethod.size());
  mTarget.assign(aTarget.data(), aTarget.size());
  mIsOldVersion = aVersion < kVersion11;
}

void
request_reader::on_field_impl(field aField,
                              text aName,
                              text aValue,
                              error_code& aError)
{
  aError = {};
  auto& bytes = HasHead() ? mTrailerBytes : mFieldBytes;
  bytes += aName.size() + aValue.size() + kShortestLineBytes;
  if (bytes > mBounds.mHeadBytes) {
    aError = http::error::header_limit;
    return;
  }
  if (HasHead()) {
    return;
  }
  ++mFieldCount;
  mFields.append(aName.data(), aName.size()) += kEndOfText;
  mFields.append(aValue.data(), aValue.size()) += kEndOfText;
  if (aField == field::transfer_encoding) {
    mHasTransferEncoding = true;
  } else if (aField == field::host) {
    ++mHosts;
  } else if (aField == field::content_length) {
    ++mLengths;
    mIsLengthNumber =
      ParseInteger({ aValue.data(), aValue.size() }).has_value();
  }
}

void
request_reader::on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                                  error_code& aError)
{
  aError = {};
  if (aLength) {
    mBody = growing_body(static_cast<std::size_t>(*aLength));
  }
}

std::size_t
request_reader::on_body_impl(text aBytes, error_code& aError)
{
  aError = {};
  mBody.Append({ aBytes.data(), aBytes.size() });
  return aBytes.size();
}

std::size_t
request_reader::HeldBytes() const
{
  return mMethod.capacity() + mTarget.capacity() + mFields.capacity() +
         mBody.HeldBytes();
}

std::size_t
request_reader::TakenHeadBytes() const
{
  constexpr auto kFieldBytes =
    sizeof(decltype(header_list::mFields)::value_type);
  const auto head = mMethod.size() + mTarget.size() + mFields.size();
  const auto headSentOn = head + mFieldCount * kLineBytes;
  return head + mFieldCount * kFieldBytes + headSentOn;
}

request
request_reader::Take()
{
  request taken;
  taken.mMethod = std::move(mMethod);
  taken.mTarget = std::move(mTarget);
  taken.mKeepsConnection = keep_alive();
  taken.mHeaders.mFields.reserve(mFieldCount);
  std::string_view texts = mFields;
  while (!texts.empty()) {
    auto name = TakeText(texts);
    auto value = TakeText(texts);
    taken.mHeaders.Add(std::move(name), std::move(value));
  }
  std::string().swap(mFields);
  taken.mBody = mBody.Take();
  return taken;
}

} // namespace lavender::edge
