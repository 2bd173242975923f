#include "Duties/Configuration/Validation.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace lavender::configuration {
namespace {

enum class field_type
{
  Text,
  Integer,
  Number,
  Boolean
};

struct field_rule
{
  const char* mName;
  field_type mType;
  bool mIsRequired;
  double mMinimum;
  double mMaximum;
};

const std::vector<field_rule>&
RulesFor(const std::string& aKind)
{
  static const std::vector<field_rule> kNone;
  static const std::vector<field_rule> kCustomer = {
    { "weight", field_type::Number, false, 0.01, 1000 },
    { "max_concurrent", field_type::Integer, false, 0, 1000000 },
    { "requests_per_second", field_type::Number, false, 0, 1000000 },
  };
  static const std::vector<field_rule> kKey = {
    { "customer", field_type::Text, true, 0, 0 },
    { "withdrawn", field_type::Boolean, false, 0, 0 },
  };
  static const std::vector<field_rule> kModelVersion = {
    { "model", field_type::Text, true, 0, 0 },
    { "version", field_type::Integer, true, 1, 1e15 },
  };
  static const std::vector<field_rule> kTrainingRun = {
    { "customer", field_type::Text, true, 0, 0 },
    { "pool", field_type::Text, true, 0, 0 },
    { "model", field_type::Text, true, 0, 0 },
    { "staleness_bound", field_type::Integer, false, 0, 1000 },
  };
  static const std::vector<field_rule> kBackendPool = {
    { "model", field_type::Text, false, 0, 0 },
    { "service", field_type::Text, false, 0, 0 },
    { "repeatable", field_type::Boolean, false, 0, 0 },
    { "minimum_per_zone", field_type::Integer, false, 0, 10000 },
    { "maximum_per_zone", field_type::Integer, false, 0, 10000 },
  };
  if (aKind == "Customer") {
    return kCustomer;
  }
  if (aKind == "Key") {
    return kKey;
  }
  if (aKind == "ModelVersion") {
    return kModelVersion;
  }
  if (aKind == "TrainingRun") {
    return kTrainingRun;
  }
  if (aKind == "BackendPool") {
    return kBackendPool;
  }
  return kNone;
}

std::string
CheckField(const field_rule& aRule, const json::value& aValue)
{
  switch (aRule.mType) {
    case field_type::Text:
      if (!aValue.IsString()) {
        return "must be text";
      }
      return aRule.mIsRequired && aValue.StringOr("").empty()
               ? "must not be empty"
               : "";
    case field_type::Boolean:
      return aValue.IsBoolean() ? "" : "must be true or false";
    case field_type::Integer:
      if (!aValue.IsInteger()) {
        return "must be a whole number";
      }
      break;
    case field_type::Number:
      if (!aValue.IsNumber()) {
        return "must be a number";
      }
      break;
  }
  const double number = aValue.NumberOr(0);
  return number < aRule.mMinimum || number > aRule.mMaximum ? "is out of range"
                                                            : "";
}

/** Checks a resource's name, which is used in URL paths, metric labels and
 * logs. */
std::string
FindNameProblem(const std::string& aName)
{
  constexpr std::size_t kLongestName = 128;
  if (aName.size() > kLongestName) {
    return "name is longer than 128 bytes";
  }
  const bool isPlain = std::all_of(aName.begin(), aName.end(), [](char aByte) {
    return std::isalnum(static_cast<unsigned char>(aByte)) || aByte == '-' ||
           aByte == '_' || aByte == '.';
  });
  return isPlain && !aName.empty()
           ? std::string()
           : "name may hold letters, digits, '-', '_' and '.' only";
}

} // namespace

std::vector<resource_reference>
ReferencesOf(const std::string& aKind, const json::value& aSpec)
{
  std::vector<resource_reference> references;
  const auto add = [&](const char* aField, const char* aReferencedKind) {
    if (auto name = json::StringAt(aSpec, aField, ""); !name.empty()) {
      references.push_back({ aField, aReferencedKind, std::move(name) });
    }
  };
  if (aKind == "Key" || aKind == "TrainingRun") {
    add("customer", "Customer");
  }
  if (aKind == "TrainingRun") {
    add("pool", "BackendPool");
  }
  return references;
}

findings
ValidateReferences(const std::string& aKind,
                   const std::string& aName,
                   const json::value& aSpec,
                   const resource_lookup& aExists)
{
  findings found;
  for (const auto& [field, kind, name] : ReferencesOf(aKind, aSpec)) {
    if (!aExists(kind, name)) {
      found.Add(aKind + "/" + aName + " spec." + field,
                "there is no " + kind + "/" + name);
    }
  }
  return found;
}

findings
ValidateSpec(const std::string& aKind,
             const std::string& aName,
             const json::value& aSpec)
{
  findings found;
  const std::string place = aKind + "/" + aName;
  const auto& rules = RulesFor(aKind);
  if (rules.empty()) {
    found.Add(place, "unknown kind");
    return found;
  }
  if (auto problem = FindNameProblem(aName); !problem.empty()) {
    found.Add(place, problem);
  }
  if (!aSpec.IsObject()) {
    found.Add(place + " spec", "must be an object");
    return found;
  }
  for (const auto& rule : rules) {
    const auto* field = aSpec.Find(rule.mName);
    if (!field && rule.mIsRequired) {
      found.Add(place + " spec." + rule.mName, "is required");
    } else if (field) {
      if (auto problem = CheckField(rule, *field); !problem.empty()) {
        found.Add(place + " spec." + rule.mName, problem);
      }
    }
  }
  if (aKind == "BackendPool") {
    const auto lowest = json::IntegerAt(aSpec, "minimum_per_zone", 0);
    const auto highest = json::IntegerAt(aSpec, "maximum_per_zone", lowest);
    if (lowest > highest) {
      found.Add(place + " spec.maximum_per_zone",
                "must not be below minimum_per_zone");
    }
  }
  for (const auto& [name, member] : aSpec.Members()) {
    const bool isKnown = std::any_of(
      rules.begin(), rules.end(), [&name = name](const auto& aRule) {
        return name == aRule.mName;
      });
    if (!isKnown) {
      found.Add(place + " spec." + name, "unknown field");
    }
  }
  return found;
}

} // namespace lavender::configuration
