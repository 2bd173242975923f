#include "Duties/Batches/RewardAttempts.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace lavender;
using namespace lavender::batches;

namespace {

const site::server_start kFirst{ "r1", 1 };
const site::server_start kSecond{ "r2", 1 };
const site::server_start kThird{ "r3", 1 };

/** Records that the store holds all of the ledger. */
void
StoreAll(run_ledger& aLedger)
{
  std::vector<run_record> records;
  AddUnstored(aLedger, 0, records);
  for (const auto& record : records) {
    MarkWritten(aLedger, record.mServer);
    ApplyStored(aLedger, record);
  }
}

/** A call whose first server ended under it. */
struct suspect_call
{
  suspect_call()
  {
    BeginAttempt(mAttempts, mLedger, kFirst);
    RecordCutOff(mAttempts, kFirst);
    RecordFate(mLedger, kFirst, run_fate::Ended);
    StoreAll(mLedger);
  }

  reward_attempts mAttempts;
  run_ledger mLedger;
};

/** The reward call of one item, its owners, the store and the servers. Each
 * step of an owner is one call, and the owner may die between any two of them.
 */
class reward_model
{
public:
  reward_model()
  {
    for (int i = 0; i < kServers; ++i) {
      StartServer();
    }
    mStoredServers = mRunning;
    mTerm = FirstTerm(mStoredServers);
  }

  void Step(unsigned aChoice)
  {
    const unsigned which = aChoice / kSteps;
    switch (aChoice % kSteps) {
      case 0:
        OwnerDies();
        return;
      case 1:
      case 2:
        EndServer(which);
        return;
      case 3:
        mIsStoreAway = which % 4 == 0;
        return;
      case 4:
      case 5:
      case 6:
        Store(which % 4 != 0);
        return;
      case 7:
      case 8:
        CheckServers(which % 4 != 0);
        return;
      case 9:
        CutOff();
        return;
      case 10:
        Answer();
        return;
      case 11:
        EndOtherServer(which);
        return;
      default:
        Send(which);
    }
  }

  int EndsUnderItem() const { return mEnds; }

  static constexpr unsigned kSteps = 18;

private:
  static constexpr int kServers = 4;

  void StartServer()
  {
    mRunning.insert({ "r" + std::to_string(++mLastServer), 1 });
  }

  void EndServer(unsigned aWhich)
  {
    if (!mAt || mRunning.erase(*mAt) == 0) {
      return;
    }
    ++mEnds;
    StartServer();
    // Half of the ends are seen at once, the others as silence later.
    if (aWhich % 2 == 0) {
      CutOff();
    }
  }

  /** A server ends that doesn't process the call: one that is reserved, or any.
   */
  void EndOtherServer(unsigned aWhich)
  {
    const auto server =
      mAttempts.mReserved && aWhich % 2 == 0
        ? *mAttempts.mReserved
        : *std::next(mRunning.begin(), aWhich % mRunning.size());
    if (!(mAt == server) && mRunning.erase(server) > 0) {
      StartServer();
    }
  }

  void CutOff()
  {
    if (mAt) {
      RecordCutOff(mAttempts, *mAt);
      RecordFate(mLedger, *mAt, run_fate::Open);
      mIsAwaited = true;
      mAt.reset();
    }
  }

  void Answer()
  {
    if (mAt && mRunning.count(*mAt) > 0) {
      RecordAnswer(mAttempts, mLedger, *mAt);
      mAt.reset();
    }
  }

  void OwnerDies()
  {
    mAt.reset();
    mAttempts = {};
    mIsOwned = false;
    mIsAwaited = false;
  }

  bool TakeOver()
  {
    if (mIsOwned || mIsStoreAway) {
      return mIsOwned;
    }
    mIsOwned = true;
    mLedger.clear();
    for (const auto& record : mStoredRuns) {
      ApplyStored(mLedger, record);
    }
    mMayHaveRunUnstored = MayRunUnstored(mLedger);
    mTerm = LaterTerm(mStoredServers);
    return true;
  }

  bool HasEnded(const site::server_start& aServer) const
  {
    return mRunning.count(aServer) == 0;
  }

  /** @param aIsEndKnown whether an end is known; a server that has ended is
   * silent otherwise */
  void CheckServers(bool aIsEndKnown)
  {
    if (!TakeOver()) {
      return;
    }
    mIsAwaited = false;
    for (const auto& server : OpenRuns(mLedger)) {
      if (!HasAttemptAt(mAttempts, server) && !IsAssumed(server) &&
          (aIsEndKnown || !HasEnded(server))) {
        RecordFate(mLedger,
                   server,
                   HasEnded(server) ? run_fate::Ended : run_fate::Survived);
      }
    }
    if (mTerm.mPhase != term_phase::Checking) {
      return;
    }
    for (const auto& server : server_list(mTerm.mListed)) {
      RecordCheck(mTerm,
                  server,
                  HasEnded(server) ? site::server_fate::Ended
                                   : site::server_fate::Running);
    }
    if (mMayHaveRunUnstored) {
      AssumeUnstoredEnd(mLedger, mTerm);
    }
  }

  /** @param aIsAnswered whether the owner learns that its write was taken */
  void Store(bool aIsAnswered)
  {
    if (!TakeOver() || mIsStoreAway) {
      return;
    }
    std::vector<run_record> runs;
    if (!mIsAwaited && MayStoreRuns(mTerm, mMayHaveRunUnstored)) {
      AddUnstored(mLedger, 0, runs);
    }
    for (const auto& record : runs) {
      MarkWritten(mLedger, record.mServer);
    }
    const auto change = ChangeOf(mTerm, mRunning, [&](const auto& aServer) {
      return !mIsAwaited && !HasAttemptAt(mAttempts, aServer);
    });
    mStoredRuns.insert(mStoredRuns.end(), runs.begin(), runs.end());
    ApplyChange(mStoredServers, change);
    if (!aIsAnswered) {
      return;
    }
    for (const auto& record : runs) {
      ApplyStored(mLedger, record);
    }
    ApplyChange(mTerm, change, true);
  }

  /** The reserved server, or any other one that may be used: the reserved one
   * may be full. */
  void Send(unsigned aWhich)
  {
    if (!TakeOver() || mTerm.mPhase != term_phase::Begun || mAt || mIsAwaited) {
      return;
    }
    run_ledger others = mLedger;
    if (mAttempts.mReserved) {
      others.erase(*mAttempts.mReserved);
    }
    if (SuspicionOf(others) == suspicion::Barred) {
      ReleaseServer(mAttempts, mLedger);
      return;
    }
    if (!IsCountStored(mLedger)) {
      return;
    }
    // Servers that have ended are known as long as they are listed.
    auto known = mRunning;
    known.insert(mTerm.mListed.begin(), mTerm.mListed.end());
    const auto server = mAttempts.mReserved && aWhich % 4 != 0
                          ? *mAttempts.mReserved
                          : *std::next(known.begin(), aWhich % known.size());
    const bool isSilent = HasEnded(server) && aWhich % 3 == 0;
    if (UseOf(mAttempts, mLedger, mTerm, server, isSilent) !=
          rewards::server_use::Allowed ||
        !BeginAttempt(mAttempts, mLedger, server)) {
      return;
    }
    if (HasEnded(server)) {
      // It refuses the connection.
      RecordAnswer(mAttempts, mLedger, server);
    } else {
      mAt = server;
    }
  }

  server_list mRunning;
  int mLastServer = 0;
  bool mIsStoreAway = false;
  std::vector<run_record> mStoredRuns;
  server_list mStoredServers;
  bool mIsOwned = true;
  bool mIsAwaited = false;
  bool mMayHaveRunUnstored = false;
  owner_term mTerm;
  run_ledger mLedger;
  reward_attempts mAttempts;
  std::optional<site::server_start> mAt;
  int mEnds = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestRewardAttempts)

// Guards against a write for each call, and against a call that is sent though
// the next owner wouldn't know of it.
BOOST_AUTO_TEST_CASE(AnAttemptIsStoredOnceAServerHasEnded)
{
  reward_attempts attempts;
  run_ledger ledger;
  BOOST_TEST(BeginAttempt(attempts, ledger, kFirst));
  BOOST_TEST(ledger.empty());
  suspect_call call;
  BOOST_TEST(!BeginAttempt(call.mAttempts, call.mLedger, kSecond));
  BOOST_TEST(!BeginAttempt(call.mAttempts, call.mLedger, kSecond));
  StoreAll(call.mLedger);
  BOOST_TEST(BeginAttempt(call.mAttempts, call.mLedger, kSecond));
  BOOST_TEST(call.mAttempts.mOpen.count(kSecond) == 1u);
}

// Guards against an item that waits for the server that is reserved although
// another one has room, and against a move that the store doesn't hold.
BOOST_AUTO_TEST_CASE(AReservationMovesAndIsStoredAgain)
{
  suspect_call call;
  BeginAttempt(call.mAttempts, call.mLedger, kSecond);
  StoreAll(call.mLedger);
  BOOST_TEST(!BeginAttempt(call.mAttempts, call.mLedger, kThird));
  BOOST_TEST((call.mAttempts.mReserved == kThird));
  BOOST_TEST(ServersLost(call.mLedger) == 2);
  StoreAll(call.mLedger);
  BOOST_TEST(BeginAttempt(call.mAttempts, call.mLedger, kThird));
}

// Guards against an end that counts for a call that was never begun.
BOOST_AUTO_TEST_CASE(AReservedServerDoesntCountOnceTheCallIsOver)
{
  suspect_call call;
  BeginAttempt(call.mAttempts, call.mLedger, kSecond);
  StoreAll(call.mLedger);
  CancelAttempts(call.mAttempts, call.mLedger);
  BOOST_TEST(ServersLost(call.mLedger) == 1);
  BOOST_TEST(!HasAttemptAt(call.mAttempts, kSecond));
}

// Guards against an end that is taken back: a server that may have ended under
// the call gets it again and never begins it.
BOOST_AUTO_TEST_CASE(AServerThatCountsGetsNoFurtherAttempt)
{
  const auto term = FirstTerm({ kFirst, kSecond });
  reward_attempts attempts;
  run_ledger ledger;
  BeginAttempt(attempts, ledger, kFirst);
  RecordCutOff(attempts, kFirst);
  RecordFate(ledger, kFirst, run_fate::Open);
  StoreAll(ledger);
  BOOST_TEST((UseOf(attempts, ledger, term, kFirst, false) ==
              rewards::server_use::Counted));
  BOOST_TEST((UseOf(attempts, ledger, term, kSecond, false) ==
              rewards::server_use::Allowed));
  BeginAttempt(attempts, ledger, kSecond);
  BOOST_TEST((UseOf(attempts, ledger, term, kSecond, false) ==
              rewards::server_use::Allowed));
  BOOST_TEST((UseOf(attempts, ledger, term, kSecond, true) ==
              rewards::server_use::Silent));
  BOOST_TEST((UseOf(attempts, ledger, term, kThird, false) ==
              rewards::server_use::NotListed));
  RecordFate(ledger, kFirst, run_fate::Survived);
  BOOST_TEST((UseOf(attempts, ledger, term, kFirst, false) ==
              rewards::server_use::Allowed));
}

// Guards against an attempt that no later owner would look for: the ledger says
// more of the item since it was sent unstored.
BOOST_AUTO_TEST_CASE(AnUnstoredAttemptIsStoredOnceAnotherServerCounts)
{
  reward_attempts attempts;
  run_ledger ledger;
  BeginAttempt(attempts, ledger, kFirst);
  BeginAttempt(attempts, ledger, kSecond);
  RecordUnstoredAttempts(attempts, ledger);
  BOOST_TEST(ledger.empty());
  RecordCutOff(attempts, kFirst);
  RecordFate(ledger, kFirst, run_fate::Open);
  RecordUnstoredAttempts(attempts, ledger);
  BOOST_TEST(ServersLost(ledger) == 2);
  RecordAnswer(attempts, ledger, kSecond);
  BOOST_TEST(ServersLost(ledger) == 1);
}

// Guards against a fourth server that ends under a reward call, whichever of
// owner, store and servers stops between any two steps.
BOOST_AUTO_TEST_CASE(NoOrderOfStepsEndsAFourthServer)
{
  BOOST_TEST(rc::check("ends", [] {
    reward_model model;
    const auto choices = *rc::gen::container<std::vector<unsigned>>(
      300, rc::gen::inRange(0u, reward_model::kSteps * 16));
    for (const auto choice : choices) {
      model.Step(choice);
      RC_ASSERT(model.EndsUnderItem() <= kMaximumServersLost);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
