#include "Tests/Support/ChildProcess.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::test;
using namespace std::chrono_literals;

namespace {

const std::string kBuild = LAVENDER_BUILD;

/** Runs a program to its end; returns its exit status and standard error. */
std::pair<int, std::string>
RunToEnd(const std::string& aProgram,
         const std::vector<std::string>& aArguments,
         const std::vector<std::string>& aEnvironment = {})
{
  child_process child(
    kBuild + "/" + aProgram, aArguments, aEnvironment, output::Errors);
  const std::string text = child.ReadToEnd(10s);
  return { child.WaitForExit(10s), text };
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSettings)

BOOST_AUTO_TEST_CASE(ReportsAllFindingsAtOnceWithTheirPlaces)
{
  const auto [status, text] = RunToEnd(
    "Services/Entry/lavender-entry",
    { "--check-settings", "--platform", "nowhere", "--maximum-body", "0" },
    { "LAVENDER_DRAIN_DEADLINE=soon", "LAVENDER_LOG_LEVEL=loud" });
  BOOST_TEST(status == 2);
  BOOST_TEST(Contains(text, "--name: is required"));
  BOOST_TEST(Contains(text, "--zone: is required"));
  BOOST_TEST(Contains(text, "--platform: 'nowhere'"));
  BOOST_TEST(Contains(text, "--maximum-body: 0 is not within"));
  BOOST_TEST(Contains(text, "LAVENDER_DRAIN_DEADLINE: 'soon'"));
  BOOST_TEST(Contains(text, "LAVENDER_LOG_LEVEL: 'loud'"));
}

BOOST_AUTO_TEST_CASE(ReportsFindingsOfAnEntryOnAPlatform)
{
  for (const auto& [share, problem] :
       { std::pair<std::string, std::string>{ "1.2.3", "is not a number" },
         { "1e3", "is not a number" },
         { ".", "is not a number" },
         { "5000", "is not within 0 to 1024" } }) {
    const auto [status, text] =
      RunToEnd("Services/Entry/lavender-entry",
               { "site", "--check-settings", "--processor-share", share });
    BOOST_TEST(status == 2);
    BOOST_TEST(Contains(text, "--processor-share: "), text);
    BOOST_TEST(Contains(text, problem), text);
    BOOST_TEST(Contains(text, "--store: is required"), text);
  }
}

BOOST_AUTO_TEST_CASE(AFlagGoesBeforeItsVariable)
{
  const std::vector<std::string> good = {
    "--check-settings", "--name", "a",        "--zone",     "z",
    "--pool",           "p",      "--server", "127.0.0.1:1"
  };
  BOOST_TEST(RunToEnd("Services/Agent/lavender-agent",
                      good,
                      { "LAVENDER_NAME=", "LAVENDER_SERVER=bad" })
               .first == 0);
  const auto [status, text] =
    RunToEnd("Services/Agent/lavender-agent", good, { "LAVENDER_SLOTS=0" });
  BOOST_TEST(status == 2);
  BOOST_TEST(Contains(text, "LAVENDER_SLOTS: 0 is not within 1 to"));
}

BOOST_AUTO_TEST_CASE(UnknownFlagsAreFindingsToo)
{
  const auto [status, text] = RunToEnd(
    "Services/Agent/lavender-agent", { "--check-settings", "--colour", "red" });
  BOOST_TEST(status == 2);
  BOOST_TEST(Contains(text, "--colour"));
  BOOST_TEST(Contains(text, "--pool: is required"));
}

BOOST_AUTO_TEST_SUITE_END()
