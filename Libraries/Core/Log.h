#pragma once

#include <string>

/** Structured logging through log4cxx. Each component has a fixed prefix; a
 * line is a short sentence followed by name=value fields. */
namespace lavender {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error
};

/** Parses a level's name; returns Info for an unknown name. */
log_level
ParseLogLevel(const std::string& aName);

/** Directs all lines to standard error. Called once, first in main. */
void
StartLog(log_level aLowest);

/** Writes one line.
 * @param aComponent fixed prefix of the component, such as "routing"
 * @param aMessage short sentence; never a key or a prompt
 * @param aRequestId id of the request that the line is about, or empty */
void
Log(log_level aLevel,
    const std::string& aComponent,
    const std::string& aMessage,
    const std::string& aRequestId = {});

} // namespace lavender
