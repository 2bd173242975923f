#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <atomic>
#include <climits>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <poll.h>
#include <thread>
#include <unistd.h>

namespace lavender::events {

namespace {

using namespace std::chrono_literals;

/** Interval at which the writing thread wakes up; each wake-up costs processor
 * time. */
constexpr milliseconds kWriteInterval = 250ms;
/** Maximum wait for the reader of the output to accept more bytes. */
constexpr milliseconds kReaderTimeout = 300ms;

struct log_state
{
  log_options mOptions;
  std::mutex mMutex;
  std::condition_variable mStopCondition;
  std::string mBuffered;
  bool mIsStopped = false;
  std::thread mThread;
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::uint64_t mReportedDrops = 0;
  /** Token bucket of the rate limit: lines that may be logged now. */
  double mTokens = 0;
  time_point mTokensUpdatedAt;
};

log_state&
State()
{
  static log_state state;
  return state;
}

/** Writes as much as the reader of the output accepts. A reader that has
 * stopped must not block the process, above all its shutdown, so text that the
 * reader doesn't accept within kReaderTimeout is dropped.
 * @return number of lines that were not written */
std::uint64_t
WriteAll(const std::string& aText)
{
  std::size_t written = 0;
  while (written < aText.size()) {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    const auto timeout = static_cast<int>(kReaderTimeout.count());
    if (poll(&output, 1, timeout) <= 0) {
      break;
    }
    // A pipe that poll reports as writable accepts PIPE_BUF bytes without
    // blocking.
    const auto size =
      write(STDOUT_FILENO,
            aText.data() + written,
            std::min<std::size_t>(aText.size() - written, PIPE_BUF));
    if (size <= 0) {
      break;
    }
    written += static_cast<std::size_t>(size);
  }
  return static_cast<std::uint64_t>(std::count(
    aText.begin() + static_cast<std::ptrdiff_t>(written), aText.end(), '\n'));
}

void
AppendEscaped(std::string& aText, std::string_view aValue)
{
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aText += '\\';
      aText += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned>(c));
      aText += code;
    } else {
      aText += c;
    }
  }
}

/** Consumes a token for one line; false when none is left. */
bool
ConsumeToken(log_state& aState)
{
  const auto now = boot_clock::now();
  const auto rate = static_cast<double>(aState.mOptions.mLinesPerSecond);
  const std::chrono::duration<double> passed = now - aState.mTokensUpdatedAt;
  aState.mTokensUpdatedAt = now;
  aState.mTokens = std::min(rate, aState.mTokens + passed.count() * rate);
  if (aState.mTokens < 1) {
    return false;
  }
  aState.mTokens -= 1;
  return true;
}

void
WriteUntilStopped(log_state& aState)
{
  std::unique_lock lock(aState.mMutex);
  for (;;) {
    const bool isStopped = aState.mStopCondition.wait_for(
      lock, kWriteInterval, [&] { return aState.mIsStopped; });
    std::string text;
    text.swap(aState.mBuffered);
    lock.unlock();
    const auto dropped = aState.mDropped.load();
    if (dropped != aState.mReportedDrops) {
      text += "{\"event\":\"log_dropped\",\"lines\":" +
              std::to_string(dropped - aState.mReportedDrops) + "}\n";
      aState.mReportedDrops = dropped;
    }
    aState.mDropped += WriteAll(text);
    lock.lock();
    if (isStopped) {
      return;
    }
  }
}

} // namespace

void
StartEventLog(log_options aOptions)
{
  auto& state = State();
  state.mOptions = std::move(aOptions);
  state.mTokens = static_cast<double>(state.mOptions.mLinesPerSecond);
  state.mTokensUpdatedAt = boot_clock::now();
  state.mThread = std::thread([&state] { WriteUntilStopped(state); });
}

void
StopEventLog()
{
  auto& state = State();
  {
    std::lock_guard lock(state.mMutex);
    state.mIsStopped = true;
  }
  state.mStopCondition.notify_all();
  if (state.mThread.joinable()) {
    state.mThread.join();
  }
}

std::uint64_t
DroppedLines()
{
  return State().mDropped;
}

line::line(std::string_view aEvent)
{
  auto& state = State();
  {
    std::lock_guard lock(state.mMutex);
    mIsAccepted = state.mBuffered.size() < state.mOptions.mBufferedBytes &&
                  ConsumeToken(state);
  }
  if (!mIsAccepted) {
    ++state.mDropped;
    return;
  }
  const auto wall = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  mText = "{\"at_ms\":" + std::to_string(wall.count()) + ",\"process\":\"";
  AppendEscaped(mText, state.mOptions.mProcess);
  mText += "\",\"event\":\"";
  mText.append(aEvent);
  mText += '"';
}

line::~line()
{
  if (mIsAccepted) {
    auto& state = State();
    std::lock_guard lock(state.mMutex);
    state.mBuffered += mText;
    state.mBuffered += "}\n";
  }
}

void
line::Name(std::string_view aName)
{
  mText += ",\"";
  mText.append(aName);
  mText += "\":";
}

line&
line::With(std::string_view aName, std::string_view aValue)
{
  if (mIsAccepted) {
    Name(aName);
    mText += '"';
    AppendEscaped(mText, aValue);
    mText += '"';
  }
  return *this;
}

line&
line::With(std::string_view aName, std::int64_t aValue)
{
  if (mIsAccepted) {
    Name(aName);
    mText += std::to_string(aValue);
  }
  return *this;
}

} // namespace lavender::events
