#include "Tests/Support/Fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <set>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

constexpr int kRequests = 10000;
constexpr int kClients = 64;

/** Outcomes seen by the clients. */
struct tally
{
  std::mutex mMutex;
  int mAnswered = 0;
  int mMismatched = 0;
  std::map<std::string, int> mRefusals;
};

void
SendRequests(tally& aTally,
             std::atomic<int>& aNext,
             const std::vector<std::uint16_t>& aPorts,
             const std::string& aKey)
{
  for (int i = aNext++; i < kRequests; i = aNext++) {
    const auto prompt = "request" + std::to_string(i);
    const auto answer =
      Complete(aPorts[static_cast<std::size_t>(i) % aPorts.size()],
               aKey,
               "protokoll",
               prompt,
               1);
    std::lock_guard lock(aTally.mMutex);
    if (answer.mStatus != 200) {
      const auto* error = answer.mBody.Find("error");
      ++aTally.mRefusals[error ? json::StringAt(*error, "reason", "")
                               : "no_answer"];
      continue;
    }
    ++aTally.mAnswered;
    // The stand-in engine repeats the first words of the prompt.
    const auto& choice = answer.mBody.Find("choices")->Elements().at(0);
    if (json::StringAt(choice, "text", "") != prompt) {
      ++aTally.mMismatched;
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestTenThousandRequests)

// Many concurrent clients through two entries without faults: no request is
// lost, none runs twice, and no client gets the response to another's request.
BOOST_AUTO_TEST_CASE(NoneLostDoubledOrCrossed)
{
  fleet fleet;
  for (int i = 1; i <= 3; ++i) {
    fleet.AddBackend(
      "engine-" + std::to_string(i), "hall-malmo", "modellflotta", "engine");
  }
  fleet.AddEntry("entry-1", "hall-malmo");
  fleet.AddEntry("entry-2", "hall-lund");
  fleet.PublishInstances();
  json::value pool;
  pool.Set("model", "protokoll");
  fleet.Put("BackendPool", "modellflotta", pool);
  const auto key = fleet.AddCustomer("brf-ekbacken");
  BOOST_REQUIRE(fleet.WaitUntilServing(key, "protokoll"));

  std::vector<std::uint16_t> ports;
  for (const auto& [name, entry] : fleet.Entries()) {
    ports.push_back(entry.Callers());
  }
  tally tally;
  std::atomic<int> next{ 0 };
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] { SendRequests(tally, next, ports, key); });
  }
  for (auto& client : clients) {
    client.join();
  }
  const std::chrono::duration<double> took =
    std::chrono::steady_clock::now() - start;
  BOOST_TEST_MESSAGE(kRequests << " requests in " << took.count() << " s");
  for (const auto& [reason, count] : tally.mRefusals) {
    BOOST_TEST_MESSAGE("refused " << reason << " " << count);
  }
  BOOST_TEST(tally.mAnswered == kRequests);
  BOOST_TEST(tally.mMismatched == 0);

  std::set<std::string> requests;
  std::size_t runs = 0;
  for (const auto& [name, backend] : fleet.Backends()) {
    const auto log = Send(backend.mServer->Port("http"), "GET", "/control/log");
    for (const auto& run : log.mBody.Find("runs")->Elements()) {
      ++runs;
      requests.insert(json::StringAt(run, "request", ""));
    }
  }
  BOOST_TEST(runs >= static_cast<std::size_t>(kRequests));
  BOOST_TEST(runs == requests.size(), "a request ran twice");
}

BOOST_AUTO_TEST_SUITE_END()
