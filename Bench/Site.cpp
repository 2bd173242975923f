#include "Bench/Site.h"

#include <stdexcept>
#include <thread>

namespace lavender::bench {
namespace {

using namespace std::chrono_literals;

constexpr const char* kPool = "model-pool";
constexpr const char* kModel = "reports";
const char* const kZones[] = { "bogota", "medellin", "cali" };
/** Covers two polls by each entry, so that each has all agents' reports. */
constexpr auto kSettleTime = 1500ms;

request_result
ToRequestResult(const test::answer& aAnswer)
{
  request_result result;
  result.mStatus = aAnswer.mStatus;
  if (const auto* error = aAnswer.mBody.Find("error")) {
    result.mReason = json::StringAt(*error, "reason", "");
    result.mRetryAfter = json::IntegerAt(*error, "retry_after_ms", 0);
  }
  return result;
}

} // namespace

site::site(const site_options& aOptions)
{
  for (int i = 0; i < aOptions.mServers; ++i) {
    auto& backend = mFleet.AddBackend(EngineName(i),
                                      kZones[i % 3],
                                      kPool,
                                      "engine",
                                      { "--slots",
                                        std::to_string(aOptions.mSlots),
                                        "--queue",
                                        std::to_string(aOptions.mQueue),
                                        "--queue-policy",
                                        aOptions.mQueuePolicy });
    mEnginePorts.push_back(backend.mServer->Port("http"));
    SetFault(i, "per_token_us", aOptions.mPerTokenMicroseconds);
    SetFault(i, "prefill_ms", aOptions.mPrefillMilliseconds);
  }
  for (int i = 0; i < aOptions.mEntries; ++i) {
    mEntryPorts.push_back(
      mFleet
        .AddEntry("entry-" + std::to_string(i),
                  kZones[i % 3],
                  { "--routing-policy", aOptions.mRoutingPolicy })
        .Callers());
  }
  mFleet.PublishInstances();
  json::value pool;
  pool.Set("model", kModel);
  mFleet.Put("BackendPool", kPool, pool);
  for (int i = 0; i < aOptions.mCustomers; ++i) {
    mCustomers.push_back("customer-" + std::to_string(i));
    mKeys.push_back(mFleet.AddCustomer(mCustomers.back()));
  }
  for (const auto& key : mKeys) {
    if (!mFleet.WaitUntilServing(key, kModel)) {
      throw std::runtime_error(
        "model \"reports\" isn't served to all customers");
    }
  }
  std::this_thread::sleep_for(kSettleTime);
}

std::string
site::EngineName(int aServer) const
{
  return "server-" + std::to_string(aServer);
}

request_result
site::Send(std::size_t aIndex, const arrival& aArrival)
{
  return ToRequestResult(
    test::Complete(mEntryPorts[aIndex % mEntryPorts.size()],
                   mKeys[aArrival.mCustomer],
                   kModel,
                   aArrival.mPrompt,
                   aArrival.mTokens));
}

request_result
site::SendDirect(std::size_t aIndex, const arrival& aArrival)
{
  json::value body;
  body.Set("prompt", aArrival.mPrompt);
  body.Set("max_tokens", aArrival.mTokens);
  return ToRequestResult(test::Send(
    mEnginePorts[aIndex % mEnginePorts.size()], "POST", "/generate", body));
}

void
site::SetFault(int aServer, const std::string& aFault, json::value aSetting)
{
  json::value faults;
  faults.Set(aFault, std::move(aSetting));
  test::Send(mFleet.Backends().at(EngineName(aServer)).mServer->Port("http"),
             "POST",
             "/control/faults",
             faults);
}

double
site::PrefixHitShare()
{
  double hits = 0;
  double all = 0;
  for (const auto port : mEnginePorts) {
    const auto load = test::Send(port, "GET", "/load").mBody;
    hits += json::NumberAt(load, "prefix_hits", 0);
    all += json::NumberAt(load, "prefix_hits", 0) +
           json::NumberAt(load, "prefix_misses", 0);
  }
  return all > 0 ? hits / all : 0;
}

} // namespace lavender::bench
