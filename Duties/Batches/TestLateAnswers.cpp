#include "Duties/Batches/OwnerTerm.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <optional>
#include <utility>

using namespace lavender;
using namespace lavender::batches;

namespace {

/** A block of the batch's log. */
struct model_block
{
  int mWriter = 0;
  std::vector<run_record> mRuns;
  server_list_change mServers;
};

/** As batch_model, with servers that fall silent and answer later, writes that
 * are carried out late or never, counts that another batch tells late, and
 * blocks in their order, as the owner reads them after a conflict. */
class late_model
{
public:
  late_model()
  {
    for (int i = 0; i < kServers; ++i) {
      StartServer();
    }
    mFirstServers = mRunning;
    mTerm = FirstTerm(mFirstServers);
  }

  void Step(unsigned aChoice)
  {
    const unsigned which = aChoice / kSteps;
    switch (aChoice % kSteps) {
      case 0:
        OwnerDies();
        return;
      case 1:
        EndServer(which);
        return;
      case 2:
        FallSilent(which);
        return;
      case 3:
        Answer(which);
        return;
      case 4:
      case 5:
      case 6:
        Store(which);
        return;
      case 7:
        CarryOutLateWrite();
        return;
      case 8:
      case 9:
        CheckServers();
        return;
      case 10:
        ResetConnection();
        return;
      case 11:
        Move(which);
        return;
      case 12:
        CarryCount(which);
        return;
      default:
        Send(which);
    }
  }

  int EndsUnderItem() const { return mEnds; }
  /** Whether the store or the owner counts more servers than ended. */
  bool IsOvercounted() const { return ServersLost(mLedger) > mEnds; }
  /** Whether a move waits for the store though the next block would hold
   * nothing of the item. */
  bool WritesForNothing() const
  {
    std::vector<run_record> runs;
    AddUnstored(mLedger, 0, runs);
    return mIsOwned && mMoveTo && !IsStored(mLedger, *mMoveTo) && runs.empty();
  }
  /** Lets all go on in calm: each server answers and each write is taken. */
  void Calm()
  {
    mSilent.clear();
    mLate.reset();
    for (int i = 0; i < 12; ++i) {
      CheckServers();
      Store(0);
    }
  }

  static constexpr unsigned kSteps = 16;

private:
  static constexpr int kServers = 3;

  void StartServer()
  {
    mRunning.insert({ "s" + std::to_string(++mLastServer), 1 });
  }

  const site::server_start& Pick(unsigned aWhich) const
  {
    return *std::next(mRunning.begin(), aWhich % mRunning.size());
  }

  site::server_fate FateOf(const site::server_start& aServer) const
  {
    return mSilent.count(aServer) > 0    ? site::server_fate::Unknown
           : mRunning.count(aServer) > 0 ? site::server_fate::Running
                                         : site::server_fate::Ended;
  }

  void EndServer(unsigned aWhich)
  {
    if (!mAt) {
      return;
    }
    const auto server = *mAt;
    mRunning.erase(server);
    StartServer();
    ++mEnds;
    const bool isSilent = aWhich % 3 == 0;
    if (isSilent) {
      mSilent.insert(server);
    }
    LoseRun(isSilent ? run_fate::Open : run_fate::Ended);
  }

  void LoseRun(run_fate aFate)
  {
    CancelMove();
    RecordFate(mLedger, *mAt, aFate);
    OpenPlacedRuns(mLedger);
    mAt.reset();
  }

  void CancelMove()
  {
    if (const auto to = std::exchange(mMoveTo, std::nullopt)) {
      RecordFate(mLedger, *to, run_fate::Survived);
    }
  }

  void FallSilent(unsigned aWhich)
  {
    if (aWhich % 4 == 0 && mSilent.size() < kServers) {
      mSilent.insert(Pick(aWhich / 4));
    }
  }

  void Answer(unsigned aWhich)
  {
    if (!mSilent.empty()) {
      mSilent.erase(std::next(mSilent.begin(), aWhich % mSilent.size()));
    }
  }

  void ResetConnection()
  {
    if (mAt) {
      LoseRun(run_fate::Open);
    }
  }

  void OwnerDies()
  {
    mAt.reset();
    mReserved.reset();
    mMoveTo.reset();
    mIsOwned = false;
  }

  bool TakeOver()
  {
    if (mIsOwned) {
      return true;
    }
    mIsOwned = true;
    ++mOwner;
    mLedger.clear();
    auto listed = mFirstServers;
    for (const auto& block : mLog) {
      for (const auto& record : block.mRuns) {
        ApplyStored(mLedger, record);
      }
      ApplyChange(listed, block.mServers);
    }
    mNextBlock = mLog.size();
    BeginLaterTerm(listed);
    if (mHasCarried) {
      ApplyCarriedCount();
    }
    return true;
  }

  void BeginLaterTerm(const server_list& aListed)
  {
    mMayHaveRunUnstored = MayRunUnstored(mLedger);
    mMayReviseAssumedEnd = mMayHaveRunUnstored || HasOpenAssumption(mLedger);
    if (!mAt && !mReserved) {
      OpenPlacedRuns(mLedger);
    }
    mTerm = LaterTerm(aListed);
  }

  void CheckServers()
  {
    TakeOver();
    for (const auto& server : OpenRuns(mLedger)) {
      if (IsAssumed(server) || mAt == server || mReserved == server) {
        continue;
      }
      if (const auto fate = FateOf(server);
          fate != site::server_fate::Unknown) {
        RecordFate(mLedger,
                   server,
                   fate == site::server_fate::Running ? run_fate::Survived
                                                      : run_fate::Ended);
      }
    }
    for (const auto& server : server_list(mTerm.mListed)) {
      const bool isSilent = mTerm.mSilent.count(server) > 0;
      if (mTerm.mUnchecked.count(server) == 0 && !isSilent) {
        continue;
      }
      Record(server);
    }
    for (const auto& server : server_list(mTerm.mSilent)) {
      Record(server);
    }
  }

  /** As batch_runner::HandleListedServer. */
  void Record(const site::server_start& aServer)
  {
    const bool wasChecking = mTerm.mPhase == term_phase::Checking;
    RecordCheck(mTerm, aServer, FateOf(aServer));
    if (mTerm.mPhase == term_phase::Checking) {
      return;
    }
    if (wasChecking && mMayHaveRunUnstored) {
      AssumeUnstoredEnd(mLedger, mTerm);
    } else if (mMayReviseAssumedEnd) {
      ReviseAssumedEnd(mLedger, mTerm);
    }
  }

  void Apply(const model_block& aBlock)
  {
    for (const auto& record : aBlock.mRuns) {
      ApplyStored(mLedger, record);
      RecordUnstoredRun();
    }
    if (!ApplyChange(mTerm, aBlock.mServers, aBlock.mWriter == mOwner)) {
      BeginLaterTerm(mTerm.mListed);
    }
  }

  /** As batch_runner::RecordUnstoredRun. */
  void RecordUnstoredRun()
  {
    if (mAt && !mIsRunStored && MustStoreSentRun(mLedger, *mAt)) {
      RecordFate(mLedger, *mAt, run_fate::Open);
    }
  }

  /** Writes a block, which is taken and answered, taken without an answer, or
   * may be taken later. A block that is there already is read instead. */
  void Store(unsigned aWhich)
  {
    TakeOver();
    if (mNextBlock < mLog.size()) {
      Apply(mLog[mNextBlock++]);
      return;
    }
    if (mAt && !mIsRunStored) {
      RecordPlacement(mLedger, *mAt);
    }
    model_block block;
    block.mWriter = mOwner;
    if (MayStoreRuns(mTerm, mMayHaveRunUnstored)) {
      AddUnstored(mLedger, 0, block.mRuns);
    }
    for (const auto& record : block.mRuns) {
      MarkWritten(mLedger, record.mServer);
    }
    server_list usable;
    for (const auto& server : mRunning) {
      if (mSilent.count(server) == 0) {
        usable.insert(server);
      }
    }
    block.mServers = ChangeOf(mTerm, usable, [&](const auto& aServer) {
      return !(mAt == aServer) && !(mReserved == aServer);
    });
    MarkWritten(mTerm, block.mServers);
    if (aWhich % 4 == 3) {
      mLate = { mLog.size(), block };
      return;
    }
    mLog.push_back(block);
    if (aWhich % 4 != 2) {
      Apply(mLog[mNextBlock++]);
    }
  }

  void CarryOutLateWrite()
  {
    if (mLate && mLate->first == mLog.size()) {
      mLog.push_back(mLate->second);
    }
    mLate.reset();
  }

  /** A server ended under the item in an earlier batch, which is known late,
   * though before any server ended in this one. */
  void CarryCount(unsigned aWhich)
  {
    if (!mIsOwned || mHasCarried || aWhich % 4 != 0 || mEnds > 0) {
      return;
    }
    mHasCarried = true;
    ++mEnds;
    ApplyCarriedCount();
  }

  void ApplyCarriedCount()
  {
    ApplyCarried(mLedger, { 0, { "carried", 1 }, run_fate::Ended });
    RecordUnstoredRun();
  }

  void Send(unsigned aWhich)
  {
    TakeOver();
    if (mTerm.mPhase != term_phase::Begun || mAt) {
      return;
    }
    if (mReserved) {
      auto others = mLedger;
      others.erase(*mReserved);
      if (SuspicionOf(others) == suspicion::Barred) {
        RecordFate(mLedger, *mReserved, run_fate::Survived);
        mReserved.reset();
      } else if (IsCountStored(mLedger)) {
        mAt = mReserved;
        mIsRunStored = true;
        mReserved.reset();
      }
      return;
    }
    const auto server = Pick(aWhich);
    if (mSilent.count(server) > 0 || !IsCountStored(mLedger) ||
        !MayUse(mTerm, server) || SuspicionOf(mLedger) == suspicion::Barred) {
      return;
    }
    if (MayRunUnstored(mLedger)) {
      mAt = server;
      mIsRunStored = false;
      return;
    }
    RecordFate(mLedger, server, run_fate::Open);
    mReserved = server;
  }

  /** As batch_runner::MoveRuns and StartMoves. */
  void Move(unsigned aWhich)
  {
    if (!mIsOwned || !mAt || mIsRunStored) {
      return;
    }
    if (!mMoveTo) {
      const auto server = Pick(aWhich);
      if (!(server == *mAt) && mSilent.count(server) == 0 &&
          MayUse(mTerm, server) && MayMove(mLedger, *mAt, server)) {
        RecordPlacement(mLedger, *mAt);
        RecordPlacement(mLedger, server);
        mMoveTo = server;
      }
      return;
    }
    if (!IsStored(mLedger, *mMoveTo) || !IsStored(mLedger, *mAt)) {
      return;
    }
    if (mRunning.count(*mMoveTo) == 0 || ServersLost(mLedger) > 0) {
      CancelMove();
      return;
    }
    mAt = std::exchange(mMoveTo, std::nullopt);
  }

  server_list mRunning;
  /** Servers that don't answer, whether they run or not. */
  server_list mSilent;
  int mLastServer = 0;
  server_list mFirstServers;
  std::vector<model_block> mLog;
  /** The block that may be taken late, and its place in the log. */
  std::optional<std::pair<std::size_t, model_block>> mLate;
  bool mHasCarried = false;
  bool mIsOwned = true;
  int mOwner = 0;
  std::size_t mNextBlock = 0;
  bool mMayHaveRunUnstored = false;
  bool mMayReviseAssumedEnd = false;
  owner_term mTerm;
  run_ledger mLedger;
  std::optional<site::server_start> mReserved;
  std::optional<site::server_start> mAt;
  bool mIsRunStored = false;
  std::optional<site::server_start> mMoveTo;
  int mEnds = 0;
};

using choices = std::vector<unsigned>;

choices
AnyChoices()
{
  return *rc::gen::container<choices>(
    300, rc::gen::inRange(0u, late_model::kSteps * 16));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestLateAnswers)

// Guards against a fourth ended server where servers answer late, writes are
// carried out late and another batch's count is told late.
BOOST_AUTO_TEST_CASE(NoLateAnswerEndsAFourthServer)
{
  BOOST_TEST(rc::check("ends", [] {
    late_model model;
    for (const auto choice : AnyChoices()) {
      model.Step(choice);
      RC_ASSERT(model.EndsUnderItem() <= kMaximumServersLost);
    }
  }));
}

// Guards against writes without content that follow each other for as long as a
// run lasts.
BOOST_AUTO_TEST_CASE(NoMoveAsksForAWriteOfNothing)
{
  BOOST_TEST(rc::check("writes", [] {
    late_model model;
    for (const auto choice : AnyChoices()) {
      model.Step(choice);
      RC_ASSERT(!model.WritesForNothing());
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
