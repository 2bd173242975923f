#pragma once

#include "Bench/Load.h"
#include "Tests/Support/Fleet.h"

#include <string>
#include <vector>

namespace lavender::bench {

struct site_options
{
  int mServers = 9;
  int mEntries = 3;
  int mSlots = 4;
  int mQueue = 64;
  std::string mQueuePolicy = "fair";
  std::string mRoutingPolicy = "two-choices";
  int mPerTokenMicroseconds = 10000;
  int mPrefillMilliseconds = 0;
  int mCustomers = 8;
};

/** A deployment of the real programs on loopback: entries, agents, one engine
 * stand-in for each agent and the platform stand-in, with customers of equal
 * weight. */
class site
{
public:
  explicit site(const site_options& aOptions);

  test::fleet& Fleet() { return mFleet; }
  /** Requests one completion from an entry, chosen round-robin by aIndex. */
  request_result Send(std::size_t aIndex, const arrival& aArrival);
  /** Sends the prompt directly to an engine, chosen round-robin by aIndex. */
  request_result SendDirect(std::size_t aIndex, const arrival& aArrival);
  /** Injects a fault into one engine. */
  void SetFault(int aServer, const std::string& aFault, json::value aSetting);
  /** Returns the share of prompts whose prefix the engine had cached. */
  double PrefixHitShare();
  /** Returns the customers' names in the order of customer_traffic. */
  const std::vector<std::string>& Customers() const { return mCustomers; }

private:
  std::string EngineName(int aServer) const;

  test::fleet mFleet;
  std::vector<std::string> mCustomers;
  std::vector<std::string> mKeys;
  std::vector<std::uint16_t> mEntryPorts;
  std::vector<std::uint16_t> mEnginePorts;
};

} // namespace lavender::bench
