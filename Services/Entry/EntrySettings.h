#pragma once

#include "Libraries/Settings/Settings.h"

namespace lavender::entry {

/** All settings of lavender-entry. */
std::vector<settings::setting>
DeclareSettings();

} // namespace lavender::entry
