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
Failure(const char* aStep)
{
  return std::string(aStep) + ": " + std::strerror(errno);
}

std::string
WriteAndSync(const std::string& aPath, const std::string& aBytes)
{
  const int file = open(
    aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (file < 0) {
    return Failure("open");
  }
  scope_guard closing([file] { close(file); });
  for (std::size_t sent = 0; sent < aBytes.size();) {
    const auto count = write(file, aBytes.data() + sent, aBytes.size() - sent);
    if (count < 0) {
      return Failure("write");
    }
    sent += static_cast<std::size_t>(count);
  }
  return fsync(file) == 0 ? std::string() : Failure("fsync");
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
  const std::string unfinished = aPath + ".new";
  if (auto failure = WriteAndSync(unfinished, HashKey(aBytes) + "\n" + aBytes);
      !failure.empty()) {
    return failure;
  }
  if (rename(unfinished.c_str(), aPath.c_str()) != 0) {
    return Failure("rename");
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
