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
  /** Revision of the record that fixed the report: grows with each holder. */
  std::int64_t mEpoch = 0;
};

/** How one report went out. */
enum class report_outcome
{
  Accepted,
  /** The platform said that it did nothing. */
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
  /** Time within which two holders may not take turns. */
  milliseconds mLease{ 3000 };
  /** Names of all entries, this one included. */
  std::function<std::vector<std::string>()> mEntryNames;
  std::function<std::optional<edge::endpoint>(const std::string&)> mFindPeer;
  std::function<void(const usage_report&, std::function<void(report_outcome)>)>
    mSend;
};

/** Reports each window once, by one entry at a time.
 *
 * Windows go one after the other; those of an outage follow after it, as long
 * as the entries remember them.
 * The report is first fixed by a conditional change of one record in the
 * store, with the counts in it; then exactly these counts are sent. The entry
 * that is first by name acts first; another one acts when the record shows
 * that it didn't. A holder sends nothing once the record is another's, or when
 * much time has passed since it was written: it may have been paused. */
class usage_duty
{
public:
  explicit usage_duty(usage_dependencies aParts);

  void Start();
  void CountStart(const std::string& aCustomer);
  /** Counts of a window as JSON, for the entry that reports. */
  std::string CountsAsJson(window_number aWindow) const;

private:
  struct round;

  void PlanNext();
  /** Entries whose turn comes before this one's. */
  std::size_t Place() const;
  /** When this entry's turn for a window comes. */
  std::chrono::system_clock::time_point DueAt(window_number aWindow) const;
  void Act(window_number aWindow, int aTriesLeft);
  void ReadRecord(window_number aWindow, int aTriesLeft);
  void TakeRecord(window_number aWindow,
                  int aTriesLeft,
                  const objects::object_reply& aReply);
  void Advance(const std::shared_ptr<round>& aRound);
  void Gather(const std::shared_ptr<round>& aRound);
  void AskShare(const std::shared_ptr<round>& aRound,
                const std::string& aName,
                const edge::endpoint& aPeer);
  void EndQuestion(const std::shared_ptr<round>& aRound);
  void Fix(const std::shared_ptr<round>& aRound);
  void Send(const std::shared_ptr<round>& aRound);
  void MarkSent(const std::shared_ptr<round>& aRound);
  void Retry(const std::shared_ptr<round>& aRound);

  usage_dependencies mDependencies;
  usage_counts mCounts;
  boost::asio::steady_timer mTimer;
  /** Last window that this entry looked after. */
  window_number mLastWindow = 0;
  /** When this entry last sent a report, or started. */
  time_point mLastActAt = boot_clock::now();
};

/** Path at which entries ask each other for a window's counts. */
constexpr char kUsagePath[] = "/usage/";

} // namespace lavender::billing
