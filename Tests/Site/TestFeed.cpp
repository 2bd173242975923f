#include "Duties/Feed/StoreFeed.h"
#include "Libraries/Edge/LoopScheduler.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/Loop.h"
#include "Tests/Site/Support/OddNames.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** One entry that follows the kind "things", and the objects it knows. */
struct follower
{
  follower(test_loop& aLoop,
           std::shared_ptr<edge::client_pool> aClients,
           standin::memory_store_state& aState,
           std::string aName,
           std::map<std::string, edge::endpoint>& aPeers)
    : mClients(std::move(aClients))
    , mName(std::move(aName))
    , mPeers(aPeers)
    , mStore(MakeStore(aLoop, aState))
    , mFeed(
        { edge::LoopScheduler(aLoop.mLoop),
          mStore,
          mStore,
          [this, &aLoop](const auto& aEntry,
                         const auto& aRequest,
                         const auto& aOptions,
                         milliseconds aDeadline,
                         auto aDone) {
            edge::FetchWhole(*mClients,
                             aLoop.mLoop,
                             aEntry,
                             aRequest,
                             aOptions,
                             aDeadline,
                             1 << 20,
                             std::move(aDone));
          },
          mName,
          "entries",
          [this] {
            std::vector<feed::feed_candidate> candidates;
            for (const auto& [name, address] : mPeers) {
              candidates.push_back({ name, address });
            }
            return candidates;
          },
          [this](bool aIsReachable) {
            mIsReachable = aIsReachable;
            mLosses += aIsReachable ? 0 : 1;
          } },
        { { "things",
            feed::freshness_rule::EveryResponse,
            {},
            [this](const feed::object_map& aObjects) { mThings = aObjects; },
            [this](const objects::object_event& aEvent) {
              if (aEvent.mIsDeleted) {
                mThings.erase(aEvent.mObject.mName);
              } else {
                mThings[aEvent.mObject.mName] = aEvent.mObject;
              }
            } } })
    , mListener(aLoop.mLoop,
                std::make_shared<edge::listener_limits>(),
                [this](const auto& aExchange) {
                  if (mIsSilent) {
                    mUnanswered.push_back(aExchange);
                  } else {
                    mFeed.Serve(aExchange->mRequest,
                                feed::RequesterOf(aExchange));
                  }
                })
  {
    mListener.Open({ "127.0.0.1", 0 });
    mPeers[mName] = { "127.0.0.1", mListener.Port() };
  }

  /** The store, of which the object that this entry reads by its name may be
   * unreadable. */
  objects::object_store MakeStore(test_loop& aLoop,
                                  standin::memory_store_state& aState)
  {
    auto store =
      standin::MakeMemoryStore(edge::LoopScheduler(aLoop.mLoop), aState);
    store.mGet = [this, get = store.mGet](const auto& aKind,
                                          const auto& aName,
                                          auto aFreshness,
                                          auto aDone) {
      get(aKind, aName, aFreshness, [this, aDone](auto aReply) {
        if (mIsOwnObjectSpoilt) {
          aReply.mOutcome = objects::store_outcome::Unknown;
          aReply.mIsUnreadable = true;
        }
        aDone(std::move(aReply));
      });
    };
    return store;
  }

  std::int64_t Value(const std::string& aName) const
  {
    const auto found = mThings.find(aName);
    return found == mThings.end()
             ? -1
             : json::IntegerAt(found->second.mSpec, "value", -1);
  }

  std::shared_ptr<edge::client_pool> mClients;
  const std::string mName;
  std::map<std::string, edge::endpoint>& mPeers;
  bool mIsOwnObjectSpoilt = false;
  objects::object_store mStore;
  feed::object_map mThings;
  bool mIsReachable = true;
  /** How often the store's state became unknown here. */
  int mLosses = 0;
  /** Whether this entry leaves requests unanswered. */
  bool mIsSilent = false;
  std::vector<edge::exchange_ptr> mUnanswered;
  feed::store_feed mFeed;
  edge::listener mListener;
};

struct feed_site
{
  test_loop mLoop;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  /** The store. An entry that shall be refused gets a store state of its own.
   */
  standin::memory_store_state mState;
  std::map<std::string, edge::endpoint> mPeers;

  void Put(int aValue)
  {
    standin::PutDirectly(
      mState, "things", "x", "{\"value\":" + std::to_string(aValue) + "}");
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestFeed)

BOOST_AUTO_TEST_CASE(OneEntryWatchesAndAllReceiveChanges)
{
  feed_site site;
  site.Put(1);
  follower first(site.mLoop, site.mClients, site.mState, "a", site.mPeers);
  follower second(site.mLoop, site.mClients, site.mState, "b", site.mPeers);
  follower third(site.mLoop, site.mClients, site.mState, "c", site.mPeers);
  for (auto* entry : { &first, &second, &third }) {
    entry->mFeed.Start();
  }
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return second.Value("x") == 1 && third.Value("x") == 1; }));
  const int before = site.mState.mCalls;
  site.Put(2);
  BOOST_TEST(site.mLoop.RunUntil([&] {
    return first.Value("x") == 2 && second.Value("x") == 2 &&
           third.Value("x") == 2;
  }));
  // The watch that returned the change, the next watch, and maybe a probe.
  BOOST_TEST(site.mState.mCalls - before <= 3);
}

// Guards against an object that one entry knows and the others don't, because
// its name changes on the way from one to the next.
BOOST_AUTO_TEST_CASE(OddNamesReachEachEntry)
{
  feed_site site;
  site.Put(1);
  auto names = OddNames();
  const auto late = names.back();
  names.pop_back();
  for (const auto& name : names) {
    standin::PutDirectly(site.mState, "things", name, R"({"value":3})");
  }
  follower first(site.mLoop, site.mClients, site.mState, "a", site.mPeers);
  follower second(site.mLoop, site.mClients, site.mState, "b", site.mPeers);
  for (auto* entry : { &first, &second }) {
    entry->mFeed.Start();
  }
  const auto knows = [&](const follower& aEntry, const std::string& aName) {
    return aEntry.Value(aName) == 3;
  };
  BOOST_TEST(site.mLoop.RunUntil([&] {
    return std::all_of(names.begin(), names.end(), [&](const auto& aName) {
      return knows(first, aName) && knows(second, aName);
    });
  }));
  BOOST_TEST(second.mFeed.SourceName() == "a");
  standin::PutDirectly(site.mState, "things", late, R"({"value":3})");
  BOOST_TEST(site.mLoop.RunUntil([&] { return knows(second, late); }));
  for (const auto& name : names) {
    standin::RemoveDirectly(site.mState, "things", name);
  }
  // The late one and the plain one are left.
  BOOST_TEST(site.mLoop.RunUntil([&] { return second.mThings.size() == 2u; }));
}

/** With 360 entries each one has at most 16 followers and a depth of at most 3
 * in the tree. There are no cycles, because an entry follows only entries whose
 * names sort before its own. */
BOOST_AUTO_TEST_CASE(TheTreeOfEntriesIsFlatAndHasNoCycle)
{
  std::vector<feed::feed_candidate> all;
  for (int i = 0; i < 360; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "entry-%03d", i);
    all.push_back({ name, {} });
  }
  std::map<std::string, int> followers;
  std::map<std::string, int> depth;
  for (const auto& entry : all) {
    const auto order = feed::SourcePreference(all, entry.mName);
    BOOST_TEST(order.size() == static_cast<std::size_t>(&entry - all.data()));
    for (const auto& asked : order) {
      BOOST_TEST(asked.mName < entry.mName);
    }
    if (!order.empty()) {
      ++followers[order.front().mName];
      depth[entry.mName] = depth[order.front().mName] + 1;
      BOOST_TEST(depth[entry.mName] <= 3);
    }
  }
  for (const auto& [name, count] : followers) {
    BOOST_TEST(count <= 16);
  }
}

// Guards against an operator's change that is in force late at most entries:
// the entry that watches the store for all stops responding without closing its
// connections, right before the change.
BOOST_AUTO_TEST_CASE(TheLossOfTheWatchingEntryDelaysAChangeBriefly)
{
  feed_site site;
  site.Put(1);
  follower first(site.mLoop, site.mClients, site.mState, "a", site.mPeers);
  follower second(site.mLoop, site.mClients, site.mState, "b", site.mPeers);
  follower third(site.mLoop, site.mClients, site.mState, "c", site.mPeers);
  for (auto* entry : { &first, &second, &third }) {
    entry->mFeed.Start();
  }
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return second.Value("x") == 1 && third.Value("x") == 1; }));
  first.mIsSilent = true;
  site.Put(2);
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return second.Value("x") == 2 && third.Value("x") == 2; }));
}

// Guards against an entry for which the store passes for silent because another
// writer spoilt the one object by which the entry checks that the store
// answers.
BOOST_AUTO_TEST_CASE(AnOwnObjectThatCantBeReadCutsNoEntryOff)
{
  feed_site site;
  site.Put(1);
  follower only(site.mLoop, site.mClients, site.mState, "a", site.mPeers);
  only.mFeed.Start();
  BOOST_TEST(site.mLoop.RunUntil([&] { return only.Value("x") == 1; }));
  only.mIsOwnObjectSpoilt = true;
  BOOST_TEST(!site.mLoop.RunUntil([&] { return only.mLosses > 0; }, 3s));
  BOOST_TEST(only.mFeed.IsReachable());
  site.Put(2);
  BOOST_TEST(site.mLoop.RunUntil([&] { return only.Value("x") == 2; }));
}

// Guards against an entry that serves callers with an old configuration while
// the store refuses it but serves the others. The entry must follow another
// one.
BOOST_AUTO_TEST_CASE(AnEntryThatTheStoreRefusesFollowsAnother)
{
  feed_site site;
  site.Put(1);
  standin::memory_store_state turnedAway;
  standin::PutDirectly(turnedAway, "things", "x", "{\"value\":1}");
  follower first(site.mLoop, site.mClients, turnedAway, "a", site.mPeers);
  follower second(site.mLoop, site.mClients, site.mState, "b", site.mPeers);
  first.mFeed.Start();
  second.mFeed.Start();
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return first.Value("x") == 1 && second.Value("x") == 1; }));
  turnedAway.mFault = standin::store_fault::Refuse;
  site.Put(7);
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return first.Value("x") == 7 && second.Value("x") == 7; }));
  BOOST_TEST(first.mFeed.IsReachable());
}

// Guards against an entry that the store refuses for long and that answers
// agents and trainers with "unknown" for half a second out of every few: it
// stopped following its source whenever it checked whether the store serves it
// again. It must check while it follows, and watch again once the store
// answers.
BOOST_AUTO_TEST_CASE(AnEntryThatIsStillRefusedKeepsFollowing)
{
  feed_site site;
  site.Put(1);
  standin::memory_store_state turnedAway;
  standin::PutDirectly(turnedAway, "things", "x", "{\"value\":1}");
  follower first(site.mLoop, site.mClients, turnedAway, "a", site.mPeers);
  follower second(site.mLoop, site.mClients, site.mState, "b", site.mPeers);
  first.mFeed.Start();
  second.mFeed.Start();
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return first.Value("x") == 1 && second.Value("x") == 1; }));
  turnedAway.mFault = standin::store_fault::Refuse;
  site.Put(7);
  BOOST_TEST(site.mLoop.RunUntil([&] { return first.Value("x") == 7; }));
  const auto losses = first.mLosses;
  site.mLoop.RunUntil([] { return false; }, 8s);
  BOOST_TEST(first.mLosses == losses);
  BOOST_TEST(!first.mFeed.IsWatching());
  standin::PutDirectly(turnedAway, "things", "x", "{\"value\":9}");
  turnedAway.mFault = standin::store_fault::None;
  BOOST_TEST(site.mLoop.RunUntil([&] { return first.mFeed.IsWatching(); }));
  BOOST_TEST(site.mLoop.RunUntil([&] { return first.Value("x") == 9; }));
}

// Guards against an entry that never learns of the changes made during an
// outage of the store, because its watch from before the outage is never
// answered.
BOOST_AUTO_TEST_CASE(AWatchThatWasLostInAnOutageIsReplaced)
{
  feed_site site;
  site.Put(1);
  follower only(site.mLoop, site.mClients, site.mState, "a", site.mPeers);
  only.mFeed.Start();
  BOOST_TEST(site.mLoop.RunUntil([&] { return only.Value("x") == 1; }));
  site.mState.mFault = standin::store_fault::Silent;
  BOOST_TEST(site.mLoop.RunUntil([&] { return !only.mFeed.IsReachable(); }));
  site.Put(2);
  site.mState.mFault = standin::store_fault::None;
  BOOST_TEST(site.mLoop.RunUntil([&] { return only.Value("x") == 2; }));
}

// Guards against lost or reverted changes when an entry that changes its source
// is sent only what it lacks by revision: the new source may know more or less
// than the entry, and may have learned it by listings.
BOOST_AUTO_TEST_CASE(ChangesSinceARevisionGiveTheNewestObjects)
{
  BOOST_TEST(rc::check("feeds agree after a change of source", [] {
    feed::feed_state source;
    feed::feed_state requester;
    feed::object_map store;
    std::vector<objects::object_event> history;
    objects::revision_number revision = 1;
    const auto list = [&](feed::feed_state& aState) {
      feed::ApplyListing(aState, "k", store);
      feed::RecordRevision(aState, "k", revision);
    };
    const auto watch = [&](feed::feed_state& aState) {
      const auto known = static_cast<std::size_t>(aState.mRevisions["k"]) - 1;
      for (std::size_t i = known; i < history.size(); ++i) {
        feed::ApplyEvent(aState, "k", history[i]);
      }
      feed::RecordRevision(aState, "k", revision);
    };
    const auto learn = [&](feed::feed_state& aState) {
      if (*rc::gen::inRange(0, 3) == 0) {
        list(aState);
      } else {
        watch(aState);
      }
    };
    list(source);
    list(requester);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      objects::object_event event;
      event.mObject.mName = std::string(1, *rc::gen::inRange<char>('a', 'f'));
      event.mObject.mRevision = ++revision;
      const auto known = store.find(event.mObject.mName);
      if (known != store.end() && *rc::gen::inRange(0, 3) == 0) {
        event = { known->second, true };
        store.erase(known);
      } else {
        store[event.mObject.mName] = event.mObject;
      }
      history.push_back(event);
      if (*rc::gen::inRange(0, 3) == 0) {
        learn(source);
      }
      if (*rc::gen::inRange(0, 5) == 0) {
        learn(requester);
      }
    }
    const bool isSourceAhead =
      requester.mRevisions["k"] <= source.mRevisions["k"];
    const auto before = requester.mKinds["k"];
    const auto since = feed::FindSequence(source, requester.mRevisions);
    if (!since) {
      return;
    }
    const auto changes = feed::EncodeChanges(source, since);
    RC_ASSERT(!changes.mIsComplete);
    const auto body =
      feed::EncodeFeed(source, "life", changes, { "a", 0ms, 0ms });
    const auto decoded = feed::DecodeFeed(body.mHead + *body.mSharedTail);
    RC_ASSERT(decoded.has_value());
    for (const auto& change : decoded->mChanges) {
      if (feed::IsNewer(requester, "k", change.mEvent)) {
        feed::ApplyEvent(requester, "k", change.mEvent);
      }
    }
    const auto& expected = isSourceAhead ? source.mKinds["k"] : before;
    RC_ASSERT(requester.mKinds["k"].size() == expected.size());
    for (const auto& [name, object] : expected) {
      RC_ASSERT(requester.mKinds["k"].at(name).mRevision == object.mRevision);
    }
  }));
}

/** For any listings, changes and removals, a requester ends up with the same
 * objects from whichever sequence number it requests changes. */
BOOST_AUTO_TEST_CASE(ChangesSinceAnyNumberGiveTheSameObjects)
{
  BOOST_TEST(rc::check("feeds agree", [] {
    feed::feed_state state;
    std::vector<std::pair<feed::feed_sequence, feed::object_map>> known = {
      { 0, {} }
    };
    objects::revision_number revision = 1;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      const auto name = std::string(1, *rc::gen::inRange<char>('a', 'f'));
      objects::stored_object object;
      object.mName = name;
      object.mRevision = ++revision;
      if (*rc::gen::inRange(0, 4) == 0) {
        auto listed = state.mKinds["k"];
        listed.erase(name);
        feed::ApplyListing(state, "k", listed);
      } else {
        feed::ApplyEvent(state, "k", { object, *rc::gen::inRange(0, 5) == 0 });
      }
      auto& [since, objects] =
        known[*rc::gen::inRange<std::size_t>(0, known.size())];
      const auto encoded = feed::EncodeFeed(
        state, "life", feed::EncodeChanges(state, since), { "a", 0ms, 0ms });
      const auto decoded =
        feed::DecodeFeed(encoded.mHead + *encoded.mSharedTail);
      RC_ASSERT(decoded.has_value());
      if (decoded->mIsComplete) {
        objects.clear();
      }
      for (const auto& change : decoded->mChanges) {
        if (change.mEvent.mIsDeleted) {
          objects.erase(change.mEvent.mObject.mName);
        } else {
          objects[change.mEvent.mObject.mName] = change.mEvent.mObject;
        }
      }
      since = decoded->mNewest;
      RC_ASSERT(objects.size() == state.mKinds["k"].size());
      for (const auto& [key, held] : state.mKinds["k"]) {
        RC_ASSERT(objects.at(key).mRevision == held.mRevision);
      }
      known.push_back({ since, objects });
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
