#pragma once

#include "Libraries/Core/Result.h"

#include <string>
#include <string_view>

namespace lavender {

/** Decodes padded base64 (RFC 4648, section 4); fails on any other input. */
result<std::string>
DecodeBase64(std::string_view aText);

} // namespace lavender
