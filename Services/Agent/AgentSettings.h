#pragma once

#include "Libraries/Settings/Settings.h"

namespace lavender::agent {

/** All settings of lavender-agent. */
std::vector<settings::setting>
DeclareSettings();

} // namespace lavender::agent
