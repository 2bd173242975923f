#include "../standins-2/Site.h"

/** Three servers crash one after the other, each while it runs the same sound
 * item. The trainer carries the item's group to its next steps, which have no
 * disturbance, and waits for it there. */
using namespace review;

namespace {

constexpr char kItem[] = "carried.0";
constexpr int kEventsOfItem = 140;
constexpr int kGroups = 3;
constexpr int kSteps = 3;
constexpr milliseconds kStepTime{ 12000 };
constexpr milliseconds kDownTime{ 1000 };
constexpr milliseconds kRunsBeforeCrash{ 1500 };
constexpr int kCrashes = 3;
/** A step is lost if an item of it has been at no server for so long. */
constexpr milliseconds kLongestAbsence{ 5000 };

/** Ends a server that has run the item for some time, three times in all. */
void
CrashServers(site& aSite)
{
  for (int crashes = 0; crashes < kCrashes;) {
    std::this_thread::sleep_for(milliseconds(20));
    for (const auto& server : aSite.mServers) {
      if (!server->IsRunning(kItem)) {
        continue;
      }
      std::this_thread::sleep_for(kRunsBeforeCrash);
      if (server->IsRunning(kItem)) {
        aSite.mRecord.Line("server " + server->Id() + " crashes under " +
                           kItem);
        ++crashes;
        server->Crash(kDownTime);
      }
    }
  }
}

struct step_end
{
  bool mIsCarriedComplete = false;
  /** Number of other items that are listed. */
  int mOthers = 0;
};

/** Reads until all groups are complete or the step's time is up. */
step_end
ReadStep(site& aSite, const std::string& aBatch, steady::time_point aUntil)
{
  step_end end;
  std::size_t after = 0;
  int carried = 0;
  while (steady::now() < aUntil) {
    const auto response =
      aSite.CallAsTrainer(1,
                          "GET",
                          "/lots/" + aBatch + "?after=" + std::to_string(after),
                          { { "X-Wait-Ms", "500" } });
    rapidjson::Document page;
    page.Parse(response.mBody.c_str());
    if (response.mStatus == 200 && page.IsObject()) {
      after = page["next"].GetUint();
      for (const auto& result : page["results"].GetArray()) {
        const std::string id = result["id"].GetString();
        ++(id.rfind("carried.", 0) == 0 ? carried : end.mOthers);
      }
    }
    end.mIsCarriedComplete = carried == kItemsPerGroup;
    if (end.mIsCarriedComplete && end.mOthers == kItemsPerGroup * kGroups) {
      break;
    }
    std::this_thread::sleep_for(milliseconds(400));
  }
  return end;
}

/** Time from the last arrival of the item at a server, or from the start of the
 * step if it never arrived in it, to the end of the step. */
milliseconds
AbsenceOf(site& aSite, steady::time_point aStart, steady::time_point aEnd)
{
  auto last = aStart;
  for (const auto& arrival : aSite.mArrivals.All()) {
    if (arrival.mId == kItem && arrival.mAt > aStart) {
      last = arrival.mAt;
    }
  }
  return std::chrono::duration_cast<milliseconds>(aEnd - last);
}

} // namespace

int
main()
{
  static site site;
  site.Configure(1, RolloutRoute("rollouts", "/rollouts/"));
  for (int i = 0; i < 6; ++i) {
    model_server_options options;
    options.mId = "server-" + std::to_string(i);
    options.mEventsOf = { { kItem, kEventsOfItem } };
    site.AddServer(options);
  }
  site.AddEntry();
  site.AddEntry();
  if (!site.WaitUntilReady()) {
    Finish(site, verdict::CouldNotRun, "the entries are not ready");
  }
  if (HasTrouble()) {
    std::thread([] { CrashServers(site); }).detach();
  }
  int lostSteps = 0;
  bool isCarried = true;
  for (int step = 0; step < kSteps && isCarried; ++step) {
    const auto batch = "batch-" + std::to_string(step);
    std::vector<std::string> groups{ "carried" };
    for (int group = 0; group < kGroups; ++group) {
      groups.push_back("step" + std::to_string(step) + "group" +
                       std::to_string(group));
    }
    const auto start = steady::now();
    if (!site.Submit(batch, kGroups + 1, groups)) {
      Finish(site, verdict::CouldNotRun, "a batch was not accepted");
    }
    const auto end = ReadStep(site, batch, start + kStepTime);
    isCarried = !end.mIsCarriedComplete;
    const auto absence = AbsenceOf(site, start, steady::now());
    const bool isLost =
      step > 0 && isCarried && end.mOthers > 0 && absence >= kLongestAbsence;
    lostSteps += isLost ? 1 : 0;
    site.mRecord.Line("step " + std::to_string(step) + ": carried group " +
                      (isCarried ? "incomplete" : "complete") + ", " +
                      std::to_string(end.mOthers) + " other items, " + kItem +
                      " last arrived " + std::to_string(absence.count()) +
                      " ms before the end");
    site.CallAsTrainer(1, "DELETE", "/lots/" + batch);
  }
  Finish(site,
         lostSteps > 0 ? verdict::Broken : verdict::Held,
         std::to_string(lostSteps) + " of " + std::to_string(kSteps - 1) +
           " calm steps ran out of time while " + kItem + " was at no server");
}
