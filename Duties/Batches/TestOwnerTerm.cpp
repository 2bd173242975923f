#include "Duties/Batches/OwnerTerm.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace lavender;
using namespace lavender::batches;

namespace {

const site::server_start kFirst{ "s1", 1 };
const site::server_start kSecond{ "s2", 1 };

bool
AlwaysMayRemove(const site::server_start&)
{
  return true;
}

/** A batch with one item, its owners, the store and the servers. Each step of
 * an owner is one call, and the owner may die between any two of them. The
 * store may be away at any step. */
class batch_model
{
public:
  batch_model()
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
        EndServer(which);
        return;
      case 2:
        mIsStoreAway = which % 4 == 0;
        return;
      case 3:
        StartOneMore(which);
        return;
      case 4:
      case 5:
        Store(which % 4 != 0);
        return;
      case 6:
      case 7:
        CheckServers();
        return;
      case 8:
        ResetConnection();
        return;
      case 9:
      case 10:
        Move(which);
        return;
      case 11:
        EndServerSilently();
        return;
      default:
        Send(which);
    }
  }

  int EndsUnderItem() const { return mEnds; }

  static constexpr unsigned kSteps = 14;

private:
  static constexpr int kServers = 3;

  void StartServer()
  {
    mRunning.insert({ "s" + std::to_string(++mLastServer), 1 });
  }

  void StartOneMore(unsigned aWhich)
  {
    constexpr std::size_t kMostServers = 6;
    if (aWhich == 0 && mRunning.size() < kMostServers) {
      StartServer();
    }
  }

  /** Ends the server that runs the item, seldom another one: the fewer others
   * end, the less a new owner suspects. */
  void EndServer(unsigned aWhich)
  {
    constexpr unsigned kOthers = 15;
    if (!mAt && aWhich != kOthers) {
      return;
    }
    const auto server =
      mAt && aWhich != kOthers
        ? *mAt
        : *std::next(mRunning.begin(), mLastServer % kServers);
    const bool wasRunning = mRunning.erase(server) > 0;
    if (wasRunning) {
      StartServer();
    }
    if (mAt == server) {
      mEnds += wasRunning ? 1 : 0;
      LoseRun(run_fate::Ended);
    }
  }

  /** The server of the run ends, and its owner doesn't notice. */
  void EndServerSilently()
  {
    if (mAt && mRunning.erase(*mAt) > 0) {
      ++mEnds;
      StartServer();
    }
  }

  /** The run breaks off, though its server may live. */
  void ResetConnection()
  {
    if (mAt) {
      LoseRun(run_fate::Open);
    }
  }

  /** The owner learns that the run is over. */
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

  /** The next owner loads what the store holds. The run ends with its sender.
   */
  void OwnerDies()
  {
    mAt.reset();
    mReserved.reset();
    mMoveTo.reset();
    mIsOwned = false;
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
    OpenPlacedRuns(mLedger);
    mTerm = LaterTerm(mStoredServers);
    return true;
  }

  void CheckServers()
  {
    if (!TakeOver()) {
      return;
    }
    for (const auto& server : OpenRuns(mLedger)) {
      const bool isOwn = mAt == server || mReserved == server;
      if (!isOwn) {
        RecordFate(mLedger,
                   server,
                   mRunning.count(server) > 0 ? run_fate::Survived
                                              : run_fate::Ended);
      }
    }
    for (const auto& [server, run] : run_ledger(mLedger)) {
      const bool isLeft =
        IsPlaced(mLedger, server) && !(mAt == server) && !(mMoveTo == server);
      if (isLeft) {
        RecordFate(mLedger,
                   server,
                   mRunning.count(server) > 0 ? run_fate::Survived
                                              : run_fate::Ended);
      }
    }
    if (mTerm.mPhase != term_phase::Checking) {
      return;
    }
    for (const auto& server : server_list(mTerm.mListed)) {
      RecordCheck(mTerm,
                  server,
                  mRunning.count(server) > 0 ? site::server_fate::Running
                                             : site::server_fate::Ended);
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
    if (mAt && !mIsRunStored) {
      RecordPlacement(mLedger, *mAt);
    }
    std::vector<run_record> runs;
    AddUnstored(mLedger, 0, runs);
    for (const auto& record : runs) {
      MarkWritten(mLedger, record.mServer);
    }
    const auto change = ChangeOf(mTerm, mRunning, [&](const auto& aServer) {
      return !(mAt == aServer) && !(mReserved == aServer);
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

  void Send(unsigned aWhich)
  {
    if (!TakeOver() || mTerm.mPhase != term_phase::Begun || mAt) {
      return;
    }
    if (mReserved) {
      if (IsCountStored(mLedger)) {
        mAt = mReserved;
        mIsRunStored = true;
        mReserved.reset();
      }
      return;
    }
    const auto server = *std::next(mRunning.begin(), aWhich % mRunning.size());
    if (!IsCountStored(mLedger) || !MayUse(mTerm, server) ||
        SuspicionOf(mLedger) == suspicion::Barred) {
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

  /** Moves an unstored run to another server once the store places it there.
   */
  void Move(unsigned aWhich)
  {
    if (!mIsOwned || !mAt || mIsRunStored) {
      return;
    }
    if (!mMoveTo) {
      const auto server =
        *std::next(mRunning.begin(), aWhich % mRunning.size());
      if (!(server == *mAt) && MayUse(mTerm, server) &&
          MayMove(mLedger, *mAt, server)) {
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
  int mLastServer = 0;
  bool mIsStoreAway = false;
  std::vector<run_record> mStoredRuns;
  server_list mStoredServers;
  bool mIsOwned = true;
  bool mMayHaveRunUnstored = false;
  owner_term mTerm;
  run_ledger mLedger;
  std::optional<site::server_start> mReserved;
  std::optional<site::server_start> mAt;
  bool mIsRunStored = false;
  std::optional<site::server_start> mMoveTo;
  int mEnds = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestOwnerTerm)

// Guards against a write for each takeover's items where no server ended.
BOOST_AUTO_TEST_CASE(WhereAllServersRunNothingIsAssumed)
{
  auto term = LaterTerm({ kFirst, kSecond });
  RecordCheck(term, kFirst, site::server_fate::Running);
  BOOST_TEST((term.mPhase == term_phase::Checking));
  RecordCheck(term, kSecond, site::server_fate::Running);
  BOOST_TEST((term.mPhase == term_phase::Beginning));
  BOOST_TEST(term.mLost.empty());
}

// Guards against ends that are assumed of items whose runs are known to have
// been at a server that lives.
BOOST_AUTO_TEST_CASE(APlacedRunIsLookedForAtItsServerAlone)
{
  run_ledger ledger;
  RecordPlacement(ledger, kFirst);
  BOOST_TEST(ServersLost(ledger) == 0);
  BOOST_TEST(!MustStoreSentRun(ledger, kFirst));
  std::vector<run_record> records;
  AddUnstored(ledger, 0, records);
  BOOST_TEST(!HasUnstoredCount(records));
  run_ledger next;
  for (const auto& record : records) {
    ApplyStored(next, record);
  }
  BOOST_TEST(!MayRunUnstored(next));
  OpenPlacedRuns(next);
  BOOST_TEST((OpenRuns(next) == std::vector<site::server_start>{ kFirst }));
  RecordFate(next, kFirst, run_fate::Survived);
  BOOST_TEST(ServersLost(next) == 0);
}

// Guards against a run of which the next owner doesn't know: the store places
// the item elsewhere, or may do so since a write has no answer.
BOOST_AUTO_TEST_CASE(AnItemIsntSentElsewhereWhileTheStoreMayPlaceIt)
{
  run_ledger ledger;
  RecordPlacement(ledger, kFirst);
  MarkWritten(ledger, kFirst);
  RecordFate(ledger, kFirst, run_fate::Survived);
  BOOST_TEST(!MayRunUnstored(ledger));
  BOOST_TEST(MustStoreSentRun(ledger, kSecond));
  ApplyStored(ledger, { 0, kFirst, run_fate::Survived });
  BOOST_TEST(MayRunUnstored(ledger));
}

// Guards against an end that is forgotten because its server is only silent.
BOOST_AUTO_TEST_CASE(AServerThatDoesntAnswerMayHaveEnded)
{
  auto term = LaterTerm({ kFirst, kSecond });
  RecordCheck(term, kFirst, site::server_fate::Running);
  RecordCheck(term, kSecond, site::server_fate::Unknown);
  BOOST_TEST((term.mPhase == term_phase::Beginning));
  BOOST_TEST((AssumedFate(term) == run_fate::Open));
  RecordCheck(term, kSecond, site::server_fate::Ended);
  BOOST_TEST((AssumedFate(term) == run_fate::Ended));
}

// Guards against sound items that keep an assumed end although the server that
// was silent answers later.
BOOST_AUTO_TEST_CASE(AServerThatAnswersLaterHasNotEnded)
{
  auto term = LaterTerm({ kFirst, kSecond });
  run_ledger ledger;
  RecordCheck(term, kFirst, site::server_fate::Unknown);
  RecordCheck(term, kSecond, site::server_fate::Unknown);
  AssumeUnstoredEnd(ledger, term);
  BOOST_TEST(ServersLost(ledger) == 1);
  RecordCheck(term, kFirst, site::server_fate::Running);
  BOOST_TEST(!ReviseAssumedEnd(ledger, term));
  RecordCheck(term, kSecond, site::server_fate::Running);
  BOOST_TEST(ReviseAssumedEnd(ledger, term));
  BOOST_TEST(ServersLost(ledger) == 0);
  BOOST_TEST(ServersCounted(ledger).empty());
}

// Guards against an assumed end that no later owner takes back, and against one
// that is taken back when another server answers: the ledger names the server
// that came into question.
BOOST_AUTO_TEST_CASE(AnEndAssumedOfOneServerNamesIt)
{
  run_ledger ledger;
  auto term = LaterTerm({ kFirst, kSecond });
  RecordCheck(term, kFirst, site::server_fate::Unknown);
  RecordCheck(term, kSecond, site::server_fate::Running);
  AssumeUnstoredEnd(ledger, term);
  BOOST_TEST((OpenRuns(ledger) == std::vector<site::server_start>{ kFirst }));
  auto next = LaterTerm({ kSecond });
  RecordCheck(next, kSecond, site::server_fate::Running);
  BOOST_TEST(!ReviseAssumedEnd(ledger, next));
  BOOST_TEST(ServersLost(ledger) == 1);
}

// Guards against an end that is taken back: one server of several has ended.
BOOST_AUTO_TEST_CASE(AnEndThatIsKnownIsntTakenBack)
{
  auto term = LaterTerm({ kFirst, kSecond });
  run_ledger ledger;
  RecordCheck(term, kFirst, site::server_fate::Unknown);
  RecordCheck(term, kSecond, site::server_fate::Ended);
  AssumeUnstoredEnd(ledger, term);
  RecordCheck(term, kFirst, site::server_fate::Running);
  BOOST_TEST(!ReviseAssumedEnd(ledger, term));
  BOOST_TEST(ServersLost(ledger) == 1);
}

// Guards against a run at a server of whose end no later owner would know.
BOOST_AUTO_TEST_CASE(AServerIsUsedOnceItIsListed)
{
  auto term = FirstTerm({ kFirst });
  BOOST_TEST(MayUse(term, kFirst));
  BOOST_TEST(!MayUse(term, kSecond));
  const auto change = ChangeOf(term, { kFirst, kSecond }, AlwaysMayRemove);
  BOOST_TEST(ApplyChange(term, change, true));
  BOOST_TEST(MayUse(term, kSecond));
}

// Guards against items that are sent while their assumed ends live in memory
// only.
BOOST_AUTO_TEST_CASE(ALaterOwnerSendsNothingBeforeItsTermIsStored)
{
  auto term = LaterTerm({});
  BOOST_TEST(!MayUse(term, kFirst));
  const auto change = ChangeOf(term, { kFirst }, AlwaysMayRemove);
  BOOST_TEST(change.mBeginsTerm);
  BOOST_TEST(ApplyChange(term, change, true));
  BOOST_TEST(MayUse(term, kFirst));
}

// Guards against an owner that goes on after another one has assumed what it
// didn't store.
BOOST_AUTO_TEST_CASE(AnotherOwnersTermEndsThisOne)
{
  auto term = FirstTerm({ kFirst });
  BOOST_TEST(!ApplyChange(term, { true, { kSecond }, {} }, false));
}

// Guards against a server that is taken off the list while its end isn't
// stored.
BOOST_AUTO_TEST_CASE(AServerStaysListedUntilItsEndsAreStored)
{
  const auto term = FirstTerm({ kFirst });
  const auto never = [](const auto&) { return false; };
  BOOST_TEST(ChangeOf(term, {}, never).IsEmpty());
  BOOST_TEST(ChangeOf(term, {}, AlwaysMayRemove).mRemoved.size() == 1u);
}

// Guards against a fourth ended server, whichever of owner, store and servers
// stops between any two steps.
BOOST_AUTO_TEST_CASE(NoOrderOfStepsEndsAFourthServer)
{
  BOOST_TEST(rc::check("ends", [] {
    batch_model model;
    const auto choices = *rc::gen::container<std::vector<unsigned>>(
      300, rc::gen::inRange(0u, batch_model::kSteps * 16));
    for (const auto choice : choices) {
      model.Step(choice);
      RC_ASSERT(model.EndsUnderItem() <= kMaximumServersLost);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
