#pragma once

#include "Libraries/Core/Result.h"

#include <string>

namespace lavender {

/** Replaces a file atomically: after a crash the file holds either the old or
 * the new bytes. Writes a checksum before the bytes.
 * @return error message; empty on success */
std::string
SaveChecked(const std::string& aPath, const std::string& aBytes);

/** Reads a file that SaveChecked wrote. Fails when the file can't be opened or
 * when its checksum doesn't match. */
result<std::string>
LoadChecked(const std::string& aPath);

} // namespace lavender
