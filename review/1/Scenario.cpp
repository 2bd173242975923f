#include "Libraries/Edge/RunAfter.h"
#include "review/scene/Scene.h"

#include <csignal>

using namespace lavender;
using namespace lavender::review;
using namespace std::chrono_literals;

namespace {

constexpr int kGroups = 26;
constexpr int kGroupSize = 4;
constexpr int kSteps = 3;
/** One of three model servers is faulty, with one answer in 34: less than the
 * site's page allows, 0.6 of the servers and 0.03 of the answers. */
constexpr int kExtraInterval = 34;
/** The longest time of the fault on the site's page. */
constexpr auto kFaultTime = 5000ms;
constexpr auto kReadInterval = 300ms;
/** A trainer gives a step up after this time. */
constexpr auto kStepTime = 12s;

/** Events of an item: between 12 and 27, different for neighbours. */
int
EventsOf(const std::string& aItem)
{
  return 12 + static_cast<int>(std::hash<std::string>()(aItem) % 16);
}

std::vector<submitted_item>
MakeItems(const std::string& aBatch)
{
  std::vector<submitted_item> items;
  for (int i = 0; i < kGroups * kGroupSize; ++i) {
    items.push_back({ aBatch + "i" + std::to_string(i),
                      aBatch + "g" + std::to_string(i / kGroupSize) });
  }
  return items;
}

/** Reads a step's results until all are listed or its time is over. */
std::map<std::string, item_result>
ReadStep(scene& aScene, const std::string& aBatch)
{
  const auto limit = boot_clock::now() + kStepTime;
  std::map<std::string, item_result> results;
  for (std::size_t i = 0; boot_clock::now() < limit; ++i) {
    const auto page =
      aScene.Read(*aScene.mEntries[i % aScene.mEntries.size()], aBatch, 0);
    results = ResultsOf(page);
    if (results.size() == kGroups * kGroupSize) {
      break;
    }
    aScene.RunFor(kReadInterval);
  }
  aScene.mRecord.Line("step " + aBatch + ": " + std::to_string(results.size()) +
                      " results read");
  return results;
}

/** MIXED: a result is completed and its text isn't the item's whole output. */
int
CountMixed(scene& aScene, const std::map<std::string, item_result>& aResults)
{
  int mixed = 0;
  for (const auto& [item, result] : aResults) {
    if (result.mState != "completed" ||
        result.mText == WholeText(item, EventsOf(item))) {
      continue;
    }
    ++mixed;
    auto text = result.mText;
    for (auto& character : text) {
      character = character == '\n' ? ' ' : character;
    }
    aScene.mRecord.Line("item " + item + " of " +
                        std::to_string(EventsOf(item)) +
                        " events is completed with the text: " + text);
  }
  return mixed;
}

int
Play(const std::string& aFolder, const std::string& aTemporary)
{
  scene site(aFolder, aTemporary);
  if (!site.Start(3, 3, 12, 0)) {
    return kNotRun;
  }
  for (const auto& server : site.mModelServers) {
    server->mEventsOf = EventsOf;
    server->mEventTime = 20ms;
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
  int mixed = 0;
  int completed = 0;
  for (int step = 0; step < kSteps; ++step) {
    const auto batch = "b" + std::to_string(step);
    if (!site.Submit(*site.mEntries[0], batch, kGroups, MakeItems(batch))
           .Is(202)) {
      return kNotRun;
    }
    const auto results = ReadStep(site, batch);
    completed += static_cast<int>(results.size());
    mixed += CountMixed(site, results);
    site.End(*site.mEntries[0], batch);
  }
  site.mRecord.Line(std::to_string(mixed) + " of " + std::to_string(completed) +
                    " results hold another text than their item's");
  if (completed < kSteps * kGroups * kGroupSize / 2) {
    return kNotRun;
  }
  site.mRecord.Line(mixed > 0 ? "MIXED is broken" : "MIXED holds");
  return mixed > 0 ? kBroken : kHeld;
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
