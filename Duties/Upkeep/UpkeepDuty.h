#pragma once

#include "Duties/Batches/Batch.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>

/** Removes from the store what nobody needs any more; nothing there expires by
 * itself. */
namespace lavender::upkeep {

/** When a batch's objects may go: its results have been kept for as long as
 * trainers may read them, and it is over. One that its trainer has forgotten
 * counts as over in the end. */
bool
IsDisposable(const batches::batch_metadata& aHead,
             milliseconds aKeep,
             std::chrono::system_clock::time_point aNow);

/** Since when each entry hasn't answered. */
using silent_entries = std::map<std::string, time_point>;

/** Longer than any outage that an entry comes back from under its address. One
 * that is removed by mistake announces itself again. */
constexpr milliseconds kGoneAfter{ 20000 };

/** Takes the answer, or its absence, of an entry that was asked.
 * @return whether the entry is to be taken off the list */
bool
TakePing(silent_entries& aSilent,
         const std::string& aName,
         bool aHasAnswered,
         time_point aNow);

struct upkeep_dependencies
{
  boost::asio::io_context& mLoop;
  const objects::object_store& mStore;
  edge::client_pool& mClients;
  std::string mName;
  /** How long results are kept after their batch was submitted. */
  milliseconds mKeepResults{ 120000 };
  /** Whether this entry is the one that looks after the store. */
  std::function<bool()> mIsMyTurn;
  std::function<std::map<std::string, edge::endpoint>()> mEntries;
  std::function<std::vector<batches::batch_metadata>()> mHeads;
  /** A request that any entry answers. */
  std::function<edge::request()> mPing;
};

/** Runs on the entry that watches the store for the others. */
class upkeep_duty
{
public:
  explicit upkeep_duty(upkeep_dependencies aParts);

  void Start();

private:
  void LookAgain();
  void PingEntries();
  void DisposeOne();
  void DeleteBlocks(const batches::batch_metadata& aHead, int aNumber);
  void DeleteItems(const batches::batch_metadata& aHead, int aPart);

  upkeep_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
  silent_entries mSilent;
  bool mIsDisposing = false;
};

} // namespace lavender::upkeep
