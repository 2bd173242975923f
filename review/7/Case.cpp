#include "../4/Site.h"

/** The entry that runs a batch is killed while a server crashes that runs other
 * items; later two servers crash, each while it runs the same sound item. The
 * trainer carries the item's group to its next steps, which have no disruption,
 * and waits for it there. */
using namespace review;

namespace {

constexpr char kItem[] = "carried.0";
constexpr int kEventsOfItem = 140;
constexpr int kGroups = 3;
constexpr int kSteps = 3;
constexpr milliseconds kStepTime{ 12000 };
constexpr milliseconds kDownTime{ 1000 };
constexpr milliseconds kRunsBeforeCrash{ 1500 };
/** Servers that crash under the item. */
constexpr int kCrashes = 2;
/** Before the entry writes a first block of results. */
constexpr milliseconds kRunsBeforeKill{ 200 };
constexpr milliseconds kEntryDownTime{ 600 };
/** A step is lost if an item of it has been at no server for so long. */
constexpr milliseconds kLongestAbsence{ 5000 };

model_server*
ServerOfItem(site& aSite)
{
  for (;;) {
    for (const auto& server : aSite.mServers) {
      if (server->IsRunning(kItem)) {
        return server.get();
      }
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
}

/** The entry that accepted the batch, as its object in the store says. */
entry&
OwnerOf(site& aSite, const std::string& aBatch)
{
  const auto spec = aSite.mStore.SpecOf("batches", aBatch);
  for (auto& each : aSite.mEntries) {
    if (spec.find("\"owner\":" + Quote(each.mName)) != std::string::npos) {
      return each;
    }
  }
  return aSite.mEntries.front();
}

/** Kills the batch's entry while a server crashes that doesn't run the item. */
void
KillOwnerBesideCrash(site& aSite)
{
  const auto* itsServer = ServerOfItem(aSite);
  std::this_thread::sleep_for(kRunsBeforeKill);
  auto& owner = OwnerOf(aSite, "batch-0");
  auto& other = aSite.mServers.front().get() == itsServer
                  ? *aSite.mServers.back()
                  : *aSite.mServers.front();
  aSite.mRecord.Line(kItem + std::string(" runs at server ") + itsServer->Id() +
                     "; server " + other.Id() + " crashes, and entry " +
                     owner.mName + " is killed");
  std::thread crash([&other] { other.Crash(kDownTime); });
  owner.mProcess->Kill();
  std::this_thread::sleep_for(kEntryDownTime);
  owner.mProcess->Start();
  crash.join();
}

/** Ends two servers, each after it has run the item for some time. */
void
CrashServersOfItem(site& aSite)
{
  for (int crashes = 0; crashes < kCrashes;) {
    auto* server = ServerOfItem(aSite);
    std::this_thread::sleep_for(kRunsBeforeCrash);
    if (server->IsRunning(kItem)) {
      ++crashes;
      aSite.mRecord.Line("server " + server->Id() + " crashes under " + kItem);
      server->Crash(kDownTime);
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
  for (int i = 0; i < 3; ++i) {
    site.AddEntry();
  }
  if (!site.WaitUntilReady()) {
    Finish(site, verdict::CouldNotRun, "the entries are not ready");
  }
  if (HasTrouble()) {
    std::thread([] {
      KillOwnerBesideCrash(site);
      CrashServersOfItem(site);
    }).detach();
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
  for (const auto& arrival : site.mArrivals.All()) {
    if (arrival.mId == kItem) {
      site.mRecord.Line("server " + arrival.mServer + " ran " + kItem + " -> " +
                        std::to_string(arrival.mStatus));
    }
  }
  Finish(site,
         lostSteps > 0 ? verdict::Broken : verdict::Held,
         std::to_string(lostSteps) + " of " + std::to_string(kSteps - 1) +
           " calm steps ran out of time while " + kItem + " was at no server");
}
