#include "Libraries/Core/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace lavender {
namespace {

log4cxx::LevelPtr
ToLibraryLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cxx::Level::getDebug();
    case log_level::Info:
      return log4cxx::Level::getInfo();
    case log_level::Warning:
      return log4cxx::Level::getWarn();
    case log_level::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

} // namespace

log_level
ParseLogLevel(const std::string& aName)
{
  if (aName == "debug") {
    return log_level::Debug;
  }
  if (aName == "warning") {
    return log_level::Warning;
  }
  return aName == "error" ? log_level::Error : log_level::Info;
}

void
StartLog(log_level aLowest)
{
  auto layout = std::make_shared<log4cxx::PatternLayout>(
    LOG4CXX_STR("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5p [%c] %m%n"));
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout, log4cxx::ConsoleAppender::getSystemErr());
  auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLibraryLevel(aLowest));
}

void
Log(log_level aLevel,
    const std::string& aComponent,
    const std::string& aMessage,
    const std::string& aRequestId)
{
  auto logger = log4cxx::Logger::getLogger(aComponent);
  auto level = ToLibraryLevel(aLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  logger->forcedLog(
    level, aRequestId.empty() ? aMessage : aMessage + " request=" + aRequestId);
}

} // namespace lavender
