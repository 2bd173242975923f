#include "Duties/Batches/Records.h"
#include "Libraries/Edge/LoopScheduler.h"
#include "Libraries/ObjectStore/ListAll.h"
#include "Libraries/ObjectStore/Mirror.h"
#include "StandIns/ObjectStore/StoreListener.h"
#include "Tests/Site/Support/Loop.h"
#include "Tests/Site/Support/OddNames.h"
#include "platform/StoreClient.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace lavender;
using namespace lavender::tests;

namespace {

constexpr char kKind[] = "servers";

/** A store behind HTTP, and a client of it. */
struct store_site
{
  store_site() { mPort = mListener.Open(); }

  objects::object_reply Run(
    const std::function<void(objects::object_done)>& aCall)
  {
    std::optional<objects::object_reply> reply;
    aCall([&](objects::object_reply aReply) { reply = std::move(aReply); });
    BOOST_REQUIRE(mLoop.RunUntil([&] { return reply.has_value(); }));
    return *reply;
  }

  objects::object_reply Get(const std::string& aName,
                            objects::freshness aFreshness)
  {
    return Run([&](auto aDone) {
      mClient.mGet(kKind, aName, aFreshness, std::move(aDone));
    });
  }

  objects::object_reply Replace(const std::string& aName,
                                const std::string& aSpec)
  {
    return Run([&](auto aDone) {
      mClient.mReplace(kKind, aName, 0, aSpec, std::move(aDone));
    });
  }

  /** The names that a listing finds; none if it isn't complete. */
  std::optional<std::set<std::string>> List(objects::freshness aFreshness)
  {
    bool isDone = false;
    std::optional<std::set<std::string>> names;
    objects::ListAll(mClient, { kKind, aFreshness }, [&](const auto& aListing) {
      isDone = true;
      if (aListing.mIsComplete) {
        names.emplace();
        for (const auto& [name, object] : aListing.mObjects) {
          names->insert(name);
        }
      }
    });
    mLoop.RunUntil([&] { return isDone; });
    return names;
  }

  test_loop mLoop;
  standin::memory_store_state mState;
  standin::store_listener mListener{ mLoop.mLoop, mState };
  unsigned short mPort = 0;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  platform::store_counts mCounts;
  objects::object_store mClient = platform::MakeStore(
    [this](const auto& aRequest, auto aTimeout, auto aOptions, auto aDone) {
      platform::DirectTransport(mLoop.mLoop, mClients, { "127.0.0.1", mPort })(
        aRequest, aTimeout, aOptions, std::move(aDone));
    },
    mCounts);
};

/** Names that a call reaches instead when a name isn't encoded. */
std::vector<std::string>
NearNames()
{
  return { "model-2", "model-2 x", "model-2Ax", "model-2%41", "main", "A" };
}

std::string
Text(const objects::object_reply& aReply)
{
  return std::string(objects::ToString(aReply.mOutcome)) + " " +
         aReply.mObject.mName;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestOddNames)

// Guards against a call that reaches another object than the one it names: a
// removal would remove that one.
BOOST_AUTO_TEST_CASE(EachCallReachesTheObjectOfItsName)
{
  for (const auto& name : OddNames()) {
    BOOST_TEST_CONTEXT(name.substr(0, 40))
    {
      store_site site;
      for (const auto& near : NearNames()) {
        standin::PutDirectly(site.mState, kKind, near, R"({"near":true})");
      }
      if (site.mState.mKinds[kKind].count(name) > 0) {
        standin::RemoveDirectly(site.mState, kKind, name);
      }
      const auto before = site.mState.mKinds[kKind];
      const auto done = "done " + name;
      BOOST_TEST(Text(site.Run([&](auto aDone) {
                   site.mClient.mCreate(
                     kKind, name, R"({"a":1})", std::move(aDone));
                 })) == done);
      BOOST_TEST(Text(site.Get(name, objects::freshness::Linearizable)) ==
                 done);
      BOOST_TEST(Text(site.Get(name, objects::freshness::MayBeStale)) == done);
      BOOST_TEST(Text(site.Replace(name, R"({"a":2})")) == done);
      BOOST_TEST(Text(site.Run([&](auto aDone) {
                   site.mClient.mReplaceStatus(
                     kKind, name, 0, R"({"b":3})", std::move(aDone));
                 })) == done);
      const auto& written = site.mState.mKinds[kKind][name];
      BOOST_TEST(json::IntegerAt(written.mSpec, "a", 0) == 2);
      BOOST_TEST(json::IntegerAt(written.mStatus, "b", 0) == 3);
      BOOST_TEST(Text(site.Run([&](auto aDone) {
                   site.mClient.mDelete(kKind, name, std::move(aDone));
                 })) == done);
      BOOST_TEST(site.mState.mKinds[kKind].count(name) == 0u);
      BOOST_REQUIRE(site.mState.mKinds[kKind].size() == before.size());
      for (const auto& [near, object] : before) {
        BOOST_TEST(site.mState.mKinds[kKind][near].mRevision ==
                   object.mRevision);
      }
    }
  }
}

// Guards against a listing that leaves objects out, or asks for the same page
// again and again, because a page ends at such a name.
BOOST_AUTO_TEST_CASE(AListingGoesOnBehindAnOddName)
{
  for (const auto& name : OddNames()) {
    BOOST_TEST_CONTEXT(name.substr(0, 40))
    {
      for (const auto freshness : { objects::freshness::Linearizable,
                                    objects::freshness::MayBeStale }) {
        store_site site;
        std::set<std::string> names{
          "\x01", name, name + " ", name + "x", "~"
        };
        for (const auto& near : NearNames()) {
          names.insert(near);
        }
        for (const auto& written : names) {
          standin::PutDirectly(site.mState, kKind, written, "{}");
        }
        site.mState.mPageEnds = { name };
        const auto listed = site.List(freshness);
        BOOST_REQUIRE(listed.has_value());
        BOOST_TEST(*listed == names, boost::test_tools::per_element());
        BOOST_TEST(site.mState.mListCalls == 2);
      }
    }
  }
}

// Guards against an entry that never becomes ready, and calls the store without
// a pause, because a page of a kind that it watches ends at such a name.
BOOST_AUTO_TEST_CASE(AMirrorListsAKindWithOddNames)
{
  store_site site;
  std::set<std::string> names;
  for (const auto& name : OddNames()) {
    standin::PutDirectly(site.mState, kKind, name, "{}");
    site.mState.mPageEnds.insert(name);
    names.insert(name);
  }
  std::set<std::string> listed;
  objects::mirror_options options;
  options.mKind = kKind;
  objects::mirror_events events;
  events.mOnListed = [&](const auto& aObjects) {
    for (const auto& [name, object] : aObjects) {
      listed.insert(name);
    }
  };
  events.mOnEvent = [&](const auto& aEvent) {
    listed.erase(aEvent.mObject.mName);
  };
  const auto mirror = std::make_shared<objects::mirror>(
    edge::LoopScheduler(site.mLoop.mLoop), site.mClient, options, events);
  mirror->Start();
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return listed.size() == names.size(); }));
  BOOST_TEST(listed == names, boost::test_tools::per_element());
  BOOST_TEST(site.mState.mListCalls == static_cast<int>(names.size()));
  for (const auto& name : names) {
    standin::RemoveDirectly(site.mState, kKind, name);
  }
  BOOST_TEST(site.mLoop.RunUntil([&] { return listed.empty(); }));
  mirror->Stop();
}

// Guards against entries that are avoided as owners of all batches, because a
// batch with such a name is offered to them by calls that can't be sent.
BOOST_AUTO_TEST_CASE(AnOddNameIsNoBatchs)
{
  objects::stored_object object;
  object.mSpec = json::object{ { "total", 1 }, { "owner", "a" } };
  object.mName = "b-1_X";
  BOOST_TEST(batches::DecodeMetadata(object).has_value());
  for (const auto& name : OddNames()) {
    object.mName = name;
    BOOST_TEST(!batches::DecodeMetadata(object), name.substr(0, 40));
  }
}

// Guards against a call that is made for a whole kind, or for another one,
// because its path can't hold the name.
BOOST_AUTO_TEST_CASE(NoCallIsSentForANameThatNoPathHolds)
{
  for (const std::string name : { "", ".", ".." }) {
    BOOST_TEST_CONTEXT(name)
    {
      store_site site;
      const auto refused = Text({ objects::store_outcome::Refused, {} });
      BOOST_TEST(Text(site.Get(name, objects::freshness::Linearizable)) ==
                 refused);
      BOOST_TEST(Text(site.Get(name, objects::freshness::MayBeStale)) ==
                 refused);
      BOOST_TEST(Text(site.Replace(name, "{}")) == refused);
      BOOST_TEST(Text(site.Run([&](auto aDone) {
                   site.mClient.mReplaceStatus(
                     kKind, name, 0, "{}", std::move(aDone));
                 })) == refused);
      BOOST_TEST(Text(site.Run([&](auto aDone) {
                   site.mClient.mDelete(kKind, name, std::move(aDone));
                 })) == refused);
      BOOST_TEST(site.mState.mCalls == 0);
      const platform::counted_call removal{ "delete", kKind, "refused" };
      BOOST_TEST(site.mCounts.mCalls[removal] == 1u);
    }
  }
}

// Guards against a kind that can't be listed because a page ends at a name that
// isn't text.
BOOST_AUTO_TEST_CASE(AListingGoesOnBehindANameThatIsntText)
{
  for (const std::string name : { "\xff", "m\xc3", "\xed\xa0\x80" }) {
    store_site site;
    for (const auto& written : { std::string("a"), name, name + "\xff" }) {
      standin::PutDirectly(site.mState, kKind, written, "{}");
      site.mState.mPageEnds.insert(written);
    }
    standin::PutDirectly(site.mState, kKind, "\xff\xff\xff", R"({"a":1})");
    const auto listed = site.List(objects::freshness::Linearizable);
    BOOST_REQUIRE(listed.has_value());
    BOOST_TEST(listed->count("a") == 1u);
    BOOST_TEST(listed->size() == 1u);
    BOOST_TEST(site.mState.mListCalls == 4);
    BOOST_TEST(site.mCounts.mUnreadable[kKind] > 0u);
  }
}

BOOST_AUTO_TEST_SUITE_END()
