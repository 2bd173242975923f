#pragma once

#include "Libraries/Core/Findings.h"
#include "Libraries/Core/Result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** Settings from flags and environment variables, checked all at once. */
namespace lavender::settings {

enum class setting_kind
{
  Text,
  /** Whole number within the range. */
  Integer,
  /** Number with an optional fraction, within the range. */
  Decimal,
  /** "ADDRESS:PORT"; port 0 lets the system choose. */
  Endpoint,
  /** Comma-separated endpoints; may be empty. */
  Endpoints,
  /** One of the listed choices. */
  Choice,
  /** Path of a file that can be read; may be empty. */
  File
};

/** Declaration of one setting. The environment variable's name follows from
 * the flag: "--wire-listen" is LAVENDER_WIRE_LISTEN. */
struct setting
{
  std::string mFlag;
  std::string mDescription;
  /** Unit for people, such as "ms". */
  std::string mUnit;
  std::string mDefault;
  setting_kind mKind = setting_kind::Text;
  std::int64_t mLowest = 0;
  std::int64_t mHighest = 0;
  std::vector<std::string> mChoices;
  bool mIsRequired = false;
};

/** Declaration of an optional file. */
setting
OptionalFile(std::string aFlag, std::string aDescription);

/** Settings after reading, by flag. */
struct values
{
  std::map<std::string, std::string> mByFlag;

  const std::string& Text(const std::string& aFlag) const;
  std::int64_t Integer(const std::string& aFlag) const;
  double Decimal(const std::string& aFlag) const;
  std::chrono::milliseconds Milliseconds(const std::string& aFlag) const;
  /** Comma-separated parts; empty when the text is. */
  std::vector<std::string> List(const std::string& aFlag) const;
};

/** What main should do after reading. */
struct reading
{
  values mValues;
  findings mFindings;
  /** Only check and report. */
  bool mIsCheckOnly = false;
};

std::string
VariableName(const std::string& aFlag);

/** Reads flags first, then variables, then defaults, and collects every
 * finding with its place. Prints help or version and ends the process when
 * asked to, as TCLAP does. */
reading
Read(const std::string& aProgram,
     const std::vector<setting>& aDeclared,
     int aCount,
     char** aArguments);

/** Prints findings one per line on standard error. */
void
Report(const findings& aFindings);

/** Exit status for settings with findings. */
constexpr int kBadSettingsStatus = 2;

} // namespace lavender::settings
