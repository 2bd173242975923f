#include "Tests/Crowd/CrowdSite.h"

#include <csignal>
#include <filesystem>
#include <unistd.h>

namespace lavender::tests {

using namespace std::chrono_literals;

namespace {

/** Longer than what a test waits for takes, and shorter than connections may be
 * idle. */
constexpr milliseconds kPatience = 30s;
constexpr milliseconds kPause = 50ms;
/** What an entry may hold beyond its memory at rest after a crowd: tables that
 * have grown, and what its allocator keeps for later. */
constexpr std::size_t kKeptBytes = 32 << 20;
constexpr std::size_t kKeptDescriptors = 50;

soak::site_options
OptionsOf(const crowd_limits& aLimits)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("lavender-crowd-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  soak::site_options options;
  options.mLogFolder = folder.string();
  options.mEntries = 2;
  options.mAgents = 1;
  options.mEntryArguments = { "--memory",
                              std::to_string(aLimits.mMegabytes),
                              "--descriptors",
                              std::to_string(aLimits.mDescriptors) };
  return options;
}

} // namespace

crowd_site::crowd_site(const crowd_limits& aLimits)
  : mLimits(aLimits)
  , mSite(mLoop.mLoop, OptionsOf(aLimits))
  , mClients(std::make_shared<edge::client_pool>(mLoop.mLoop))
{
}

crowd_site::~crowd_site()
{
  std::error_code ignored;
  std::filesystem::remove_all(mSite.mOptions.mLogFolder, ignored);
}

std::map<std::string, unsigned short>
crowd_site::OtherDoors() const
{
  const auto& entry = *mSite.mEntries.front();
  return { { "peers", entry.mPeers },
           { "readiness", entry.mReadiness },
           { "metrics", entry.mMetrics } };
}

process_use
crowd_site::Use() const
{
  return UseOf(mSite.mEntries.front()->mProcess.Id());
}

unsigned
crowd_site::SendRequest(const soak::entry_instance& aEntry)
{
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = "/safe/x";
  request.mHeaders.Add("Host", "desk.example");
  request.mHeaders.Add("Authorization", "Token key");
  request.mHeaders.Add("X-Attempt-Id", "r" + std::to_string(mNext++));
  request.mHeaders.Add("X-Deadline-Ms", "3000");
  edge::call_options options;
  options.mMayReuse = false;
  constexpr auto kDeadline = 5s;
  constexpr std::size_t kMaximumBytes = 8 << 20;
  bool isDone = false;
  unsigned status = 0;
  auto call = edge::FetchWhole(*mClients,
                               mLoop.mLoop,
                               { "127.0.0.1", aEntry.mCallers },
                               request,
                               options,
                               kDeadline,
                               kMaximumBytes,
                               [&](edge::call_end aEnd, const auto& aAnswer) {
                                 isDone = true;
                                 status = aEnd == edge::call_end::Complete
                                            ? aAnswer.mStatus
                                            : 0;
                               });
  if (!mLoop.RunUntil([&] { return isDone; })) {
    call.Cancel();
  }
  return status;
}

bool
crowd_site::Start()
{
  mSite.StartAll();
  for (const auto& entry : mSite.mEntries) {
    if (!WaitUntil([&] { return SendRequest(*entry) == 200; })) {
      return false;
    }
  }
  mAtRest = Use();
  return mAtRest.mMemoryBytes > 0;
}

bool
crowd_site::IsServing()
{
  auto& entry = *mSite.mEntries.front();
  return WaitUntil([&] { return SendRequest(entry) == 200; }) &&
         !entry.mProcess.HasEnded();
}

bool
crowd_site::ComesToRest()
{
  return WaitUntil([this] {
    const auto use = Use();
    return use.mMemoryBytes > 0 &&
           use.mMemoryBytes <= mAtRest.mMemoryBytes + kKeptBytes &&
           use.mDescriptors <= mAtRest.mDescriptors + kKeptDescriptors;
  });
}

bool
crowd_site::WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = boot_clock::now() + kPatience;
  while (!aCondition()) {
    if (boot_clock::now() > end) {
      return false;
    }
    mLoop.RunUntil([] { return false; }, kPause);
  }
  return true;
}

} // namespace lavender::tests
