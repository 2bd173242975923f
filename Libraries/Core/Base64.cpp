#include "Libraries/Core/Base64.h"

#include <openssl/evp.h>

namespace lavender {

result<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.empty()) {
    return Succeed(std::string());
  }
  if (aText.size() % 4 != 0) {
    return Fail<std::string>("length isn't a multiple of four");
  }
  // OpenSSL accepts padding at any position and decodes it as zero bits.
  if (const auto end = aText.find('=');
      end != std::string_view::npos &&
      aText.substr(end) !=
        std::string_view("==").substr(0, aText.size() - end)) {
    return Fail<std::string>("padding before the end");
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (size < 0) {
    return Fail<std::string>("a character outside the alphabet");
  }
  // OpenSSL includes the padding in the decoded size, as zero bytes.
  const std::size_t padding = aText[aText.size() - 2] == '='   ? 2
                              : aText[aText.size() - 1] == '=' ? 1
                                                               : 0;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return Succeed(std::move(bytes));
}

} // namespace lavender
