#pragma once

#include "Duties/StoreAccess/HelperChoice.h"
#include "Libraries/Core/Scheduler.h"
#include "Libraries/Edge/Caller.h"

#include <functional>
#include <memory>

namespace lavender::storeaccess {

/** Sends one call to the store as an HTTP request. The platform's adapter
 * defines the meaning of request and response. */
using store_transport = std::function<void(const edge::request&,
                                           milliseconds aDeadline,
                                           edge::call_options,
                                           edge::whole_answer)>;

struct access_dependencies
{
  scheduler mScheduler;
  store_transport mDirect;
  /** Calls another entry; the deadline covers the whole call. */
  std::function<void(const edge::endpoint&,
                     const edge::request&,
                     milliseconds aDeadline,
                     edge::whole_answer)>
    mCallEntry;
  std::function<helper_candidates()> mView;
  /** Whether the store did not serve this instance, or gave no response, though
   * it may serve another instance. */
  std::function<bool(edge::call_end, unsigned aStatus)> mIsUnavailable;
  /** A cheap read that shows whether the store answers. */
  edge::request mProbe;
};

/** Receives the response to another entry's request for help. */
using help_done = std::function<void(edge::response)>;

/** Makes one entry's calls to the store, and forwards calls of other entries.
 *
 * A call that the store refuses, or doesn't answer soon, is sent through other
 * entries, one after the other within the call's deadline. While the store is
 * unavailable to this entry, its calls go to other entries at once, and
 * periodic probes detect when the store is available again. A call without any
 * response may have been carried out. All writes are conditional, so repeating
 * one that was carried out yields a conflict. */
class store_access
{
public:
  explicit store_access(access_dependencies aParts);

  void Call(const edge::request& aRequest,
            milliseconds aDeadline,
            const edge::call_options& aOptions,
            edge::whole_answer aDone);
  /** Makes a call for another entry. Uses only the direct connection to the
   * store, so that no call is forwarded twice. */
  void Help(const edge::request& aHelpRequest, help_done aDone);
  /** False if for a while no call has succeeded, directly or through another
   * entry, though other entries reach the store. True if no entry reaches the
   * store, because then no other entry could do the work either. */
  bool CanReachStore() const;

private:
  struct helped_call;
  using call_ptr = std::shared_ptr<helped_call>;

  time_point Now() const { return mDependencies.mScheduler.mNow(); }
  bool HasHelpers() const { return !mDependencies.mView().mEntries.empty(); }
  void CallDirect(const call_ptr& aCall);
  void HandleDirectResponse(const call_ptr& aCall,
                            edge::call_end aEnd,
                            edge::response aResponse);
  void TryNextHelper(const call_ptr& aCall);
  void HandleHelpResponse(const call_ptr& aCall,
                          const std::string& aName,
                          edge::call_end aEnd,
                          edge::response aResponse);
  void Finish(const call_ptr& aCall,
              edge::call_end aEnd,
              edge::response aResponse);
  void Fail(const call_ptr& aCall);
  void RecordDirectResult(bool aIsUnavailable);
  void ProbeDirect();
  void ScheduleProbe();

  access_dependencies mDependencies;
  helper_history mHistory;
  /** Since when the store has been unavailable to this entry directly. */
  std::optional<time_point> mUnavailableSince;
  /** Since when no call has succeeded, directly or through another entry. */
  std::optional<time_point> mUnreachableSince;
  time_point mNextProbeAt;
  planned_action mNextProbe;
  int mHelped = 0;
};

/** Path at which entries ask each other for help. */
constexpr char kHelpPath[] = "/store";
/** Status if the helper sent nothing to the store, because it is busy or the
 * store is unavailable to it too. */
constexpr unsigned kCannotHelp = 421;
/** Status if the helper got no response from the store. */
constexpr unsigned kNoStoreResponse = 502;
/** Maximum number of concurrent calls for other entries. More would take too
 * much of a small instance's processor and bandwidth from its own callers. */
constexpr int kMaximumHelpedCalls = 16;

} // namespace lavender::storeaccess
