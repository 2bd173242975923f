#pragma once

#include "Tests/Soak/Site.h"

namespace lavender::soak {

/** What a trainer knows of one batch. */
struct submitted_batch
{
  std::string mId;
  int mItems = 0;
  std::int64_t mMinimumVersion = 1;
  bool mIsAccepted = false;
  /** Every try was answered that nothing runs. */
  /** Its items name reward calls. */
  bool mIsScored = false;
  bool mIsRefused = true;
  bool mIsSettled = false;
  bool mIsEnded = false;
  int mTries = 0;
  /** Results by position, as first read. */
  std::vector<std::string> mResults;
  bool mIsReading = false;
};

/** Callers and trainers: they send through any entry, also to open connections
 * of entries that leave, and compare what they see with the promises. */
class soak_clients
{
public:
  soak_clients(soak_site& aSite, std::uint64_t aSeed);

  /** Sends the next few requests, submissions and reads. */
  void Step(bool aMaySubmit);
  /** Every accepted batch has been read whole. */
  bool AreBatchesWhole() const;
  /** Asks each entry that hasn't done so yet for the newest route. */
  void AskForNewest();
  /** Entries that haven't served the newest route. */
  std::set<std::string> LackingNewest() const;
  /** What the servers ran against what callers were told. */
  void CheckRuns();
  std::string Summary() const;

private:
  entry_instance& AnyEntry();
  void SendPlain(bool aIsSafe);
  void Submit(const std::shared_ptr<submitted_batch>& aBatch);
  void Read(const std::shared_ptr<submitted_batch>& aBatch);
  void TakePage(const std::shared_ptr<submitted_batch>& aBatch,
                std::size_t aAfter,
                const edge::response& aAnswer);
  void CheckResult(const submitted_batch& aBatch, const json::value& aResult);
  void CheckScore(const json::value& aResult);
  void Find(std::string aFinding);

  soak_site& mSite;
  std::mt19937_64 mRandom;
  std::shared_ptr<edge::client_pool> mClients;
  std::vector<std::shared_ptr<submitted_batch>> mBatches;
  std::map<std::string, unsigned> mOnceAnswers;
  std::set<std::string> mServeNewest;
  int mNext = 0;
  int mSent = 0;
  int mServed = 0;
};

} // namespace lavender::soak
