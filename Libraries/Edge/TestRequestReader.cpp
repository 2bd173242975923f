#include "Libraries/Edge/RequestReader.h"

#include <boost/beast/http/error.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;

namespace {

constexpr edge::request_bounds kBounds{ 16384, 1 << 20 };

struct read_end
{
  boost::system::error_code mError;
  /** Whether the request is whole. */
  bool mIsWhole = false;
  edge::request mRequest;
  /** Largest memory that the reader has held. */
  std::size_t mMostHeld = 0;
};

/** Reads a request whose bytes come in pieces, each behind what was left of the
 * one before. */
read_end
ReadInPieces(const std::vector<std::string>& aPieces)
{
  edge::request_reader reader(kBounds);
  read_end end;
  std::string unused;
  for (const auto& piece : aPieces) {
    unused += piece;
    unused.erase(0, reader.Read(boost::asio::buffer(unused), end.mError));
    end.mMostHeld = std::max(end.mMostHeld, reader.HeldBytes());
    if (end.mError || reader.IsWhole()) {
      break;
    }
  }
  end.mIsWhole = !end.mError && reader.IsWhole();
  if (end.mIsWhole) {
    end.mRequest = reader.Take();
  }
  return end;
}

std::vector<std::string>
InPieces(const std::string& aBytes, std::size_t aSize)
{
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < aBytes.size(); at += aSize) {
    pieces.push_back(aBytes.substr(at, aSize));
  }
  return pieces;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRequestReader)

// Guards against a key, a host or any other field that a caller gets past the
// head in a trailer.
BOOST_AUTO_TEST_CASE(FieldsOfATrailerAreNoneOfTheHead)
{
  const std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "4\r\nbody\r\n0\r\nAuthorization: Token k\r\n"
                            "Host: other\r\nX-Attempt-Id: 1\r\n\r\n";
  for (std::size_t size :
       { std::size_t{ 1 }, std::size_t{ 7 }, bytes.size() }) {
    const auto end = ReadInPieces(InPieces(bytes, size));
    BOOST_REQUIRE(end.mIsWhole);
    BOOST_TEST(end.mRequest.mBody == "body");
    BOOST_TEST(end.mRequest.mHeaders.mFields.size() == 2u);
    BOOST_TEST(*end.mRequest.mHeaders.Find("Host") == "h");
    BOOST_TEST(!end.mRequest.mHeaders.Find("Authorization"));
  }
}

// Guards against heads without a limit where each line comes alone.
BOOST_AUTO_TEST_CASE(LinesThatComeAloneAreLimitedTogether)
{
  for (const std::string line : { "a:\r\n", "X-Padding: 1234567890\r\n" }) {
    std::vector<std::string> pieces{ "POST /a HTTP/1.1\r\n" };
    pieces.resize(20'000, line);
    const auto end = ReadInPieces(pieces);
    BOOST_TEST((end.mError == boost::beast::http::error::header_limit));
    BOOST_TEST(end.mMostHeld < 3 * kBounds.mHeadBytes);
  }
}

// Guards against a trailer that is larger than a head may be.
BOOST_AUTO_TEST_CASE(TrailersAreLimitedAsHeadsAre)
{
  std::string bytes = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "0\r\n";
  for (int i = 0; i < 5000; ++i) {
    bytes += "a:\r\n";
  }
  const auto end = ReadInPieces({ bytes + "\r\n" });
  BOOST_TEST((end.mError == boost::beast::http::error::header_limit));
  BOOST_TEST(end.mMostHeld < kBounds.mHeadBytes);
}

// Guards against memory many times as large as the bytes of a head.
BOOST_AUTO_TEST_CASE(ShortLinesAreHeldInLittleMoreThanTheirBytes)
{
  std::string head = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n";
  while (head.size() + 6 <= kBounds.mHeadBytes) {
    head += "a:\r\n";
  }
  const auto end = ReadInPieces(InPieces(head + "\r\nxy", 1000));
  BOOST_REQUIRE(end.mIsWhole);
  BOOST_TEST(end.mRequest.mHeaders.mFields.size() > 4000u);
  BOOST_TEST(end.mMostHeld < 3 * kBounds.mHeadBytes);
}

// Guards against a request that two servers could take for two hosts'.
BOOST_AUTO_TEST_CASE(HostsAreCounted)
{
  edge::request_reader reader(kBounds);
  boost::system::error_code error;
  const std::string bytes = "GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n";
  reader.Read(boost::asio::buffer(bytes), error);
  BOOST_TEST(reader.HasHead());
  BOOST_TEST(reader.Hosts() == 2);
}

// Guards against requests that are read differently when they come in pieces.
BOOST_AUTO_TEST_CASE(PiecesMakeTheSameRequest)
{
  BOOST_TEST(rc::check([](std::vector<std::string> aChunks) {
    std::string body;
    std::string bytes = "PUT /p?q HTTP/1.0\r\nConnection: keep-alive\r\n"
                        "X-Empty:\r\nX-Blank: \t a b \r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& chunk : aChunks) {
      if (!chunk.empty()) {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
        bytes += size + chunk + "\r\n";
        body += chunk;
      }
    }
    bytes += "0\r\n\r\n";
    const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
    const auto end = ReadInPieces(InPieces(bytes, size));
    RC_ASSERT(end.mIsWhole);
    RC_ASSERT(end.mRequest.mBody == body);
    RC_ASSERT(end.mRequest.mMethod == "PUT");
    RC_ASSERT(end.mRequest.mTarget == "/p?q");
    RC_ASSERT(end.mRequest.mKeepsConnection);
    RC_ASSERT(end.mRequest.mHeaders.ValueOr("X-Empty", "none").empty());
    RC_ASSERT(end.mRequest.mHeaders.ValueOr("X-Blank", "") == "a b");
  }));
}

BOOST_AUTO_TEST_SUITE_END()
