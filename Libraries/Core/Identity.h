#pragma once

#include <string>
#include <string_view>

namespace lavender {

/** 16 bytes of OpenSSL's random generator in hexadecimal, such as for a
 * process's incarnation or a nonce. Throws when the generator fails. */
std::string
MakeRandomName();

/** SHA-256 of the key in hexadecimal. Keys are stored and compared only as
 * this hash. */
std::string
HashKey(std::string_view aKey);

} // namespace lavender
