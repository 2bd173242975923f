#pragma once

#include "Tests/Support/Fleet.h"
#include "Tests/Support/Relay.h"

#include <future>

namespace lavender::test {

/** Two booking desks whose calls may not be repeated, and two entries. The
 * desks count each run by its body, so a test sends each body once. */
class desk_site
{
public:
  /** @param aAgentArguments settings of both agents
   * @param aDesks names of the desks */
  explicit desk_site(std::vector<std::string> aAgentArguments = {},
                     std::vector<std::string> aDesks = { "desk-1", "desk-2" });

  fleet& Fleet() { return mFleet; }
  entry_instance& Entry(const std::string& aName)
  {
    return mFleet.Entries().at(aName);
  }
  backend& Desk(const std::string& aName)
  {
    return mFleet.Backends().at(aName);
  }
  const std::string& Key() const { return mKey; }

  /** One booking; the body tells it from all others. */
  answer Book(const std::string& aEntry,
              const std::string& aBody,
              const std::string& aIdempotencyKey = "",
              std::chrono::milliseconds aDeadline = 20s);
  std::future<answer> BookAside(const std::string& aEntry,
                                const std::string& aBody,
                                const std::string& aIdempotencyKey = "",
                                std::chrono::milliseconds aDeadline = 20s);

  /** Runs of that body on all desks. */
  std::int64_t RunsOf(const std::string& aBody);
  /** Runs that any desk has begun and ended. */
  std::int64_t RunsEnded();
  /** Sets how long a booking takes on each desk. */
  void SetSlowness(std::chrono::milliseconds aTime);
  /** Waits until both entries have booked on each desk. */
  bool WaitUntilServing();
  /** Starts an agent anew, as after a crash; the list follows. */
  void RestartAgent(const std::string& aDesk);
  /** Puts a relay before each agent, or before each desk, and restarts the
   * agents behind it. */
  std::map<std::string, std::unique_ptr<relay>> PutRelaysBeforeAgents();
  std::map<std::string, std::unique_ptr<relay>> PutRelaysBeforeDesks();

private:
  fleet mFleet;
  std::string mKey;
  std::vector<std::string> mAgentArguments;
  std::vector<std::string> mDesks;
  int mNextProbe = 0;
};

/** Sum of a process's counters of that name whose labels hold the text. */
std::int64_t
CounterOf(std::uint16_t aHealthPort,
          const std::string& aName,
          const std::string& aLabel);

/** Reason and "ran" of a refusal. */
std::string
ReasonOf(const answer& aAnswer);
std::string
RanOf(const answer& aAnswer);

} // namespace lavender::test
