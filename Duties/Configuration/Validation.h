#pragma once

#include "Libraries/Core/Findings.h"
#include "Libraries/Json/Value.h"

#include <string>

namespace lavender::configuration {

/** Everything wrong with a resource's spec, each with kind, name and field. */
findings
ValidateSpec(const std::string& aKind,
             const std::string& aName,
             const json::value& aSpec);

} // namespace lavender::configuration
