#pragma once

#include <string>

/** Structured logs over log4cxx. Each part of the system has a fixed prefix;
 * a line is a short sentence followed by name=value fields. */
namespace lavender {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error
};

/** Level of that name; Info for any other word. */
log_level
ParseLogLevel(const std::string& aName);

/** Sends all lines to standard error. Called once, first in main. */
void
StartLog(log_level aLowest);

/** Writes one line.
 * @param aPart fixed prefix of the part, such as "routing"
 * @param aSentence short sentence; never a key or a prompt
 * @param aRequestId request that the line is about, or empty */
void
Log(log_level aLevel,
    const std::string& aPart,
    const std::string& aSentence,
    const std::string& aRequestId = {});

} // namespace lavender
