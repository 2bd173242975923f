#include "Libraries/Platform/CallBudget.h"
#include "Libraries/Platform/SettledWrite.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::platform;
using namespace std::chrono_literals;

namespace {

/** Model of a stored object with conditional writes. */
struct model_object
{
  std::int64_t mRevision = 1;
  json::value mValue = json::object{};
  int mAppliedOfOurs = 0;

  write_result Apply(std::int64_t aExpected, const json::value& aValue)
  {
    write_result written;
    if (aExpected != mRevision) {
      written.mState = write_state::Conflict;
      written.mCurrent = stored_object{ "Key", "k", mRevision, mValue };
      return written;
    }
    mValue = aValue;
    written.mState = write_state::Done;
    written.mRevision = ++mRevision;
    return written;
  }
  /** Simulates another operator's write of an equal value with its own nonce.
   */
  void Race(const json::value& aSpec)
  {
    json::value value;
    value.Set("spec", aSpec);
    value.Set(kNonceMember, "other-" + std::to_string(mRevision));
    value.Set(kReplacesMember, json::StringAt(mValue, kNonceMember, ""));
    Apply(mRevision, value);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestSettledWrite)

// An operator withdraws a key and the response to the write is lost while
// another operator writes an equal value. Guards against reporting "done" when
// only the other operator's write took effect, or "failed" when the first
// operator's write did.
BOOST_AUTO_TEST_CASE(SaysDoneOnlyOfItsOwnWrite)
{
  int lost = 0;
  int unknown = 0;
  BOOST_TEST(rc::check(
    "done means it took effect, refused or conflict that it didn't",
    [&](const std::vector<unsigned char>& aFaults) {
      model_object object;
      object.Race("same");
      const auto expected = object.mRevision;
      const auto previous = object.mValue;
      json::value meant;
      meant.Set("spec", "same");
      int applied = 0;
      int races = 0;
      std::size_t sent = 0;
      const auto written = WriteSettled(
        [&](const json::value& aValue) {
          const unsigned fault = sent < aFaults.size() ? aFaults[sent] : 0;
          ++sent;
          for (unsigned i = 0; i < fault / 8 % 4; ++i) {
            object.Race("same");
            ++races;
          }
          write_result response;
          if (fault % 4 == 1) {
            // The request is lost.
            response.mState = write_state::Unknown;
            ++lost;
            return response;
          }
          if (fault % 4 == 3) {
            response.mState = write_state::Refused;
            return response;
          }
          response = object.Apply(expected, aValue);
          applied += response.mState == write_state::Done ? 1 : 0;
          if (fault % 4 == 2) {
            // The response is lost.
            response = {};
            response.mState = write_state::Unknown;
            ++lost;
          }
          return response;
        },
        meant,
        previous);
      RC_ASSERT(applied <= 1);
      if (written.mState == write_state::Done) {
        RC_ASSERT(applied == 1);
      } else if (written.mState != write_state::Unknown) {
        RC_ASSERT(applied == 0);
      } else {
        ++unknown;
        // An unknown outcome requires a lost request or response, which is
        // always followed by a second attempt.
        RC_ASSERT(sent > 1u);
      }
    }));
  BOOST_TEST(lost > 1000);
  BOOST_TEST(unknown > 0);
}

BOOST_AUTO_TEST_CASE(NeverSendsMoreThanItsRate)
{
  BOOST_TEST(rc::check("calls within any time stay under rate and burst", [] {
    const double rate = *rc::gen::inRange(1, 500);
    const double burst = *rc::gen::inRange(1, 100);
    const auto gaps =
      *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 50));
    time_point now{ 100s };
    auto bucket = MakeBucket(rate, burst, now);
    int taken = 0;
    for (const int gap : gaps) {
      now += milliseconds(gap);
      taken += TakeToken(bucket, now) ? 1 : 0;
      const std::chrono::duration<double> passed = now - time_point{ 100s };
      RC_ASSERT(taken <= burst + rate * passed.count() + 1e-6);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
