#include "Duties/Site/ServerChecks.h"
#include "Duties/Versions/OrderDuty.h"
#include "Libraries/Edge/RunAfter.h"
#include "Libraries/Json/Value.h"
#include "Tests/Site/Support/ForwardingSite.h"
#include "Tests/Site/Support/HostileServer.h"
#include "Tests/Site/Support/ModelServer.h"
#include "platform/Orders.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** Most that one process may hold of answers, and of what waits for a slow
 * caller. */
constexpr std::size_t kMaximumHeld = 2 << 20;
const std::string kVictim = "victim";

void
RunAll(test_loop& aLoop, const std::function<bool()>& aIsDone)
{
  BOOST_TEST(aLoop.RunUntil(aIsDone));
}

/** What a caller got in the end. */
enum class outcome
{
  /** The whole answer to its own request. */
  Own,
  /** 502: it may have run. */
  MayHaveRun,
  /** 504: it may have run, and its deadline is over. */
  TooLate,
  /** A response that is visibly not whole. */
  Cut,
  /** Anything else. */
  Wrong
};

std::ostream&
operator<<(std::ostream& aStream, outcome aOutcome)
{
  const char* names[] = { "own", "502", "504", "cut", "wrong" };
  return aStream << names[static_cast<int>(aOutcome)];
}

/** What a sound server answers. */
answer_parts
OwnAnswer(const edge::request& aRequest)
{
  const auto id = IdOf(aRequest);
  return { 200, id, "X-Server-Seal: seal-" + id + "\r\n", "whole answer" };
}

/** A caller that reads no faster than a usual one. */
class paced_call
{
public:
  paced_call(forwarding_site& aSite,
             const std::shared_ptr<edge::client_pool>& aCallers,
             std::string aId,
             milliseconds aDeadline)
    : mId(std::move(aId))
  {
    edge::request request;
    request.mMethod = "POST";
    request.mTarget = "/x";
    request.mHeaders.Add("X-Attempt-Id", mId);
    request.mHeaders.Add("X-Deadline-Ms", std::to_string(aDeadline.count()));
    edge::call_events events;
    events.mOnHead = [this](const auto& aHead) { mAnswer = aHead; };
    events.mOnBody = [this, &aSite](auto aPiece) { HandleBody(aSite, aPiece); };
    events.mOnEnd = [this](auto aEnd) {
      mEnd = aEnd;
      mIsDone = true;
    };
    mCall = aCallers->Start(
      { "127.0.0.1", aSite.mListener.Port() }, request, {}, std::move(events));
  }
  paced_call(const paced_call&) = delete;
  paced_call& operator=(const paced_call&) = delete;

  outcome Outcome() const
  {
    if (mEnd != edge::call_end::Complete) {
      return outcome::Cut;
    }
    if (mAnswer.mStatus == 502 || mAnswer.mStatus == 504) {
      return mAnswer.mStatus == 502 ? outcome::MayHaveRun : outcome::TooLate;
    }
    const bool isOwn =
      mAnswer.mStatus == 200 && mAnswer.mBody == "whole answer" &&
      mAnswer.mHeaders.ValueOr("X-Server-Seal", "") == "seal-" + mId;
    return isOwn ? outcome::Own : outcome::Wrong;
  }

  const std::string mId;
  bool mIsDone = false;

private:
  void HandleBody(forwarding_site& aSite, std::string_view aPiece)
  {
    constexpr std::size_t kKept = 4096;
    constexpr milliseconds kPause = 10ms;
    mAnswer.mBody += aPiece.substr(0, kKept);
    if (mAnswer.mBody.size() > kKept) {
      mCall.Pause();
      edge::RunAfter(aSite.mLoop.mLoop, kPause, [this] { mCall.Resume(); });
    }
  }

  edge::call_handle mCall;
  edge::call_end mEnd = edge::call_end::NotSent;
  edge::response mAnswer;
};

/** An entry that forwards requests to a server which answers in one wrong way,
 * and beside it, once that has done so, to a sound one. */
struct hostile_forwarding : forwarding_site
{
  hostile_forwarding(const std::shared_ptr<test_loop>& aLoop,
                     site::retry_policy aRepetition,
                     const wrong_way& aWay)
    : forwarding_site(aRepetition, aLoop)
    , mWay(aWay)
    , mHostile(mLoop, aWay, OwnAnswer)
    , mSound(mLoop)
  {
    mHostile.mIsVictim = [this](const auto& aRequest) {
      const bool isVictim = IdOf(aRequest) == kVictim;
      mVictimRequests += isVictim ? 1 : 0;
      return isVictim;
    };
    mHostile.mOnWrong = [this] { Add("s2", mSound); };
    mSound.mServe = [this](const auto& aExchange) {
      mRepeated += IdOf(aExchange->mRequest) == kVictim ? 1 : 0;
      aExchange->Answer(plain_server::Answer(aExchange, 200));
    };
    Add("s1", mHostile.mServer);
  }

  void Start(const std::string& aId, milliseconds aDeadline)
  {
    mCalls.emplace_back(*this, mCallers, aId, aDeadline);
  }

  bool IsDone() const
  {
    return std::all_of(mCalls.begin(), mCalls.end(), [](const auto& aCall) {
      return aCall.mIsDone;
    });
  }

  void RecordHeld()
  {
    mMostHeld =
      std::max(mMostHeld, mClients->AnswerBytes() + mListener.HeldBytes());
  }

  const wrong_way mWay;
  hostile_server mHostile;
  plain_server mSound;
  std::shared_ptr<edge::client_pool> mCallers =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  std::deque<paced_call> mCalls;
  int mVictimRequests = 0;
  /** Victim's requests at the sound server. */
  int mRepeated = 0;
  std::size_t mMostHeld = 0;
};

/** Sends a victim's request and others at the same time, for each wrong way,
 * and checks what the callers get. */
void
CheckForwardingIn(const std::vector<wrong_way>& aWays,
                  site::retry_policy aRepetition,
                  bool aIsStream,
                  const std::function<outcome(const wrong_way&)>& aExpected)
{
  constexpr milliseconds kDeadline = 15s;
  // Of a request that nothing else ends.
  constexpr milliseconds kShortDeadline = 1500ms;
  const auto loop = std::make_shared<test_loop>();
  std::deque<hostile_forwarding> sites;
  for (const auto& way : aWays) {
    sites.emplace_back(loop, aRepetition, way).mRoute->mIsStream = aIsStream;
  }
  loop->mOnTurn = [&] {
    for (auto& site : sites) {
      site.RecordHeld();
    }
  };
  const auto isDone = [&] {
    return std::all_of(sites.begin(), sites.end(), [](const auto& aSite) {
      return aSite.IsDone();
    });
  };
  for (auto& site : sites) {
    site.Start("first-1", kDeadline);
    site.Start("first-2", kDeadline);
  }
  RunAll(*loop, isDone);
  for (auto& site : sites) {
    const auto expected = aExpected(site.mWay);
    const bool endsByItself =
      expected == outcome::Own || expected == outcome::MayHaveRun;
    site.Start(kVictim, endsByItself ? kDeadline : kShortDeadline);
    site.Start("beside-1", kDeadline);
    site.Start("beside-2", kDeadline);
  }
  RunAll(*loop, isDone);
  const bool isOnce = aRepetition == site::retry_policy::AtMostOnce;
  for (const auto& site : sites) {
    BOOST_TEST_CONTEXT(NameOf(site.mWay))
    {
      for (const auto& call : site.mCalls) {
        BOOST_TEST_INFO(call.mId);
        BOOST_TEST(call.Outcome() ==
                   (call.mId == kVictim ? aExpected(site.mWay) : outcome::Own));
      }
      // Connections of requests that may run once serve one request each.
      const bool isHit = !isOnce || site.mWay.mPlace != answer_place::ExtraLate;
      BOOST_TEST((site.mHostile.mWrongs > 0) == isHit);
      BOOST_TEST(site.mVictimRequests == 1);
      BOOST_TEST((!isOnce || site.mRepeated == 0));
      BOOST_TEST(site.mMostHeld < kMaximumHeld);
    }
  }
}

/** The same for all wrong ways, a few at a time: more would keep one loop from
 * accepting connections within an entry's time limit. */
void
CheckForwarding(site::retry_policy aRepetition,
                bool aIsStream,
                const std::function<outcome(const wrong_way&)>& aExpected)
{
  constexpr std::size_t kAtATime = 11;
  const auto ways = AllWrongWays();
  for (auto way = ways.begin(); way != ways.end();) {
    const auto left = static_cast<std::size_t>(ways.end() - way);
    const auto end =
      way + static_cast<std::ptrdiff_t>(std::min(kAtATime, left));
    CheckForwardingIn({ way, end }, aRepetition, aIsStream, aExpected);
    way = end;
  }
}

/** Whether the bytes look like an own response that goes on and on. */
bool
IsLongOwnBody(const wrong_way& aWay)
{
  return aWay.mId == answer_id::Own && aWay.mPlace == answer_place::Instead &&
         (aWay.mShape == answer_shape::EndlessLine ||
          aWay.mShape == answer_shape::EndlessEvent ||
          aWay.mShape == answer_shape::EndlessBody);
}

outcome
OutcomeOfSafe(const wrong_way& aWay)
{
  return IsLongOwnBody(aWay) ? outcome::Cut : outcome::Own;
}

outcome
OutcomeOfOnce(const wrong_way& aWay)
{
  if (aWay.mPlace != answer_place::Instead) {
    return aWay.mPlace == answer_place::ExtraLate ? outcome::Own
                                                  : outcome::MayHaveRun;
  }
  const bool isSlow =
    aWay.mShape == answer_shape::Missing ||
    aWay.mShape == answer_shape::DrippingHead ||
    (aWay.mShape == answer_shape::DrippingBody && aWay.mId == answer_id::Own);
  if (isSlow) {
    return outcome::TooLate;
  }
  return IsLongOwnBody(aWay) ? outcome::Cut : outcome::MayHaveRun;
}

outcome
OutcomeOfStream(const wrong_way& aWay)
{
  const bool hasBegun =
    aWay.mPlace == answer_place::ExtraAtOnce ||
    (aWay.mPlace == answer_place::Instead && aWay.mId == answer_id::Own &&
     aWay.mShape != answer_shape::InvalidStatus &&
     aWay.mShape != answer_shape::FoldedLine &&
     aWay.mShape != answer_shape::CutHead &&
     aWay.mShape != answer_shape::Missing &&
     aWay.mShape != answer_shape::DrippingHead &&
     aWay.mShape != answer_shape::EndlessHead);
  return hasBegun ? outcome::Cut : OutcomeOfOnce(aWay);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestHostileCalls)

// Guards against a caller of a request that may be repeated who gets another
// answer than its own, or an error because one server is faulty.
BOOST_AUTO_TEST_CASE(ASafeRequestIsServedWhateverAServerAnswers)
{
  CheckForwarding(site::retry_policy::Idempotent, false, OutcomeOfSafe);
}

// Guards against a request that may run once and is sent twice, or whose caller
// gets an answer that isn't its own.
BOOST_AUTO_TEST_CASE(ARequestThatMayRunOnceEndsWhateverAServerAnswers)
{
  CheckForwarding(site::retry_policy::AtMostOnce, false, OutcomeOfOnce);
}

// As above, for a stream, and against one that its caller takes for whole.
BOOST_AUTO_TEST_CASE(AStreamEndsWhateverAServerAnswers)
{
  CheckForwarding(site::retry_policy::AtMostOnce, true, OutcomeOfStream);
}

namespace {

/** An entry that asks two servers whether they still run; the first answer of
 * one of them is wrong. */
struct hostile_check
{
  hostile_check(test_loop& aLoop, const wrong_way& aWay)
    : mWay(aWay)
    , mClients(std::make_shared<edge::client_pool>(aLoop.mLoop))
    , mHostile(aLoop, aWay, [](const auto&) { return ReportParts(); })
    , mSound(aLoop, {})
    , mChecks(aLoop.mLoop, *mClients, mProtocol, mDirectory, mMetrics)
  {
    mHostile.mReport.reset();
    mHostile.mWrongsLeft = 1;
    mChecks.Check({ "s1", 0 },
                  mHostile.mServer.Entry("s1").mAddress,
                  [this](auto aFate) { mFates.push_back(aFate); });
    mChecks.Check({ "s2", 0 }, mSound.Entry("s2").mAddress, [this](auto aFate) {
      mSoundFates.push_back(aFate);
    });
  }

  bool IsDone() const
  {
    return !mFates.empty() && mFates.back() == site::server_fate::Running &&
           !mSoundFates.empty();
  }

  const wrong_way mWay;
  std::shared_ptr<edge::client_pool> mClients;
  site::exchange_protocol mProtocol = platform::MakeExchangeProtocol();
  site::server_directory mDirectory;
  metrics::registry mMetrics;
  hostile_server mHostile;
  byte_server mSound;
  site::server_checks mChecks;
  std::vector<site::server_fate> mFates;
  std::vector<site::server_fate> mSoundFates;
  std::size_t mMostHeld = 0;
};

} // namespace

// Guards against a server that is taken to have ended, or whose fate nobody
// learns, because an answer to the question was wrong.
BOOST_AUTO_TEST_CASE(AServersFateIsLearntWhateverItAnswersAtFirst)
{
  test_loop loop;
  std::deque<hostile_check> checks;
  for (const auto& way : AllWrongWays()) {
    checks.emplace_back(loop, way);
  }
  loop.mOnTurn = [&] {
    for (auto& check : checks) {
      check.mMostHeld =
        std::max(check.mMostHeld, check.mClients->AnswerBytes());
    }
  };
  RunAll(loop, [&] {
    return std::all_of(checks.begin(), checks.end(), [](const auto& aCheck) {
      return aCheck.IsDone();
    });
  });
  for (const auto& check : checks) {
    BOOST_TEST_CONTEXT(NameOf(check.mWay))
    {
      BOOST_TEST(check.IsDone());
      BOOST_TEST((std::count(check.mFates.begin(),
                             check.mFates.end(),
                             site::server_fate::Ended) == 0));
      BOOST_TEST(check.mSoundFates.size() == 1u);
      BOOST_TEST((check.mSoundFates.front() == site::server_fate::Running));
      // Each question has a connection of its own.
      BOOST_TEST((check.mHostile.mWrongs > 0) ==
                 (check.mWay.mPlace != answer_place::ExtraLate));
      BOOST_TEST(check.mMostHeld < kMaximumHeld);
    }
  }
}

namespace {

/** An entry that tells the target versions once to a controller that doesn't
 * know them. */
struct target_entry
{
  explicit target_entry(test_loop& aLoop)
    : mServer(aLoop, [this](const auto& aChannel, const auto& aRequest) {
      const auto body = json::Parse(aRequest.mBody);
      BOOST_REQUIRE((body && body->Find("held") && body->Find("known")));
      mHeld = json::IntegerAt(*body->Find("held"), "model", 0);
      if (json::IntegerAt(*body->Find("known"), "model", 0) != 2) {
        aChannel->Write(
          ResponseBytes(200, "", "", R"({"wanted":{"model":2}})"));
      }
    })
  {
  }

  /** Version that the controller last told. */
  std::int64_t mHeld = 0;
  byte_server mServer;
};

/** What a model server does with orders. */
struct loading_model
{
  answer_parts Answer(const edge::request& aRequest)
  {
    return aRequest.mTarget == "/order" ? TakeOrder(aRequest) : Report();
  }

  answer_parts Report()
  {
    const bool isBusy = mBusyReports > 0;
    mBusyReports -= isBusy ? 1 : 0;
    mVersion = mAccepted > 0 && !isBusy ? 2 : 1;
    const json::value models = json::array{ json::object{
      { "name", "model" }, { "version", mVersion } } };
    return { 200,
             {},
             {},
             json::Write(json::object{ { "born", 0 },
                                       { "models", models },
                                       { "busy", isBusy },
                                       { "seq", mAccepted },
                                       { "running", 0 },
                                       { "waiting", 0 } }) };
  }

  answer_parts TakeOrder(const edge::request& aRequest)
  {
    const auto order = json::Parse(aRequest.mBody);
    BOOST_REQUIRE(order);
    if (json::IntegerAt(*order, "expect", -1) != mAccepted) {
      return { 409, {}, {}, {} };
    }
    ++mAccepted;
    mBusyReports = 2;
    return { 202, {}, {}, {} };
  }

  std::int64_t mAccepted = 0;
  std::int64_t mVersion = 1;
  /** Number of reports until the weights are loaded. */
  int mBusyReports = 0;
};

/** A process that controls two servers, one of which answers some requests
 * wrongly. */
struct hostile_order
{
  hostile_order(test_loop& aLoop,
                const wrong_way& aWay,
                const std::string& aVictim)
    : mWay(aWay)
    , mClients(std::make_shared<edge::client_pool>(aLoop.mLoop))
    , mEntry(aLoop)
    , mSoundsEntry(aLoop)
    , mHostile(aLoop,
               aWay,
               [this](const auto& aRequest) { return mModel.Answer(aRequest); })
    , mSound(aLoop.mLoop, "s2")
    , mDuty(Parts(aLoop,
                  mHostile.mServer.Entry("s1").mAddress,
                  mEntry.mServer.Entry("e").mAddress))
    , mSoundsDuty(Parts(aLoop,
                        mSound.Entry().mAddress,
                        mSoundsEntry.mServer.Entry("e").mAddress))
  {
    mHostile.mReport.reset();
    mHostile.mWrongsLeft = 3;
    mHostile.mIsVictim = [aVictim](const auto& aRequest) {
      return aRequest.mTarget == aVictim;
    };
    mDuty.Start();
    mSoundsDuty.Start();
  }

  versions::order_dependencies Parts(test_loop& aLoop,
                                     const edge::endpoint& aServer,
                                     const edge::endpoint& aEntry)
  {
    return { aLoop.mLoop,
             *mClients,
             aServer,
             "agent",
             [aEntry](const auto& aDone) { aDone({ aEntry }); },
             [](const versions::claim_done& aDone) {
               aDone(versions::order_permission{});
             },
             nullptr,
             platform::EncodeReportRequest,
             platform::DecodeReport,
             platform::EncodeOrder };
  }

  bool IsDone() const { return mEntry.mHeld == 2 && mSoundsEntry.mHeld == 2; }

  const wrong_way mWay;
  std::shared_ptr<edge::client_pool> mClients;
  target_entry mEntry;
  target_entry mSoundsEntry;
  loading_model mModel;
  hostile_server mHostile;
  model_server mSound;
  versions::order_duty mDuty;
  versions::order_duty mSoundsDuty;
  std::size_t mMostHeld = 0;
};

/** Checks that both servers load the version once, in each wrong way.
 * @param aVictim path of the requests that are answered wrongly */
void
CheckOrders(const std::string& aVictim)
{
  test_loop loop;
  std::deque<hostile_order> orders;
  for (const auto& way : AllWrongWays()) {
    orders.emplace_back(loop, way, aVictim);
  }
  loop.mOnTurn = [&] {
    for (auto& order : orders) {
      order.mMostHeld =
        std::max(order.mMostHeld, order.mClients->AnswerBytes());
    }
  };
  RunAll(loop, [&] {
    return std::all_of(orders.begin(), orders.end(), [](const auto& aOrder) {
      return aOrder.IsDone();
    });
  });
  for (const auto& order : orders) {
    BOOST_TEST_CONTEXT(NameOf(order.mWay))
    {
      BOOST_TEST(order.IsDone());
      BOOST_TEST(order.mModel.mAccepted == 1);
      BOOST_TEST(order.mModel.mVersion == 2);
      BOOST_TEST(order.mSound.mOrders.size() == 1u);
      BOOST_TEST(order.mHostile.mWrongs > 0);
      BOOST_TEST(order.mMostHeld < kMaximumHeld);
    }
  }
}

} // namespace

// Guards against a server that isn't ordered any more, or is ordered by another
// answer than its report, because it answered a request for its report wrongly.
BOOST_AUTO_TEST_CASE(AServerIsOrderedWhateverItReportsAtFirst)
{
  CheckOrders("/report");
}

// Guards against an order that is repeated, or after which nothing follows,
// because the answer to it was wrong.
BOOST_AUTO_TEST_CASE(AnOrderIsCarriedOutOnceWhateverIsAnswered)
{
  CheckOrders("/order");
}

BOOST_AUTO_TEST_SUITE_END()
