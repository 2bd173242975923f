#include "Libraries/Settings/Settings.h"

#include "Libraries/Http/Client.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>

namespace lavender::settings {
namespace {

constexpr const char* kVersion = "0.1.0";

std::string
HelpText(const setting& aSetting)
{
  std::string text = aSetting.mDescription;
  if (!aSetting.mUnit.empty()) {
    text += " Unit: " + aSetting.mUnit + ".";
  }
  text += aSetting.mIsRequired ? " Required."
                               : " Default: '" + aSetting.mDefault + "'.";
  if (aSetting.mKind == setting_kind::Integer ||
      aSetting.mKind == setting_kind::Decimal) {
    text += " Range: " + std::to_string(aSetting.mLowest) + " to " +
            std::to_string(aSetting.mHighest) + ".";
  }
  for (const auto& choice : aSetting.mChoices) {
    text +=
      (&choice == &aSetting.mChoices.front() ? " One of: " : ", ") + choice;
  }
  return text + " Variable: " + VariableName(aSetting.mFlag) + ".";
}

std::string
CheckInteger(const setting& aSetting, const std::string& aText)
{
  const bool isNumber =
    !aText.empty() && aText.size() < 18 &&
    aText.find_first_not_of("0123456789", aText[0] == '-' ? 1 : 0) ==
      std::string::npos &&
    aText != "-";
  if (!isNumber) {
    return "'" + aText + "' is not a whole number";
  }
  const std::int64_t number = std::stoll(aText);
  if (number < aSetting.mLowest || number > aSetting.mHighest) {
    return aText + " is not within " + std::to_string(aSetting.mLowest) +
           " to " + std::to_string(aSetting.mHighest);
  }
  return {};
}

std::string
CheckDecimal(const setting& aSetting, const std::string& aText)
{
  const bool isNumber =
    !aText.empty() && aText.size() < 18 &&
    aText.find_first_not_of("0123456789.") == std::string::npos &&
    std::count(aText.begin(), aText.end(), '.') <= 1 && aText != ".";
  if (!isNumber) {
    return "'" + aText + "' is not a number";
  }
  const double number = std::stod(aText);
  if (number < static_cast<double>(aSetting.mLowest) ||
      number > static_cast<double>(aSetting.mHighest)) {
    return aText + " is not within " + std::to_string(aSetting.mLowest) +
           " to " + std::to_string(aSetting.mHighest);
  }
  return {};
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  for (std::size_t start = 0; start < aText.size();) {
    auto end = std::min(aText.find(',', start), aText.size());
    parts.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::string
CheckEndpoint(const std::string& aText)
{
  return http::ParseEndpoint(aText)
           ? std::string()
           : "'" + aText + "' is not of the form ADDRESS:PORT";
}

std::string
Check(const setting& aSetting, const std::string& aText)
{
  if (aSetting.mIsRequired && aText.empty()) {
    return "is required";
  }
  switch (aSetting.mKind) {
    case setting_kind::Text:
      return {};
    case setting_kind::Integer:
      return CheckInteger(aSetting, aText);
    case setting_kind::Decimal:
      return CheckDecimal(aSetting, aText);
    case setting_kind::Endpoint:
      return CheckEndpoint(aText);
    case setting_kind::Endpoints:
      for (const auto& part : SplitList(aText)) {
        if (auto problem = CheckEndpoint(part); !problem.empty()) {
          return problem;
        }
      }
      return {};
    case setting_kind::Choice:
      return std::find(aSetting.mChoices.begin(),
                       aSetting.mChoices.end(),
                       aText) == aSetting.mChoices.end()
               ? "'" + aText + "' is not one of the choices that --help lists"
               : std::string();
    case setting_kind::File:
      return aText.empty() || std::ifstream(aText).good()
               ? std::string()
               : "'" + aText + "' can't be opened for reading";
  }
  return {};
}

} // namespace

setting
OptionalFile(std::string aFlag, std::string aDescription)
{
  setting declared;
  declared.mFlag = std::move(aFlag);
  declared.mDescription = std::move(aDescription);
  declared.mKind = setting_kind::File;
  return declared;
}

const std::string&
values::Text(const std::string& aFlag) const
{
  return mByFlag.at(aFlag);
}

std::int64_t
values::Integer(const std::string& aFlag) const
{
  return std::stoll(mByFlag.at(aFlag));
}

double
values::Decimal(const std::string& aFlag) const
{
  return std::stod(mByFlag.at(aFlag));
}

std::chrono::milliseconds
values::Milliseconds(const std::string& aFlag) const
{
  return std::chrono::milliseconds(Integer(aFlag));
}

std::vector<std::string>
values::List(const std::string& aFlag) const
{
  return SplitList(mByFlag.at(aFlag));
}

std::string
VariableName(const std::string& aFlag)
{
  std::string name = "LAVENDER_";
  for (const char c : aFlag) {
    name.push_back(c == '-' ? '_'
                            : static_cast<char>(
                                std::toupper(static_cast<unsigned char>(c))));
  }
  return name;
}

reading
Read(const std::string& aProgram,
     const std::vector<setting>& aDeclared,
     int aCount,
     char** aArguments)
{
  reading outcome;
  TCLAP::CmdLine line(aProgram, ' ', kVersion);
  TCLAP::SwitchArg checkOnly("",
                             "check-settings",
                             "Report all errors in the settings and exit with "
                             "status 2, or with 0 when there are none.",
                             line);
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
  for (const auto& declared : aDeclared) {
    flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
      "", declared.mFlag, HelpText(declared), false, "", "value", line));
  }
  // By default TCLAP prints the first error and exits; here the error becomes
  // one of the findings. Help and version still exit the process.
  line.setExceptionHandling(false);
  try {
    line.parse(aCount, aArguments);
  } catch (const TCLAP::ExitException& exit) {
    std::exit(exit.getExitStatus());
  } catch (const TCLAP::ArgException& error) {
    outcome.mFindings.Add(error.argId(), error.error());
  }
  outcome.mIsCheckOnly = checkOnly.getValue();
  for (std::size_t i = 0; i < aDeclared.size(); ++i) {
    const auto& declared = aDeclared[i];
    const std::string variable = VariableName(declared.mFlag);
    std::string location = "--" + declared.mFlag;
    std::string text = declared.mDefault;
    if (flags[i]->isSet()) {
      text = flags[i]->getValue();
    } else if (const char* fromEnvironment = std::getenv(variable.c_str())) {
      text = fromEnvironment;
      location = variable;
    }
    if (auto problem = Check(declared, text); !problem.empty()) {
      outcome.mFindings.Add(location, problem);
      // Later checks that compare settings parse the values as numbers, so an
      // invalid value is replaced by the default.
      text = declared.mDefault;
    }
    outcome.mValues.mByFlag[declared.mFlag] = text;
  }
  return outcome;
}

void
Report(const findings& aFindings)
{
  for (const auto& finding : aFindings.mAll) {
    std::cerr << finding.mPlace << ": " << finding.mProblem << "\n";
  }
}

} // namespace lavender::settings
