#pragma once

#include "Libraries/Settings/Settings.h"

namespace lavender::entry {

/** All settings of lavender-entry. */
std::vector<settings::setting>
DeclareSettings();

/** Checks settings that depend on each other and adds a finding for each
 * violation. */
void
CheckSettings(const settings::values& aValues, findings& aFindings);

} // namespace lavender::entry
