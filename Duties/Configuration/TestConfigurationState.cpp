#include "Duties/Configuration/ConfigurationState.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::configuration;
using namespace std::chrono_literals;

namespace {

constexpr int kKeys = 3;

/** Every state that the store ever had, so that any old answer can be given
 * again. */
struct store_history
{
  std::vector<object_map> mAt = { {}, {} };
  std::vector<platform::object_event> mEvents;
  /** Last revision that touched the configuration, by revision. */
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
WriteSomething(store_history& aHistory, unsigned aChoice)
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
      // A key may come back with another hash, as after delete and create.
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

/** The answer to a watch from one revision, given when the store was at the
 * other one. */
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
CheckAgainst(const store_history& aHistory, const configuration_state& aState)
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

// Story: an operator's change is in force at an entry, and a moment later the
// old configuration is back. An answer that was late, from an old copy of the
// store, or from a peer that lags, replaced what was newer.
BOOST_AUTO_TEST_CASE(NoAnswerInAnyOrderTakesTheStateBack)
{
  BOOST_TEST(rc::check(
    "the state always equals the store at its revision, which only grows",
    [](const std::vector<unsigned short>& aNumbers) {
      store_history history;
      std::array<configuration_state, 2> states;
      time_point now{ 1000s };
      for (const unsigned number : aNumbers) {
        now += 1s;
        WriteSomething(history, number / 16);
        auto& state = states[number / 4 % 2];
        auto& other = states[1 - number / 4 % 2];
        const auto before = state.mKnownRevision;
        const auto provenBefore = state.mVerifiedAt;
        // Any time of the past may be what a late or lagging answer shows.
        const auto shown =
          1 + (number / 8) % static_cast<unsigned>(history.Newest());
        switch (number % 4) {
          case 0:
            ApplyList(state, ListAt(history, shown), now);
            break;
          case 1:
            ApplyWatchBatch(
              state, BatchOf(history, state.mKnownRevision, shown), now);
            break;
          case 2:
            TakeCopy(state, CopyOf(other));
            break;
          default:
            TakeDigest(state, DigestOf(other));
        }
        RC_ASSERT(state.mKnownRevision >= before);
        RC_ASSERT(!provenBefore || *state.mVerifiedAt >= *provenBefore);
        if (state.mKnownRevision > 0) {
          CheckAgainst(history, state);
        }
      }
    }));
}

// Story: an operator's tool watches, loses its connection and resumes. It must
// see every change or be told that it is too late, never miss one silently.
BOOST_AUTO_TEST_CASE(AResumedWatchMissesNothing)
{
  BOOST_TEST(rc::check(
    "changes after a revision are all there, or too old is said",
    [](const std::vector<unsigned short>& aNumbers) {
      store_history history;
      configuration_state state;
      ApplyList(state, ListAt(history, history.Newest()), time_point{ 1000s });
      std::int64_t seen = state.mKnownRevision;
      std::int64_t listed = state.mKnownRevision;
      for (const unsigned number : aNumbers) {
        WriteSomething(history, number / 16);
        // A copy may have come while the watch waited, so it began earlier.
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
          std::vector<std::int64_t> told;
          for (const auto& event : batch.mEvents) {
            told.push_back(event.mObject.mRevision);
          }
          RC_ASSERT(told == expected);
        }
        seen = batch.mRevision;
      }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
