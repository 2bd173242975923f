#include "Libraries/Core/CheckedFile.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/ScopeGuard.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace lavender {
namespace {

std::string
ErrorText(const char* aStep)
{
  return std::string(aStep) + ": " + std::strerror(errno);
}

std::string
WriteAndSync(const std::string& aPath, const std::string& aBytes)
{
  const int file = open(
    aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (file < 0) {
    return ErrorText("open");
  }
  scope_guard closing([file] { close(file); });
  for (std::size_t written = 0; written < aBytes.size();) {
    const auto count =
      write(file, aBytes.data() + written, aBytes.size() - written);
    if (count < 0) {
      return ErrorText("write");
    }
    written += static_cast<std::size_t>(count);
  }
  return fsync(file) == 0 ? std::string() : ErrorText("fsync");
}

/** Syncs the directory, so that the rename survives a crash. */
void
SyncFolder(const std::string& aPath)
{
  const auto slash = aPath.rfind('/');
  const std::string folder =
    slash == std::string::npos ? "." : aPath.substr(0, slash + 1);
  if (const int file = open(folder.c_str(), O_RDONLY | O_CLOEXEC); file >= 0) {
    fsync(file);
    close(file);
  }
}

} // namespace

std::string
SaveChecked(const std::string& aPath, const std::string& aBytes)
{
  const std::string temporaryPath = aPath + ".new";
  if (auto failure =
        WriteAndSync(temporaryPath, HashKey(aBytes) + "\n" + aBytes);
      !failure.empty()) {
    return failure;
  }
  if (rename(temporaryPath.c_str(), aPath.c_str()) != 0) {
    return ErrorText("rename");
  }
  SyncFolder(aPath);
  return {};
}

result<std::string>
LoadChecked(const std::string& aPath)
{
  std::ifstream input(aPath, std::ios::binary);
  if (!input) {
    return Fail<std::string>("absent");
  }
  std::string checksum;
  std::getline(input, checksum);
  std::ostringstream rest;
  rest << input.rdbuf();
  auto bytes = rest.str();
  if (HashKey(bytes) != checksum) {
    return Fail<std::string>("checksum doesn't match");
  }
  return Succeed(std::move(bytes));
}

} // namespace lavender
