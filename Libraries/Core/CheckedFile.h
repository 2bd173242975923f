#pragma once

#include "Libraries/Core/Result.h"

#include <string>

namespace lavender {

/** Replaces a file as a whole: after a crash either the old or the new bytes
 * stand there. The bytes are preceded by their checksum.
 * @return what went wrong; empty when all went well */
std::string
SaveChecked(const std::string& aPath, const std::string& aBytes);

/** The bytes of a file that SaveChecked wrote. Fails when the file is absent
 * or when its checksum doesn't match. */
result<std::string>
LoadChecked(const std::string& aPath);

} // namespace lavender
