#include "platform/BatchMessages.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

namespace {

/** Returns the reason for which a submission with these items is invalid; empty
 * if it is valid. */
std::string
ProblemWith(const std::string& aItems)
{
  const auto submission = platform::DecodeSubmission(
    "b1", "{\"model\":\"m\",\"items\":[" + aItems + "]}");
  return submission ? std::string() : submission.mLastReason;
}

std::string
Item(const std::string& aId, const std::string& aBody)
{
  return R"({"id":")" + aId + R"(","path":"/r/x","body":")" + aBody + R"("})";
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSubmissions)

// Guards against a step that never ends: an item's body couldn't be decoded, so
// the item was never sent to a server. Such a submission must be refused with
// an error that names the item.
BOOST_AUTO_TEST_CASE(ABodyThatCantBeDecodedIsRefusedAtOnce)
{
  BOOST_TEST(ProblemWith(Item("i1", "aGVsbG8=")) == "");
  BOOST_TEST(ProblemWith(Item("i1", "")) == "");
  for (const auto* bad : { "aGVsbG8", "a*Vs", "====", "aGVsbG8=aGVs" }) {
    const auto problem =
      ProblemWith(Item("i1", "aGVsbG8=") + "," + Item("i2", bad));
    BOOST_TEST(problem.find("i2") != std::string::npos, bad);
  }
}

// Guards against an item that acts as another tenant's: a line break in a value
// reaches a server as a field of its own. The refusal names item and field.
BOOST_AUTO_TEST_CASE(AFieldOrPathThatHttpDoesntAllowIsRefusedAtOnce)
{
  const auto with = [](const std::string& aId,
                       const std::string& aPath,
                       const std::string& aName,
                       const std::string& aValue) {
    return R"({"id":")" + aId + R"(","path":")" + aPath +
           R"(","body":"","headers":{")" + aName + R"(":")" + aValue + R"("}})";
  };
  BOOST_TEST(ProblemWith(with("i1", "/r/x", "X-Counts", "5,\\t5 \u00e4")) ==
             "");
  for (const auto* bad : { "5\\r\\nX-Tenant: other",
                           "5\\nX-Tenant: other",
                           "5\\r",
                           "5\\u0000",
                           "5\\u007f",
                           "5\\r\\n\\r\\nPOST / HTTP/1.1" }) {
    const auto problem = ProblemWith(with("i1", "/r/x", "X-Counts", bad));
    BOOST_TEST(problem.find("i1") != std::string::npos, bad);
    BOOST_TEST(problem.find("X-Counts") != std::string::npos, bad);
  }
  for (const auto* bad : { "", "X\u00e4" }) {
    BOOST_TEST(!ProblemWith(with("i1", "/r/x", bad, "5")).empty(), bad);
  }
  for (const auto* bad : { "X Counts", "X-Counts:", "X\\r\\n" }) {
    BOOST_TEST(ProblemWith(with("i1", "/r/x", bad, "5")).find("i1") !=
                 std::string::npos,
               bad);
  }
  for (const auto* bad :
       { "/r/x HTTP/1.1\\r\\nX: y", "/r x", "r/x", "/r\\n", "/r\\t" }) {
    BOOST_TEST(ProblemWith(with("i1", bad, "X-Counts", "5")).find("i1") !=
                 std::string::npos,
               bad);
    BOOST_TEST(!ProblemWith(with(bad, "/r/x", "X-Counts", "5")).empty() ==
                 (std::string(bad) != "r/x"),
               bad);
  }
}

// Guards against a step that never ends because two items have the same id: a
// result is listed once for each id.
BOOST_AUTO_TEST_CASE(AnIdThatStandsTwiceIsRefusedAtOnce)
{
  const auto problem = ProblemWith(Item("i1", "") + "," + Item("i1", ""));
  BOOST_TEST(problem.find("i1") != std::string::npos);
}

// Guards against waiting for a score that never arrives because the reward call
// is malformed. Such a submission must be refused with an error that names the
// item.
BOOST_AUTO_TEST_CASE(ARewardCallThatCantBeMadeIsRefusedAtOnce)
{
  const auto with = [](const std::string& aId, const std::string& aScorer) {
    return R"({"id":")" + aId + R"(","path":"/r/x","body":"","scorer":)" +
           aScorer + "}";
  };
  const std::string good =
    R"({"id":"r1","host":"h","path":"/p","body":"aGk="})";
  BOOST_TEST(ProblemWith(with("i1", good)) == "");
  for (const auto* bad :
       { R"({"host":"h","path":"/p","body":""})",
         R"({"id":"r1","path":"/p","body":""})",
         R"({"id":"r1","host":"h","body":""})",
         R"({"id":"r1","host":"h","path":"p","body":""})",
         R"({"id":"r1","host":"h","path":"/p","body":"*"})",
         R"({"id":"r 1","host":"h","path":"/p","body":""})",
         R"({"id":"r","host":"h\r\nX: 1","path":"/","body":""})",
         R"("r1")",
         "null",
         "[]" }) {
    const auto problem = ProblemWith(with("i1", bad));
    BOOST_TEST(problem.find("i1") != std::string::npos, bad);
  }
  const auto twice = ProblemWith(with("i1", good) + "," + with("i2", good));
  BOOST_TEST(twice.find("r1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
