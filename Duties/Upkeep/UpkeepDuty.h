#pragma once

#include "Duties/Batches/Batch.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>

/** Garbage collection in the platform's store, where no object expires by
 * itself: removes the objects of old batches and of terminated entries. */
namespace lavender::upkeep {

/** True when a batch's objects may be deleted: the batch has ended and its
 * results were kept for aKeep. A batch that its trainer never ended may be
 * deleted after an hour, or after aKeep if that is longer. */
bool
IsDeletable(const batches::batch_metadata& aMetadata,
            milliseconds aKeep,
            std::chrono::system_clock::time_point aNow);

/** Time of the first failed ping of each unresponsive entry, by name. */
using unresponsive_entries = std::map<std::string, time_point>;

/** Time without an answer after which an entry is removed from the list. Longer
 * than any outage after which an entry continues at the same address. An entry
 * that is removed by mistake registers itself again. */
constexpr milliseconds kRemoveAfter{ 20000 };

/** Records the result of pinging an entry.
 * @return true when the entry must be removed from the list */
bool
RecordPing(unresponsive_entries& aUnresponsive,
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
  /** Returns whether this entry is responsible for the store's upkeep. */
  std::function<bool()> mIsResponsible;
  std::function<std::map<std::string, edge::endpoint>()> mEntries;
  /** Removes an entry from the list. */
  std::function<void(const std::string& aName)> mRemoveEntry;
  std::function<std::vector<batches::batch_metadata>()> mListBatches;
  /** Creates a request that every entry answers. */
  std::function<edge::request()> mPing;
};

/** Pings the other entries and deletes objects that aren't needed any more.
 * Runs on every entry, but acts only on the one that is responsible. */
class upkeep_duty
{
public:
  explicit upkeep_duty(upkeep_dependencies aParts);

  void Start();

private:
  void ScheduleNextCheck();
  void PingEntries();
  void DeleteNextBatch();
  void DeleteResults(const batches::batch_metadata& aMetadata, int aIndex);
  void DeleteItems(const batches::batch_metadata& aMetadata, int aPart);

  upkeep_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
  unresponsive_entries mUnresponsive;
  bool mIsDeleting = false;
};

} // namespace lavender::upkeep
