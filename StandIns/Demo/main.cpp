#include "Tests/Support/Fleet.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

/** Starts an example site with simulated servers and platform, and runs
 * prompts, bookings that must not run twice, a training step, a usage report
 * and a graceful shutdown. Exits with status 1 if a check fails. */

using namespace lavender;
using namespace lavender::test;

namespace {

constexpr const char* kUsageWindowSeconds = "3";

struct demo_site
{
  json::value mDescription;
  fleet mFleet;
  std::map<std::string, std::string> mKeys;
  int mFailedChecks = 0;
};

void
Check(demo_site& aSite, bool aHolds, const std::string& aWhat)
{
  if (!aHolds) {
    std::cout << "  LOST: " << aWhat << std::endl;
    ++aSite.mFailedChecks;
  }
}

const json::value&
MemberOf(const json::value& aObject, const char* aName)
{
  static const json::value kNull;
  const auto* member = aObject.Find(aName);
  return member ? *member : kNull;
}

entry_instance&
EntryAt(demo_site& aSite, std::size_t aIndex)
{
  auto entry = aSite.mFleet.Entries().begin();
  std::advance(entry, aIndex % aSite.mFleet.Entries().size());
  return entry->second;
}

http::header_list
KeyHeader(demo_site& aSite, const std::string& aCustomer)
{
  return { { "Authorization", "Bearer " + aSite.mKeys[aCustomer] } };
}

void
StartProcesses(demo_site& aSite)
{
  const auto& zones = MemberOf(aSite.mDescription, "zones").Elements();
  const auto zoneAt = [&](std::size_t aIndex) {
    return zones.at(aIndex % zones.size()).StringOr("");
  };
  for (const auto& pool : MemberOf(aSite.mDescription, "pools").Elements()) {
    const auto name = json::StringAt(pool, "name", "");
    const auto count = json::IntegerAt(pool, "servers", 1);
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
      aSite.mFleet.AddBackend(name + "-" + std::to_string(i + 1),
                              zoneAt(i),
                              name,
                              json::StringAt(pool, "kind", "engine"),
                              { "--usage-window", kUsageWindowSeconds });
    }
  }
  const auto entries = json::IntegerAt(aSite.mDescription, "entries", 2);
  for (std::size_t i = 0; i < static_cast<std::size_t>(entries); ++i) {
    aSite.mFleet.AddEntry("entry-" + std::to_string(i + 1),
                          zoneAt(i),
                          { "--usage-window", kUsageWindowSeconds });
  }
  aSite.mFleet.PublishInstances();
}

void
WriteResources(demo_site& aSite)
{
  for (const auto& resource :
       MemberOf(aSite.mDescription, "resources").Elements()) {
    const auto kind = json::StringAt(resource, "kind", "");
    const auto name = json::StringAt(resource, "name", "");
    const auto& spec = MemberOf(resource, "spec");
    if (kind == "Customer") {
      aSite.mKeys[name] = aSite.mFleet.AddCustomer(name, spec);
      Check(aSite, !aSite.mKeys[name].empty(), "key of " + name);
    } else {
      Check(aSite,
            aSite.mFleet.Put(kind, name, spec).mStatus == 200,
            kind + " " + name);
    }
  }
}

/** Repeats the request until it succeeds, because the processes need time to
 * discover each other. */
answer
SendUntilServed(std::uint16_t aPort,
                const std::string& aPath,
                const json::value& aBody,
                const http::header_list& aHeaders)
{
  answer response;
  WaitFor([&] {
    response = Send(aPort, "POST", aPath, aBody, aHeaders);
    return response.mStatus == 200;
  });
  return response;
}

void
RunPrompts(demo_site& aSite)
{
  std::size_t index = 0;
  for (const auto& prompt :
       MemberOf(aSite.mDescription, "prompts").Elements()) {
    const auto customer = json::StringAt(prompt, "customer", "");
    json::value body;
    for (const char* field : { "model", "prompt", "max_tokens" }) {
      body.Set(field, MemberOf(prompt, field));
    }
    const auto response = SendUntilServed(EntryAt(aSite, index++).Callers(),
                                          "/v1/completions",
                                          body,
                                          KeyHeader(aSite, customer));
    Check(aSite, response.mStatus == 200, "prompt of " + customer);
    for (const auto& choice : MemberOf(response.mBody, "choices").Elements()) {
      std::cout << "  " << customer << ": "
                << json::StringAt(choice, "text", "") << std::endl;
    }
  }
}

void
RunBookings(demo_site& aSite)
{
  for (const auto& booking :
       MemberOf(aSite.mDescription, "bookings").Elements()) {
    const auto customer = json::StringAt(booking, "customer", "");
    auto headers = KeyHeader(aSite, customer);
    headers.emplace_back("Idempotency-Key",
                         json::StringAt(booking, "idempotency_key", ""));
    const auto path = "/v1/services/" + json::StringAt(booking, "service", "") +
                      json::StringAt(booking, "path", "/");
    const auto& body = MemberOf(booking, "body");
    const auto first =
      SendUntilServed(EntryAt(aSite, 0).Callers(), path, body, headers);
    const auto repeated =
      SendUntilServed(EntryAt(aSite, 1).Callers(), path, body, headers);
    const auto number = json::IntegerAt(first.mBody, "booking", 0);
    Check(aSite, number > 0, "booking of " + customer);
    Check(aSite,
          json::IntegerAt(repeated.mBody, "booking", -1) == number,
          "the booking ran twice");
    std::cout << "  " << customer << ": booking " << number
              << ", asked twice at two entries, ran once" << std::endl;
  }
}

void
RunTrainingStep(demo_site& aSite)
{
  const auto& training = MemberOf(aSite.mDescription, "training");
  const auto run = json::StringAt(training, "run", "");
  std::string customer;
  for (const auto& resource :
       MemberOf(aSite.mDescription, "resources").Elements()) {
    if (json::StringAt(resource, "name", "") == run) {
      customer = json::StringAt(MemberOf(resource, "spec"), "customer", "");
    }
  }
  json::value body;
  for (const char* field : { "prompts", "samples_per_prompt", "max_tokens" }) {
    body.Set(field, MemberOf(training, field));
  }
  const auto step = "/v1/training-runs/" + run + "/steps/" +
                    std::to_string(json::IntegerAt(training, "step", 1));
  const auto headers = KeyHeader(aSite, customer);
  const auto response = SendUntilServed(
    EntryAt(aSite, 0).Callers(), step + "/batch", body, headers);
  const auto& samples = MemberOf(response.mBody, "samples").Elements();
  const auto expected = MemberOf(training, "prompts").Elements().size() *
                        static_cast<std::size_t>(
                          json::IntegerAt(training, "samples_per_prompt", 1));
  Check(aSite, samples.size() == expected, "samples of " + run);
  for (const auto& sample : samples) {
    std::cout << "  " << json::StringAt(sample, "id", "") << " versions";
    for (const auto& part : MemberOf(sample, "versions").Elements()) {
      std::cout << " " << json::IntegerAt(part, "version", 0);
    }
    std::cout << ": " << json::StringAt(sample, "text", "") << std::endl;
  }
  const auto acknowledged = SendUntilServed(EntryAt(aSite, 1).Callers(),
                                            step + "/acknowledgement",
                                            json::object{},
                                            headers);
  Check(aSite, acknowledged.mStatus == 200, "acknowledgement of " + run);
}

/** Usage reports that the platform has received. */
json::array
UsageReports(demo_site& aSite)
{
  json::array reports;
  const auto log = Send(aSite.mFleet.PlatformPort(), "GET", "/control/log");
  for (const auto& line : MemberOf(log.mBody, "lines").Elements()) {
    const auto& detail = MemberOf(line, "detail");
    if (json::StringAt(line, "interface", "") == "usage" &&
        !MemberOf(detail, "rows").Elements().empty()) {
      reports.push_back(detail);
    }
  }
  return reports;
}

void
ShowUsage(demo_site& aSite)
{
  WaitFor([&] { return !UsageReports(aSite).empty(); }, 30s);
  const auto reports = UsageReports(aSite);
  Check(aSite, !reports.empty(), "usage report");
  for (const auto& report : reports) {
    std::cout << "  " << json::Write(report) << std::endl;
  }
}

void
ShutDown(demo_site& aSite)
{
  for (auto& [name, entry] : aSite.mFleet.Entries()) {
    entry.mProcess->Signal(SIGTERM);
  }
  for (auto& [name, entry] : aSite.mFleet.Entries()) {
    Check(aSite, entry.mProcess->WaitForExit(60s) == 0, name + " shutdown");
  }
  for (auto& [name, backend] : aSite.mFleet.Backends()) {
    backend.mAgent->Signal(SIGTERM);
  }
  for (auto& [name, backend] : aSite.mFleet.Backends()) {
    Check(aSite, backend.mAgent->WaitForExit(60s) == 0, name + " shutdown");
  }
}

int
RunSite(const std::string& aFile)
{
  std::ifstream input(aFile);
  std::ostringstream text;
  text << input.rdbuf();
  auto description = json::Parse(text.str());
  if (!description) {
    std::cerr << aFile << ": " << description.mLastReason << std::endl;
    return 1;
  }
  demo_site site;
  site.mDescription = std::move(*description);
  std::cout << "== " << json::StringAt(site.mDescription, "site", "")
            << "\nstarting processes" << std::endl;
  StartProcesses(site);
  WriteResources(site);
  std::cout << "prompts" << std::endl;
  RunPrompts(site);
  std::cout << "calls that may not run twice" << std::endl;
  RunBookings(site);
  std::cout << "one training step" << std::endl;
  RunTrainingStep(site);
  std::cout << "usage window" << std::endl;
  ShowUsage(site);
  std::cout << "graceful shutdown" << std::endl;
  ShutDown(site);
  std::cout << (site.mFailedChecks == 0 ? "nothing lost" : "SOMETHING WAS LOST")
            << std::endl;
  return site.mFailedChecks;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  int failedChecks = 0;
  for (int i = 1; i < aCount; ++i) {
    failedChecks += RunSite(aArguments[i]);
  }
  return failedChecks == 0 ? 0 : 1;
}
