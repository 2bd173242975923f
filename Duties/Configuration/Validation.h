#pragma once

#include "Libraries/Core/Findings.h"
#include "Libraries/Json/Value.h"

#include <functional>
#include <string>
#include <vector>

namespace lavender::configuration {

/** Everything wrong with a resource's spec, each with kind, name and field. */
findings
ValidateSpec(const std::string& aKind,
             const std::string& aName,
             const json::value& aSpec);

/** A field that names another resource. */
struct reference
{
  std::string mField;
  std::string mKind;
  std::string mName;
};

std::vector<reference>
ReferencesOf(const std::string& aKind, const json::value& aSpec);

/** Whether a resource of that kind and name exists. */
using existence = std::function<bool(const std::string&, const std::string&)>;

/** References to resources that don't exist. They are refused, not warned of:
 * a key of an unknown customer is nearly always a slip of the pen, and the
 * right order of writing is always possible. */
findings
ValidateReferences(const std::string& aKind,
                   const std::string& aName,
                   const json::value& aSpec,
                   const existence& aExists);

} // namespace lavender::configuration
