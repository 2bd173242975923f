#include "../4/Site.h"

/** The operator adds a route with the shortest prefix to a host whose trainer
 * has an open batch. Calls for the batch are made before and after the change,
 * at each entry. */
using namespace review;

namespace {

constexpr char kBatch[] = "batch-1";
constexpr milliseconds kRunTime{ 3000 };
/** Three times configApplyMs of a small deployment. */
constexpr milliseconds kApplyTime{ 6000 };

/** Reads the results, the body of an item and ends the batch.
 * @return the number of these calls that failed */
int
CallForBatch(site& aSite, std::size_t aEntry)
{
  const std::string results = "/lots/" + std::string(kBatch);
  const auto body =
    "/items/" + std::string(kBatch) + "?id=" + ItemId("open", 0);
  int failures = 0;
  for (const auto& [method, target] : { std::pair("GET", results + "?after=0"),
                                        std::pair("GET", body),
                                        std::pair("DELETE", results) }) {
    const auto response = aSite.CallAsTrainer(aEntry, method, target);
    failures += response.mStatus == 200 ? 0 : 1;
  }
  return failures;
}

} // namespace

int
main()
{
  static site site;
  const auto rollouts = RolloutRoute("rollouts", "/rollouts/");
  site.Configure(1, rollouts);
  for (int i = 0; i < 6; ++i) {
    model_server_options options;
    options.mId = "server-" + std::to_string(i);
    // Still under way when the route is added.
    options.mEventsOf = { { ItemId("open", 0), 1000 } };
    site.AddServer(options);
  }
  site.AddEntry();
  site.AddEntry();
  if (!site.WaitUntilReady()) {
    Finish(site, verdict::CouldNotRun, "the entries are not ready");
  }
  if (!site.Submit(kBatch, 2, { "done", "open" })) {
    Finish(site, verdict::CouldNotRun, "the batch was not accepted");
  }
  std::this_thread::sleep_for(kRunTime);
  for (std::size_t entry = 0; entry < site.mEntries.size(); ++entry) {
    const auto page = site.CallAsTrainer(
      entry, "GET", "/lots/" + std::string(kBatch) + "?after=0");
    if (page.mStatus != 200 || page.mBody.find("done.0") == std::string::npos) {
      Finish(site, verdict::CouldNotRun, "no results before the change");
    }
  }
  const auto added = RolloutRoute("others", HasTrouble() ? "/" : "/others/");
  site.Configure(2, rollouts + "," + added);
  site.mRecord.Line("operator: version 2 also has " + added);
  std::this_thread::sleep_for(kApplyTime);
  int failures = 0;
  for (std::size_t entry = 0; entry < site.mEntries.size(); ++entry) {
    failures += CallForBatch(site, entry);
  }
  Finish(site,
         failures > 0 ? verdict::Broken : verdict::Held,
         std::to_string(failures) + " of 6 calls for the batch failed");
}
