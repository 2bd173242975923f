#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <string>

namespace lavender::edge {

/** Body of a response of which each piece is taken as it arrives. Unlike
 * http::string_body it reserves no memory for the length that the server
 * announces, which may be any number. */
struct piece_body
{
  using value_type = std::string;

  class reader
  {
  public:
    template<bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>&, value_type& aPiece)
      : mPiece(aPiece)
    {
    }

    // Boost.Beast prescribes the names of these functions.
    // NOLINTBEGIN(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& aError)
    {
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBytes, boost::system::error_code& aError)
    {
      aError = {};
      for (auto it = boost::asio::buffer_sequence_begin(aBytes);
           it != boost::asio::buffer_sequence_end(aBytes);
           ++it) {
        const boost::asio::const_buffer bytes = *it;
        mPiece.append(static_cast<const char*>(bytes.data()), bytes.size());
      }
      return boost::asio::buffer_size(aBytes);
    }

    void finish(boost::system::error_code& aError) { aError = {}; }
    // NOLINTEND(readability-identifier-naming)

  private:
    value_type& mPiece;
  };
};

} // namespace lavender::edge
