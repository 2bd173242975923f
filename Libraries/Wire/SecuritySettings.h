#pragma once

#include "Libraries/Settings/Settings.h"
#include "Libraries/Wire/Security.h"

namespace lavender::wire {

/** Declares the settings for TLS between processes, which both programs
 * have. */
std::vector<settings::setting>
DeclareSecurity();

/** Adds a finding when some but not all of the files are set. */
void
CheckSecurity(const settings::values& aValues, findings& aFindings);

security_files
ReadSecurity(const settings::values& aValues);

} // namespace lavender::wire
