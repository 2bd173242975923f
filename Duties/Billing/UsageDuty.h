#pragma once

#include "Duties/Billing/UsageCounts.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace lavender::billing {

struct usage_report
{
  window_number mWindow = 0;
  customer_counts mCounts;
  std::string mHolder;
  /** Revision of the record in which the report was stored; it increases with
   * each holder. */
  std::int64_t mEpoch = 0;
};

/** Result of sending one report. */
enum class report_outcome
{
  Accepted,
  /** The platform answered that it rejected the report. */
  Refused,
  Unknown
};

struct usage_dependencies
{
  boost::asio::io_context& mLoop;
  const objects::object_store& mStore;
  edge::client_pool& mClients;
  std::string mName;
  milliseconds mWindowLength{ 5000 };
  /** Time within which two entries must not alternate as the reporter. */
  milliseconds mLease{ 3000 };
  /** Returns the names of all entries, including this one, in an order that is
   * the same at all of them: the first one reports. */
  std::function<std::vector<std::string>()> mEntryNames;
  std::function<std::optional<edge::endpoint>(const std::string&)> mFindPeer;
  std::function<void(const usage_report&, std::function<void(report_outcome)>)>
    mSend;
};

/** Reports each window, from one entry at a time.
 *
 * Windows are reported in order. Windows that an outage delays are reported
 * after it, as long as the entries retain their counts.
 *
 * The reporting entry, called the holder, first stores the counts by a
 * conditional write to one record in the store, and then sends exactly these
 * counts. Entries try in the order of their names; a later one takes over only
 * when the record shows that the window wasn't reported. A holder sends nothing
 * when another entry has written the record since, or when too much time has
 * passed since its own write, because it may have been paused. */
class usage_duty
{
public:
  explicit usage_duty(usage_dependencies aParts);

  void Start();
  void CountStart(const std::string& aCustomer);
  /** Returns this entry's counts of a window as JSON, for the holder. */
  std::string CountsAsJson(window_number aWindow) const;

private:
  struct report_attempt;

  void ScheduleNext();
  /** Returns this entry's rank: the number of entries with a lower name. */
  std::size_t Rank() const;
  /** Returns when this entry tries to report a window. */
  std::chrono::system_clock::time_point DueAt(window_number aWindow) const;
  void ReportWindow(window_number aWindow, int aAttemptsLeft);
  void ReadRecord(window_number aWindow, int aAttemptsLeft);
  void HandleRecord(window_number aWindow,
                    int aAttemptsLeft,
                    const objects::object_reply& aReply);
  void AdvanceWindow(const std::shared_ptr<report_attempt>& aAttempt);
  void CollectCounts(const std::shared_ptr<report_attempt>& aAttempt);
  void RequestCounts(const std::shared_ptr<report_attempt>& aAttempt,
                     const std::string& aName,
                     const edge::endpoint& aPeer);
  void FinishRequest(const std::shared_ptr<report_attempt>& aAttempt);
  void StoreReport(const std::shared_ptr<report_attempt>& aAttempt);
  void SendReport(const std::shared_ptr<report_attempt>& aAttempt);
  void MarkSent(const std::shared_ptr<report_attempt>& aAttempt);
  void ScheduleRetry(const std::shared_ptr<report_attempt>& aAttempt);

  usage_dependencies mDependencies;
  usage_counts mCounts;
  boost::asio::steady_timer mTimer;
  /** Last window that this entry tried to report. */
  window_number mLastAttemptedWindow = 0;
  /** When this entry last sent a report, or started. */
  time_point mLastReportAt = boot_clock::now();
};

/** Path prefix at which entries request each other's counts of a window. */
constexpr char kUsagePath[] = "/usage/";

} // namespace lavender::billing
