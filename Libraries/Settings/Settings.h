#pragma once

#include "Libraries/Core/Findings.h"
#include "Libraries/Core/Result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** Settings from flags and environment variables; all errors are reported
 * together. */
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

/** Declaration of one setting. The environment variable's name is derived from
 * the flag's: "--wire-listen" is LAVENDER_WIRE_LISTEN. */
struct setting
{
  std::string mFlag;
  std::string mDescription;
  /** Unit shown in the help text, such as "ms". */
  std::string mUnit;
  std::string mDefault;
  setting_kind mKind = setting_kind::Text;
  std::int64_t mLowest = 0;
  std::int64_t mHighest = 0;
  std::vector<std::string> mChoices;
  bool mIsRequired = false;
};

/** Declares an optional setting of kind File. */
setting
OptionalFile(std::string aFlag, std::string aDescription);

/** Values of the settings by flag, after flags, environment variables and
 * defaults were read. */
struct values
{
  std::map<std::string, std::string> mByFlag;

  const std::string& Text(const std::string& aFlag) const;
  std::int64_t Integer(const std::string& aFlag) const;
  double Decimal(const std::string& aFlag) const;
  std::chrono::milliseconds Milliseconds(const std::string& aFlag) const;
  /** Comma-separated elements; empty when the text is empty. */
  std::vector<std::string> List(const std::string& aFlag) const;
};

/** Result of reading the settings. */
struct reading
{
  values mValues;
  findings mFindings;
  /** Set by --check-settings: report findings and exit. */
  bool mIsCheckOnly = false;
};

std::string
VariableName(const std::string& aFlag);

/** Reads each setting from its flag, else from its environment variable, else
 * from its default, and collects all findings. With --help or --version, prints
 * the text and exits the process, as TCLAP does. */
reading
Read(const std::string& aProgram,
     const std::vector<setting>& aDeclared,
     int aCount,
     char** aArguments);

/** Prints the findings to standard error, one per line. */
void
Report(const findings& aFindings);

/** Exit status of a process whose settings have findings. */
constexpr int kBadSettingsStatus = 2;

} // namespace lavender::settings
