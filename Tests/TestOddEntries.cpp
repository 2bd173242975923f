#include "Tests/Site/Support/Loop.h"
#include "Tests/Site/Support/OddNames.h"
#include "Tests/Soak/Site.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** Kinds that the programs list or read. */
constexpr const char* kKinds[] = {
  "servers",    "config",      "entries",     "versions",   "batches",
  "batchitems", "evacuations", "retirements", "ordergivers"
};
constexpr int kPrograms = 6;
/** Listings of one kind by one program at its start: an entry lists the entries
 * four times at most to announce itself and once to watch them. */
constexpr int kListingsAtStart = 5;
constexpr int kRequests = 60;

std::string
LogFolder()
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("lavender-odd-entries-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  return folder.string();
}

/** Three entries and three agents against a store that holds what another
 * writer wrote. Real programs; servers and store are stand-ins. */
struct odd_site
{
  odd_site()
    : mSite(mLoop.mLoop, Options())
    , mBehind(mLoop.mLoop)
    , mClients(std::make_shared<edge::client_pool>(mLoop.mLoop))
  {
    standin::PutDirectly(
      mSite.mState,
      "servers",
      "~desk",
      R"({"service":"desk","zone":"zone","slots":8,"state":"ready",)"
      R"("address":"127.0.0.1:)" +
        std::to_string(mBehind.Port()) + "\"}");
  }

  ~odd_site()
  {
    std::error_code ignored;
    std::filesystem::remove_all(mSite.mOptions.mLogFolder, ignored);
  }

  static soak::site_options Options()
  {
    soak::site_options options;
    options.mLogFolder = LogFolder();
    return options;
  }

  /** Writes an object of each name into each kind. */
  void WriteOddObjects(const std::vector<std::string>& aNames)
  {
    for (const auto* kind : kKinds) {
      for (const auto& name : aNames) {
        standin::PutDirectly(mSite.mState, kind, name, R"({"slots":"x"})");
      }
    }
    mSite.mState.mPageEnds = { aNames.begin(), aNames.end() };
  }

  void KillAll()
  {
    for (const auto& entry : mSite.mEntries) {
      entry->mProcess.Signal(SIGKILL);
      entry->mProcess.Reap();
    }
    for (const auto& agent : mSite.mAgents) {
      agent->mProcess.Signal(SIGKILL);
      agent->mProcess.Reap();
    }
  }

  unsigned StatusOf(unsigned short aPort, const edge::request& aRequest)
  {
    const auto result = Call(mLoop, *mClients, aPort, aRequest);
    return result.mEnd == edge::call_end::Complete ? result.mAnswer.mStatus : 0;
  }

  unsigned AskReadiness(const soak::entry_instance& aEntry)
  {
    edge::request question;
    question.mMethod = "GET";
    question.mTarget = "/readiness";
    return StatusOf(aEntry.mReadiness, question);
  }

  unsigned SendRequest(const soak::entry_instance& aEntry)
  {
    edge::request request;
    request.mMethod = "POST";
    request.mTarget = "/safe/x";
    request.mHeaders.Add("Host", "desk.example");
    request.mHeaders.Add("Authorization", "Token key");
    request.mHeaders.Add("X-Attempt-Id", "r" + std::to_string(mNext++));
    request.mHeaders.Add("X-Deadline-Ms", "3000");
    return StatusOf(aEntry.mCallers, request);
  }

  /** Waits until all entries are ready and have served a request: an entry is
   * ready a moment before it has taken its list of servers into use.
   * @return how many are and have */
  int WaitUntilServing()
  {
    constexpr auto kLimit = 15s;
    constexpr auto kPause = 50ms;
    const auto end = boot_clock::now() + kLimit;
    int serving = 0;
    for (const auto& entry : mSite.mEntries) {
      bool isServing = false;
      while (!isServing && boot_clock::now() < end) {
        isServing = AskReadiness(*entry) == 200 && SendRequest(*entry) == 200;
        mLoop.RunUntil([&] { return isServing; }, kPause);
      }
      serving += isServing ? 1 : 0;
    }
    return serving;
  }

  /** Waits until each entry has sent a request to the server on the last page.
   * @return how many have */
  int WaitUntilLastServerIsUsed()
  {
    constexpr auto kLimit = 15s;
    const auto end = boot_clock::now() + kLimit;
    int used = 0;
    for (const auto& entry : mSite.mEntries) {
      const auto before = mBehind.mRuns.size();
      while (mBehind.mRuns.size() == before && boot_clock::now() < end) {
        SendRequest(*entry);
      }
      used += mBehind.mRuns.size() > before ? 1 : 0;
    }
    return used;
  }

  /** Sends requests to all entries; returns how many are served. */
  int Serve()
  {
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      const auto entry = static_cast<std::size_t>(i) % mSite.mEntries.size();
      served += SendRequest(*mSite.mEntries[entry]) == 200 ? 1 : 0;
    }
    return served;
  }

  test_loop mLoop;
  soak::soak_site mSite;
  /** A server whose name sorts behind all odd ones, so that it stands on the
   * last page. */
  soak::plain_server mBehind;
  std::shared_ptr<edge::client_pool> mClients;
  int mNext = 0;
};

/** Lines of a program's log that aren't JSON. The last one may be cut where the
 * program was killed. */
int
UnreadableLines(const odd_site& aSite, const std::string& aProgram)
{
  std::ifstream log(soak::soak_site::LogPath(aSite.mSite.mOptions, aProgram));
  int unreadable = 0;
  for (std::string line; std::getline(log, line);) {
    unreadable += !log.eof() && !json::Parse(line) ? 1 : 0;
  }
  return unreadable;
}

/** Restarts all programs while the store holds objects of these names. */
void
CheckRestart(const std::vector<std::string>& aNames)
{
  odd_site site;
  site.mSite.StartAll();
  BOOST_REQUIRE(site.WaitUntilServing() == 3);
  BOOST_TEST(site.Serve() == kRequests);
  site.WriteOddObjects(aNames);
  BOOST_TEST(site.Serve() == kRequests);
  site.KillAll();
  site.mSite.mState.mListCalls = 0;
  site.mSite.StartAll();
  BOOST_TEST(site.WaitUntilServing() == 3);
  BOOST_TEST(site.Serve() == kRequests);
  const auto pages = static_cast<int>(aNames.size()) + 1;
  const auto kinds = static_cast<int>(std::size(kKinds));
  BOOST_TEST(site.mSite.mState.mListCalls <=
             kPrograms * kinds * kListingsAtStart * pages);
  standin::RemoveDirectly(site.mSite.mState, "servers", "desk-1");
  BOOST_TEST(site.WaitUntilLastServerIsUsed() == 3);
  BOOST_TEST(site.mSite.mFindings.empty());
  site.KillAll();
  for (const auto& entry : site.mSite.mEntries) {
    BOOST_TEST(UnreadableLines(site, entry->mName) == 0);
  }
  for (const auto& agent : site.mSite.mAgents) {
    BOOST_TEST(UnreadableLines(site, agent->mName) == 0);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestOddEntries)

// Guards against one entry of another writer that keeps all programs from
// starting, because its name can't stand in a URL as it is.
BOOST_AUTO_TEST_CASE(AnOddNameStopsNoService)
{
  for (const std::string name : { "model-2x", "model-2&x", "model-2 x" }) {
    BOOST_TEST_CONTEXT(name)
    {
      CheckRestart({ name });
    }
  }
}

// Guards against the same by many names, one of them at the end of each page.
BOOST_AUTO_TEST_CASE(ManyOddNamesStopNoService)
{
  CheckRestart(OddNames());
}

BOOST_AUTO_TEST_SUITE_END()
