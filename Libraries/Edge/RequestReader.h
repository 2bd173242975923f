#pragma once

#include "Libraries/Edge/GrowingBody.h"
#include "Libraries/Edge/Message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lavender::edge {

/** Largest parts of a request, in bytes. */
struct request_bounds
{
  /** Of the request line with all fields, and of a trailer. */
  std::size_t mHeadBytes = 0;
  std::size_t mBodyBytes = 0;
};

/** Reads one request from the bytes that a caller sends. Until the request is
 * taken, it holds hardly more memory than these bytes. No I/O. */
class request_reader : private boost::beast::http::basic_parser<true>
{
public:
  using error_code = boost::system::error_code;

  explicit request_reader(const request_bounds& aBounds);

  /** Reads as much as is complete in itself: a field, a part of the body.
   * @param aError set if the bytes are no request inside the bounds
   * @return the number of bytes that were used; the others are passed again
   * with those that follow them */
  std::size_t Read(boost::asio::const_buffer aBytes, error_code& aError);

  bool HasHead() const { return is_header_done(); }
  bool IsWhole() const { return is_done(); }
  /** Whether the request is of HTTP/1.0. */
  bool IsOldVersion() const { return mIsOldVersion; }
  bool HasTransferEncoding() const { return mHasTransferEncoding; }
  /** Number of fields that state the length of the body. */
  int Lengths() const { return mLengths; }
  /** Whether the last such field is a number and nothing else. */
  bool IsLengthNumber() const { return mIsLengthNumber; }
  /** Number of fields that name the host. */
  int Hosts() const { return mHosts; }

  /** Memory held, in bytes. */
  std::size_t HeldBytes() const;
  std::size_t BodyBytes() const { return mBody.Size(); }
  /** Memory of the head that Take returns, and of the head as it is sent on, in
   * bytes. */
  std::size_t TakenHeadBytes() const;
  /** The whole request, once. Fields of its trailer aren't among those of the
   * head, where they could pass for a key or a host (RFC 9110, section
   * 6.5.1). */
  request Take();

private:
  using verb = boost::beast::http::verb;
  using field = boost::beast::http::field;
  using text = boost::beast::string_view;

  // Boost.Beast prescribes the names of these functions.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(verb aVerb,
                       text aMethod,
                       text aTarget,
                       int aVersion,
                       error_code& aError) override;
  void on_response_impl(int, text, int, error_code&) override {}
  void on_field_impl(field aField,
                     text aName,
                     text aValue,
                     error_code& aError) override;
  void on_header_impl(error_code& aError) override { aError = {}; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         error_code& aError) override;
  std::size_t on_body_impl(text aBytes, error_code& aError) override;
  void on_chunk_header_impl(std::uint64_t, text, error_code& aError) override
  {
    aError = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 text aBytes,
                                 error_code& aError) override
  {
    return on_body_impl(aBytes, aError);
  }
  void on_finish_impl(error_code& aError) override { aError = {}; }
  // NOLINTEND(readability-identifier-naming)

  const request_bounds mBounds;
  std::string mMethod;
  std::string mTarget;
  /** Names and values in turn, each with a line feed behind it, which neither
   * can hold. */
  std::string mFields;
  std::size_t mFieldCount = 0;
  /** Size of the fields' lines at least, in the head and in the trailer. */
  std::size_t mFieldBytes = 0;
  std::size_t mTrailerBytes = 0;
  /** Bytes that were used before the end of the head. */
  std::size_t mHeadBytes = 0;
  growing_body mBody;
  int mLengths = 0;
  int mHosts = 0;
  bool mIsLengthNumber = false;
  bool mHasTransferEncoding = false;
  bool mIsOldVersion = false;
};

} // namespace lavender::edge
