#include "Tests/Support/DeskSite.h"

#include <csignal>
#include <sstream>
#include <thread>

namespace lavender::test {

desk_site::desk_site(std::vector<std::string> aAgentArguments,
                     std::vector<std::string> aDesks)
  : mAgentArguments(std::move(aAgentArguments))
  , mDesks(std::move(aDesks))
{
  for (const auto& desk : mDesks) {
    mFleet.AddBackend(desk, "bogota", "desk", "service", mAgentArguments);
  }
  mFleet.AddEntry("entry-1", "bogota");
  mFleet.AddEntry("entry-2", "medellin");
  mFleet.PublishInstances();
  json::value pool;
  pool.Set("service", "desk");
  pool.Set("repeatable", false);
  mFleet.Put("BackendPool", "desk", pool);
  mKey = mFleet.AddCustomer("geoandina");
  if (!WaitUntilServing()) {
    throw std::runtime_error("no entry serves all desks within the time limit");
  }
}

answer
desk_site::Book(const std::string& aEntry,
                const std::string& aBody,
                const std::string& aIdempotencyKey,
                std::chrono::milliseconds aDeadline)
{
  http::header_list headers = { { "Authorization", "Bearer " + mKey },
                                { "X-Deadline-Ms",
                                  std::to_string(aDeadline.count()) } };
  if (!aIdempotencyKey.empty()) {
    headers.emplace_back("Idempotency-Key", aIdempotencyKey);
  }
  return Send(Entry(aEntry).Callers(),
              "POST",
              "/v1/services/desk/book",
              aBody,
              headers,
              aDeadline + 20s);
}

std::future<answer>
desk_site::BookAsync(const std::string& aEntry,
                     const std::string& aBody,
                     const std::string& aIdempotencyKey,
                     std::chrono::milliseconds aDeadline)
{
  return std::async(std::launch::async, [=] {
    return Book(aEntry, aBody, aIdempotencyKey, aDeadline);
  });
}

std::int64_t
desk_site::RunsOf(const std::string& aBody)
{
  std::int64_t runs = 0;
  for (const auto& desk : mDesks) {
    const auto log =
      Send(Desk(desk).mServer->Port("http"), "GET", "/control/log");
    if (const auto* byBody = log.mBody.Find("runs_by_body")) {
      runs += json::IntegerAt(*byBody, json::Write(aBody), 0);
    }
  }
  return runs;
}

std::int64_t
desk_site::RunsEnded()
{
  std::int64_t runs = 0;
  for (const auto& desk : mDesks) {
    const auto log =
      Send(Desk(desk).mServer->Port("http"), "GET", "/control/log");
    runs += json::IntegerAt(log.mBody, "ended", 0);
  }
  return runs;
}

void
desk_site::SetRunTime(std::chrono::milliseconds aTime)
{
  json::value faults;
  faults.Set("slow_ms", aTime.count());
  for (const auto& desk : mDesks) {
    Send(Desk(desk).mServer->Port("http"), "POST", "/control/faults", faults);
  }
}

bool
desk_site::WaitUntilServing(const relays_by_desk& aRelays)
{
  // Bookings spread over the desks; each entry must reach every one of them.
  return WaitFor([&] {
    for (const auto& [name, entry] : mFleet.Entries()) {
      std::map<std::string, bool> reached;
      for (int i = 0; i < 40 && reached.size() < mDesks.size(); ++i) {
        const auto probe = "probe " + std::to_string(mNextProbe++) + ".";
        const auto booked = Book(name, probe, "", 2000ms);
        if (booked.mStatus != 200) {
          return false;
        }
        const auto desk =
          http::HeaderOr(booked.mHeaders, "X-Lavender-Server", "");
        const auto passed = aRelays.find(desk);
        if (passed == aRelays.end() || passed->second->HasForwarded(probe)) {
          reached[desk] = true;
        }
      }
      if (reached.size() < mDesks.size()) {
        return false;
      }
    }
    return true;
  });
}

void
desk_site::RestartAgent(const std::string& aDesk)
{
  mFleet.StartAgent(Desk(aDesk), mAgentArguments);
  mFleet.PublishInstances();
}

desk_site::relays_by_desk
desk_site::PutRelaysBeforeAgents()
{
  relays_by_desk relays;
  for (const auto& name : mDesks) {
    auto& desk = Desk(name);
    relays[name] = std::make_unique<relay>(desk.mAgent->Port("wire"));
    desk.mAgentRelay = relays[name]->Port();
  }
  mFleet.PublishInstances();
  if (!WaitUntilServing(relays)) {
    throw std::runtime_error("an entry reaches a desk past its relay");
  }
  return relays;
}

desk_site::relays_by_desk
desk_site::PutRelaysBeforeDesks()
{
  relays_by_desk relays;
  for (const auto& name : mDesks) {
    auto& desk = Desk(name);
    relays[name] = std::make_unique<relay>(desk.mServer->Port("http"));
    desk.mServerRelay = relays[name]->Port();
    mFleet.StartAgent(desk, mAgentArguments);
  }
  mFleet.PublishInstances();
  WaitUntilServing();
  return relays;
}

std::int64_t
CounterOf(std::uint16_t aHealthPort,
          const std::string& aName,
          const std::string& aLabel)
{
  const auto outcome = http::Call(
    { "127.0.0.1", aHealthPort }, { "GET", "/metrics", "", {}, "" }, 5s);
  std::istringstream lines(outcome.mResponse.mBody);
  std::string line;
  std::int64_t sum = 0;
  while (std::getline(lines, line)) {
    const auto space = line.rfind(' ');
    const bool isNamed =
      line.rfind(aName + "{", 0) == 0 || line.rfind(aName + " ", 0) == 0;
    if (isNamed && space != std::string::npos &&
        line.find(aLabel) != std::string::npos) {
      sum += std::stoll(line.substr(space + 1));
    }
  }
  return sum;
}

std::string
ReasonOf(const answer& aAnswer)
{
  const auto* error = aAnswer.mBody.Find("error");
  return error ? json::StringAt(*error, "reason", "") : "";
}

std::string
RanOf(const answer& aAnswer)
{
  const auto* error = aAnswer.mBody.Find("error");
  return error ? json::StringAt(*error, "ran", "") : "";
}

} // namespace lavender::test
