#pragma once

#include "Libraries/Settings/Settings.h"

namespace lavender::entry {

/** All settings of lavender-entry. */
std::vector<settings::setting>
DeclareSettings();

/** Adds what is wrong with settings that depend on each other. */
void
CheckSettings(const settings::values& aValues, findings& aFindings);

} // namespace lavender::entry
