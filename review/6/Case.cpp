#include "../4/Site.h"

/** A large batch of short items runs while the platform's store is down for
 * some seconds, and one server crashes meanwhile. The trainer reads until long
 * after both are back. */
using namespace review;

namespace {

constexpr char kBatch[] = "batch-1";
/** Their submission has a tenth of maxBodyBytes. */
constexpr int kGroups = 4000;
/** Ids have the length of a UUID and more. */
constexpr char kGroupPrefix[] = "3f2b8c1e-7d4a-4f6b-9c0e-";
constexpr milliseconds kTimeBeforeOutage{ 200 };
constexpr milliseconds kOutage{ 4500 };
constexpr milliseconds kTimeBeforeCrash{ 500 };
constexpr milliseconds kDownTime{ 1000 };
/** The bench's stableMs of a small deployment. */
constexpr milliseconds kStableTime{ 3000 };
constexpr milliseconds kStepTime{ 30000 };
/** A step is lost if an item of it has been at no server for so long. */
constexpr milliseconds kLongestAbsence{ 5000 };

std::vector<std::string>
GroupNames()
{
  std::vector<std::string> names;
  for (int group = 0; group < kGroups; ++group) {
    char number[16];
    std::snprintf(number, sizeof number, "%012d", group);
    names.push_back(kGroupPrefix + std::string(number));
  }
  return names;
}

/** What servers did with one item. */
struct item_runs
{
  steady::time_point mLastAt;
  bool mIsFinished = false;
};

std::map<std::string, item_runs>
RunsOf(const site& aSite)
{
  std::map<std::string, item_runs> runs;
  for (const auto& arrival : aSite.mArrivals.All()) {
    auto& run = runs[arrival.mId];
    run.mLastAt = std::max(run.mLastAt, arrival.mAt);
    run.mIsFinished = run.mIsFinished || arrival.mStatus == 200;
  }
  return runs;
}

/** Reads all results until the given time; returns how many are listed. */
std::size_t
ReadUntil(site& aSite, steady::time_point aUntil)
{
  std::size_t after = 0;
  while (steady::now() < aUntil && after < kGroups * kItemsPerGroup) {
    const auto response = aSite.CallAsTrainer(
      1,
      "GET",
      "/lots/" + std::string(kBatch) + "?after=" + std::to_string(after),
      { { "X-Wait-Ms", "1000" } });
    rapidjson::Document page;
    page.Parse(response.mBody.c_str());
    if (response.mStatus == 200 && page.IsObject()) {
      after = page["next"].GetUint();
    }
    std::this_thread::sleep_for(milliseconds(400));
  }
  return after;
}

} // namespace

int
main()
{
  static site site;
  site.Configure(1, RolloutRoute("rollouts", "/rollouts/"));
  const auto groups = GroupNames();
  for (int i = 0; i < 6; ++i) {
    model_server_options options;
    options.mId = "server-" + std::to_string(i);
    options.mEvents = 1;
    options.mEventPause = milliseconds(5);
    site.AddServer(options);
  }
  site.AddEntry();
  site.AddEntry();
  if (!site.WaitUntilReady()) {
    Finish(site, verdict::CouldNotRun, "the entries are not ready");
  }
  const auto start = steady::now();
  if (!site.Submit(kBatch, kGroups, groups)) {
    Finish(site, verdict::CouldNotRun, "the batch was not accepted");
  }
  auto calmFrom = steady::now();
  if (HasTrouble()) {
    std::this_thread::sleep_for(kTimeBeforeOutage);
    site.mRecord.Line("store: busy");
    site.mStore.SetBusy(true);
    std::this_thread::sleep_for(kTimeBeforeCrash);
    site.mRecord.Line("server " + site.mServers.front()->Id() + " crashes");
    site.mServers.front()->Crash(kDownTime);
    std::this_thread::sleep_for(kOutage - kTimeBeforeCrash - kDownTime);
    site.mStore.SetBusy(false);
    site.mRecord.Line("store: serves again");
    calmFrom = steady::now() + kStableTime;
  }
  const auto listed = ReadUntil(site, start + kStepTime);
  const auto end = steady::now();
  const auto runs = RunsOf(site);
  std::size_t finished = 0;
  std::size_t lost = 0;
  for (const auto& [item, run] : runs) {
    finished += run.mIsFinished ? 1 : 0;
    if (!run.mIsFinished &&
        end - std::max(run.mLastAt, calmFrom) >= kLongestAbsence) {
      ++lost;
      site.mRecord.Line(item + " is at no server, and none has finished it");
    }
  }
  site.mRecord.Line("the store refused " +
                    std::to_string(site.mStore.Oversized()) +
                    " writes as too large");
  const bool isComplete = listed == kGroups * kItemsPerGroup;
  Finish(site,
         lost > 0     ? verdict::Broken
         : isComplete ? verdict::Held
                      : verdict::CouldNotRun,
         std::to_string(lost) + " items were at no server for 5 s of calm, " +
           std::to_string(listed) + " of " + std::to_string(finished) +
           " finished ones are listed");
}
