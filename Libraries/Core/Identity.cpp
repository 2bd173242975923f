#include "Libraries/Core/Identity.h"

#include <array>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>

namespace lavender {
namespace {

std::string
ToHexadecimal(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    text.push_back(kDigits[aBytes[i] >> 4]);
    text.push_back(kDigits[aBytes[i] & 15]);
  }
  return text;
}

} // namespace

std::string
MakeRandomName()
{
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    throw std::runtime_error("OpenSSL's random generator returned no bytes");
  }
  return ToHexadecimal(bytes.data(), bytes.size());
}

std::string
HashKey(std::string_view aKey)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  return ToHexadecimal(digest.data(), digest.size());
}

} // namespace lavender
