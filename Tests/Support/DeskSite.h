#pragma once

#include "Tests/Support/Fleet.h"
#include "Tests/Support/Relay.h"

#include <future>

namespace lavender::test {

/** Two booking desks whose calls must not be repeated, and two entries. The
 * desks count runs by request body, so a test uses each body once. */
class desk_site
{
public:
  /** @param aAgentArguments additional arguments of every agent
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

  /** Sends one booking. The body identifies it in RunsOf. */
  answer Book(const std::string& aEntry,
              const std::string& aBody,
              const std::string& aIdempotencyKey = "",
              std::chrono::milliseconds aDeadline = 20s);
  std::future<answer> BookAsync(const std::string& aEntry,
                                const std::string& aBody,
                                const std::string& aIdempotencyKey = "",
                                std::chrono::milliseconds aDeadline = 20s);

  /** Number of runs of that body on all desks. */
  std::int64_t RunsOf(const std::string& aBody);
  /** Number of runs that have ended on all desks. */
  std::int64_t RunsEnded();
  /** Sets how long a booking runs on each desk. */
  void SetRunTime(std::chrono::milliseconds aTime);
  using relays_by_desk = std::map<std::string, std::unique_ptr<relay>>;

  /** Waits until both entries have booked on each desk, through its relay where
   * there is one. */
  bool WaitUntilServing(const relays_by_desk& aRelays = {});
  /** Restarts an agent as after a crash, and updates the instance list. */
  void RestartAgent(const std::string& aDesk);
  /** Puts a relay in front of each agent, or of each desk, and restarts the
   * agents with it. */
  relays_by_desk PutRelaysBeforeAgents();
  relays_by_desk PutRelaysBeforeDesks();

private:
  fleet mFleet;
  std::string mKey;
  std::vector<std::string> mAgentArguments;
  std::vector<std::string> mDesks;
  int mNextProbe = 0;
};

/** Sum of a process's counters of that name whose labels contain the text. */
std::int64_t
CounterOf(std::uint16_t aHealthPort,
          const std::string& aName,
          const std::string& aLabel);

/** Fields "reason" and "ran" of an error response; empty without one. */
std::string
ReasonOf(const answer& aAnswer);
std::string
RanOf(const answer& aAnswer);

} // namespace lavender::test
