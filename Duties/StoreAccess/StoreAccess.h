#pragma once

#include "Duties/StoreAccess/HelperChoice.h"
#include "Libraries/Core/Scheduler.h"
#include "Libraries/Edge/Caller.h"

#include <functional>
#include <memory>

namespace lavender::storeaccess {

/** One call to the store and its answer as HTTP messages; their meaning is the
 * adapter's. */
using store_transport = std::function<void(const edge::request&,
                                           milliseconds aDeadline,
                                           edge::call_options,
                                           edge::whole_answer)>;

struct access_dependencies
{
  scheduler mScheduler;
  store_transport mDirect;
  /** Calls another entry; the deadline is of the whole call. */
  std::function<void(const edge::endpoint&,
                     const edge::request&,
                     milliseconds aDeadline,
                     edge::whole_answer)>
    mCallEntry;
  std::function<helper_candidates()> mView;
  /** Whether the store did nothing for this instance, or gave no answer, where
   * it may serve another one. */
  std::function<bool(edge::call_end, unsigned aStatus)> mIsTurnedAway;
  /** A cheap read that shows whether the store answers. */
  edge::request mTrial;
};

/** Where another entry's answer goes. */
using help_done = std::function<void(edge::response)>;

/** The way of one entry's calls to the store, and its help for others.
 *
 * A call that the store doesn't answer soon, or refuses, goes through other
 * entries, one after the other within the call's deadline. While the store
 * turns this entry away its calls begin there, and a trial now and then shows
 * whether the store has it back. A call without any answer may have been
 * carried out; all writes are conditional, so one that was shows as a conflict
 * when it is made again. */
class store_access
{
public:
  explicit store_access(access_dependencies aParts);

  void Call(const edge::request& aRequest,
            milliseconds aDeadline,
            const edge::call_options& aOptions,
            edge::whole_answer aDone);
  /** Another entry's call, made directly or not at all: help isn't passed on
   * twice. */
  void Help(const edge::request& aAsked, help_done aDone);
  /** False when no call has come through for a while, by no way, though other
   * entries reach the store. When nobody does, there is nobody better. */
  bool CanReachStore() const;

private:
  struct helped_call;
  using call_ptr = std::shared_ptr<helped_call>;

  time_point Now() const { return mDependencies.mScheduler.mNow(); }
  bool HasHelpers() const { return !mDependencies.mView().mEntries.empty(); }
  void CallDirect(const call_ptr& aCall);
  void TakeDirect(const call_ptr& aCall,
                  edge::call_end aEnd,
                  edge::response aAnswer);
  void AskNext(const call_ptr& aCall);
  void TakeHelp(const call_ptr& aCall,
                const std::string& aName,
                edge::call_end aEnd,
                edge::response aAnswer);
  void Finish(const call_ptr& aCall,
              edge::call_end aEnd,
              edge::response aAnswer);
  void Fail(const call_ptr& aCall);
  void NoteDirect(bool aIsTurnedAway);
  void TryDirect();
  void PlanLook();

  access_dependencies mDependencies;
  helper_memory mMemory;
  /** Since when the store has turned this entry away. */
  std::optional<time_point> mTurnedAwaySince;
  /** Since when no call has come through by any way. */
  std::optional<time_point> mLostSince;
  time_point mNextTrial;
  planned_action mNextLook;
  int mHelped = 0;
};

/** Path at which entries ask each other for help. */
constexpr char kHelpPath[] = "/store";
/** The asked entry sent nothing to the store: it is busy, or turned away. */
constexpr unsigned kCannotHelp = 421;
/** The asked entry got no answer from the store. */
constexpr unsigned kNoAnswer = 502;
/** Calls of others that an entry has under way; more would take a small
 * instance's processor and link from its own callers. */
constexpr int kMaximumHelpedCalls = 16;

} // namespace lavender::storeaccess
