#pragma once

#include "Libraries/Core/Findings.h"
#include "Libraries/Json/Value.h"

#include <functional>
#include <string>
#include <vector>

namespace lavender::configuration {

/** Returns every problem of a resource's spec, with kind, name and field. */
findings
ValidateSpec(const std::string& aKind,
             const std::string& aName,
             const json::value& aSpec);

/** A field of a spec that names another resource. */
struct resource_reference
{
  std::string mField;
  std::string mKind;
  std::string mName;
};

std::vector<resource_reference>
ReferencesOf(const std::string& aKind, const json::value& aSpec);

/** Returns whether a resource of the given kind and name exists. */
using resource_lookup =
  std::function<bool(const std::string&, const std::string&)>;

/** Returns every resource_reference to a resource that doesn't exist. They are
 * errors rather than warnings because a key of an unknown customer is nearly
 * always a typing error, and the referenced resource can always be written
 * first. */
findings
ValidateReferences(const std::string& aKind,
                   const std::string& aName,
                   const json::value& aSpec,
                   const resource_lookup& aExists);

} // namespace lavender::configuration
