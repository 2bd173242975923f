#pragma once

#include <string>
#include <string_view>

namespace lavender {

/** 16 random bytes in hexadecimal: a process's incarnation, a nonce. Source:
 * OpenSSL's generator. */
std::string
MakeRandomName();

/** SHA-256 in hexadecimal. Keys are stored and compared only as this. */
std::string
HashKey(std::string_view aKey);

} // namespace lavender
