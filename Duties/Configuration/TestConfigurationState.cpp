#include "Duties/Configuration/ConfigurationState.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::configuration;
using namespace std::chrono_literals;

namespace {

constexpr int kKeys = 3;

/** Every past state of the store, so that any outdated response can be
 * simulated. */
struct store_history
{
  std::vector<object_map> mAt = { {}, {} };
  std::vector<platform::object_event> mEvents;
  /** Last revision that changed the configuration, by revision. */
  std::vector<std::int64_t> mChangedRevision = { 0, 0 };

  std::int64_t Newest() const
  {
    return static_cast<std::int64_t>(mAt.size()) - 1;
  }
  void Write(const std::string& aKind,
             const std::string& aName,
             std::optional<json::value> aSpec)
  {
    auto next = mAt.back();
    const auto revision = Newest() + 1;
    json::value stored;
    stored.Set("spec", aSpec.value_or(json::object{}));
    if (!aSpec) {
      next.erase({ aKind, aName });
    } else if (IsConfigurationKind(aKind)) {
      next[{ aKind, aName }] = { revision, json::Write(stored) };
    }
    mEvents.push_back({ !aSpec, { aKind, aName, revision, stored } });
    mChangedRevision.push_back(
      IsConfigurationKind(aKind) ? revision : mChangedRevision.back());
    mAt.push_back(std::move(next));
  }
};

void
WriteRandomChange(store_history& aHistory, unsigned aChoice)
{
  const auto name = "key-" + std::to_string(aChoice / 8 % kKeys);
  json::value spec;
  switch (aChoice % 8) {
    case 0:
      aHistory.Write("Lease", "zone", json::value(json::object{}));
      break;
    case 1:
      aHistory.Write("Key", name, std::nullopt);
      break;
    case 2:
      spec.Set("model", "m");
      spec.Set("version", std::int64_t{ aChoice } / 8);
      aHistory.Write("ModelVersion", name, spec);
      break;
    case 3:
      spec.Set("model", "m");
      aHistory.Write("TrainingRun", "run", spec);
      break;
    default:
      // A key may get another hash, as after it is deleted and created again.
      spec.Set("customer", "brf");
      spec.Set("hash", name + "-" + std::to_string(aChoice / 32 % 2));
      spec.Set("withdrawn", aChoice % 2 == 0);
      aHistory.Write("Key", name, spec);
  }
}

platform::object_list
ListAt(const store_history& aHistory, std::int64_t aRevision)
{
  platform::object_list list;
  list.mRevision = aRevision;
  for (const auto& [identity, object] :
       aHistory.mAt[static_cast<std::size_t>(aRevision)]) {
    list.mObjects.push_back({ identity.first,
                              identity.second,
                              object.mRevision,
                              *json::Parse(object.mText) });
  }
  return list;
}

/** Returns the response to a watch from aFrom when the store was at aTo. */
platform::watch_batch
BatchOf(const store_history& aHistory, std::int64_t aFrom, std::int64_t aTo)
{
  platform::watch_batch batch;
  batch.mRevision = aTo;
  for (const auto& event : aHistory.mEvents) {
    if (event.mObject.mRevision > aFrom && event.mObject.mRevision <= aTo) {
      batch.mEvents.push_back(event);
    }
  }
  return batch;
}

bool
IsSameSnapshot(const snapshot& aOne, const snapshot& aOther)
{
  const auto keysOf = [](const snapshot& aSnapshot) {
    std::map<std::string, std::pair<std::string, bool>> keys;
    for (const auto& [hash, key] : aSnapshot.mKeysByHash) {
      keys[hash] = { key.mName, key.mIsWithdrawn };
    }
    return keys;
  };
  const auto runsOf = [](const snapshot& aSnapshot) {
    std::map<std::string, std::int64_t> runs;
    for (const auto& [name, run] : aSnapshot.mRuns) {
      runs[name] = run.mAcceptedVersion;
    }
    return runs;
  };
  return keysOf(aOne) == keysOf(aOther) && runsOf(aOne) == runsOf(aOther);
}

void
CheckStateAgainst(const store_history& aHistory,
                  const configuration_state& aState)
{
  const auto at = static_cast<std::size_t>(aState.mKnownRevision);
  RC_ASSERT(aState.mObjects.size() == aHistory.mAt[at].size());
  for (const auto& [identity, object] : aHistory.mAt[at]) {
    RC_ASSERT(aState.mObjects.count(identity) == 1u);
    RC_ASSERT(aState.mObjects.at(identity).mText == object.mText);
  }
  RC_ASSERT(aState.mChangedRevision >= aHistory.mChangedRevision[at]);
  RC_ASSERT(
    IsSameSnapshot(*aState.mSnapshot, BuildSnapshot(aHistory.mAt[at], 0)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestConfigurationState)

// Guards against reverting a change that was already in force at an entry. A
// late response, one from a stale replica of the store, or one from a lagging
// peer must not replace a newer state.
BOOST_AUTO_TEST_CASE(NoAnswerInAnyOrderTakesTheStateBack)
{
  BOOST_TEST(rc::check(
    "the state always equals the store at its revision, which never decreases",
    [](const std::vector<unsigned short>& aNumbers) {
      store_history history;
      std::array<configuration_state, 2> states;
      time_point now{ 1000s };
      for (const unsigned number : aNumbers) {
        now += 1s;
        WriteRandomChange(history, number / 16);
        auto& state = states[number / 4 % 2];
        auto& other = states[1 - number / 4 % 2];
        const auto before = state.mKnownRevision;
        const auto provenBefore = state.mVerifiedAt;
        // A late or stale response may show any past revision.
        const auto shownRevision =
          1 + (number / 8) % static_cast<unsigned>(history.Newest());
        switch (number % 4) {
          case 0:
            ApplyList(state, ListAt(history, shownRevision), now);
            break;
          case 1:
            ApplyWatchBatch(
              state,
              BatchOf(history, state.mKnownRevision, shownRevision),
              now);
            break;
          case 2:
            ApplyCopy(state, CopyOf(other));
            break;
          default:
            ApplyDigest(state, DigestOf(other));
        }
        RC_ASSERT(state.mKnownRevision >= before);
        RC_ASSERT(!provenBefore || *state.mVerifiedAt >= *provenBefore);
        if (state.mKnownRevision > 0) {
          CheckStateAgainst(history, state);
        }
      }
    }));
}

// An operator's tool loses its connection and resumes its watch. It must
// receive every change, or be received that its revision is too old, but never
// miss a change without notice.
BOOST_AUTO_TEST_CASE(AResumedWatchMissesNothing)
{
  BOOST_TEST(rc::check(
    "a watch returns all changes after a revision, or says it is too old",
    [](const std::vector<unsigned short>& aNumbers) {
      store_history history;
      configuration_state state;
      ApplyList(state, ListAt(history, history.Newest()), time_point{ 1000s });
      std::int64_t seen = state.mKnownRevision;
      std::int64_t listed = state.mKnownRevision;
      for (const unsigned number : aNumbers) {
        WriteRandomChange(history, number / 16);
        // A peer's copy may have been applied while the watch waited, so the
        // watch may have started from an earlier revision.
        const auto from =
          std::max<std::int64_t>(1, state.mKnownRevision - number / 8 % 4);
        if (number % 8 == 0) {
          ApplyList(
            state, ListAt(history, history.Newest()), time_point{ 1000s });
          listed = state.mKnownRevision;
        } else if (number % 2 == 0) {
          ApplyWatchBatch(state,
                          BatchOf(history, from, history.Newest()),
                          time_point{ 1000s });
        }
        if (number % 3 != 0) {
          continue;
        }
        const auto batch = ChangesAfter(state, seen);
        RC_ASSERT(batch.mIsTooOld == (seen < listed));
        if (!batch.mIsTooOld) {
          std::vector<std::int64_t> expected;
          for (const auto& event : history.mEvents) {
            if (event.mObject.mRevision > seen &&
                event.mObject.mRevision <= state.mKnownRevision &&
                IsConfigurationKind(event.mObject.mKind)) {
              expected.push_back(event.mObject.mRevision);
            }
          }
          std::vector<std::int64_t> received;
          for (const auto& event : batch.mEvents) {
            received.push_back(event.mObject.mRevision);
          }
          RC_ASSERT(received == expected);
        }
        seen = batch.mRevision;
      }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
