#include "Libraries/Edge/RunAfter.h"
#include "review/1/Scene.h"

#include <csignal>

using namespace lavender;
using namespace lavender::review;
using namespace std::chrono_literals;

namespace {

constexpr int kGroups = 25;
constexpr int kGroupSize = 4;
constexpr std::size_t kItems = kGroups * kGroupSize;
constexpr int kSlots = 12;
constexpr auto kEventTime = 10ms;
/** One of three model servers is faulty, with one answer in 34: less than the
 * site's page allows, 0.6 of the servers and 0.03 of the answers. */
constexpr int kExtraInterval = 34;
/** The longest time of the fault on the site's page. */
constexpr auto kFaultTime = 5000ms;
constexpr auto kReadInterval = 200ms;
/** A trainer gives a step up after this time. */
constexpr auto kStepTime = 12s;

/** One step of a tenant's trainer. */
struct step
{
  const char* mTenant = nullptr;
  std::string mBatch;
  std::map<std::string, item_result> mResults;
};

/** Events of an item: between 12 and 27, different for neighbours. */
int
EventsOf(const std::string& aItem)
{
  return 12 + static_cast<int>(std::hash<std::string>()(aItem) % 16);
}

/** Items are named after their tenant, so that a text shows whose it is. */
std::vector<submitted_item>
MakeItems(const step& aStep)
{
  std::vector<submitted_item> items;
  for (std::size_t i = 0; i < kItems; ++i) {
    items.push_back({ aStep.mBatch + "i" + std::to_string(i),
                      aStep.mBatch + "g" + std::to_string(i / kGroupSize) });
  }
  return items;
}

bool
SubmitAll(scene& aScene, std::vector<step>& aSteps)
{
  for (const char* tenant : kTenants) {
    const auto entry = aSteps.size() % aScene.mEntries.size();
    step next{ tenant, std::string(tenant) + "b", {} };
    if (!aScene
           .Submit(*aScene.mEntries[entry],
                   next.mBatch,
                   kGroups,
                   MakeItems(next),
                   tenant)
           .Is(202)) {
      return false;
    }
    aSteps.push_back(std::move(next));
  }
  return true;
}

/** Reads all steps' results until all are listed or their time is over. */
void
ReadAll(scene& aScene, std::vector<step>& aSteps)
{
  const auto limit = boot_clock::now() + kStepTime;
  bool isComplete = false;
  for (std::size_t i = 0; !isComplete && boot_clock::now() < limit; ++i) {
    isComplete = true;
    for (auto& each : aSteps) {
      const auto& entry = *aScene.mEntries[i % aScene.mEntries.size()];
      if (each.mResults.size() < kItems) {
        each.mResults =
          ResultsOf(aScene.Read(entry, each.mBatch, 0, each.mTenant));
        isComplete = false;
      }
    }
    aScene.RunFor(kReadInterval);
  }
}

/** MIXED: a result is completed and its text isn't the item's whole output. */
bool
IsMixed(const std::string& aItem, const item_result& aResult)
{
  return aResult.mState == "completed" &&
         aResult.mText != WholeText(aItem, EventsOf(aItem));
}

bool
HoldsTextOfOtherTenant(const step& aStep, const item_result& aResult)
{
  for (const std::string tenant : kTenants) {
    if (tenant != aStep.mTenant &&
        aResult.mText.find(tenant) != std::string::npos) {
      return true;
    }
  }
  return false;
}

int
Judge(scene& aScene, const std::vector<step>& aSteps)
{
  std::size_t completed = 0;
  int mixed = 0;
  int ofOthers = 0;
  for (const auto& each : aSteps) {
    for (const auto& [item, result] : each.mResults) {
      completed += result.mState == "completed" ? 1 : 0;
      if (!IsMixed(item, result)) {
        continue;
      }
      ++mixed;
      ofOthers += HoldsTextOfOtherTenant(each, result) ? 1 : 0;
      auto text = result.mText;
      for (auto& character : text) {
        character = character == '\n' ? ' ' : character;
      }
      aScene.mRecord.Line("item " + item + " of " +
                          std::to_string(EventsOf(item)) +
                          " events is completed with the text: " + text);
    }
  }
  aScene.mRecord.Line(std::to_string(completed) + " items are completed, " +
                      std::to_string(mixed) + " of them with another text, " +
                      std::to_string(ofOthers) + " with another tenant's");
  if (completed < aSteps.size() * kItems / 2) {
    return kNotRun;
  }
  aScene.mRecord.Line(mixed > 0 ? "MIXED is broken" : "MIXED holds");
  return mixed > 0 ? kBroken : kHeld;
}

int
Play(const std::string& aFolder, const std::string& aTemporary)
{
  scene site(aFolder, aTemporary);
  if (!site.Start(3, 3, kSlots, 0)) {
    return kNotRun;
  }
  for (const auto& server : site.mModelServers) {
    server->mEventsOf = EventsOf;
    server->mEventTime = kEventTime;
  }
  auto& faulty = *site.mModelServers.front();
  if (!IsUndisturbed()) {
    site.mRecord.Line(faulty.Id() + " begins to send extra responses");
    faulty.mExtraInterval = kExtraInterval;
    edge::RunAfter(site.mLoop, kFaultTime, [&] {
      site.mRecord.Line(faulty.Id() + " is sound again");
      faulty.mExtraInterval = 0;
    });
  }
  std::vector<step> steps;
  if (!SubmitAll(site, steps)) {
    return kNotRun;
  }
  ReadAll(site, steps);
  return Judge(site, steps);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Play(aArguments[1], aArguments[2]);
}
