#pragma once

#include "Libraries/Settings/Settings.h"
#include "Libraries/Wire/Security.h"

namespace lavender::wire {

/** Settings that both programs have for TLS between processes. */
std::vector<settings::setting>
DeclareSecurity();

/** Adds a finding when only some of the files are set. */
void
CheckSecurity(const settings::values& aValues, findings& aFindings);

security_files
ReadSecurity(const settings::values& aValues);

} // namespace lavender::wire
