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

/** The real programs on loopback: entries, agents, one engine stand-in for
 * each agent, the platform stand-in; eight customers of equal weight. */
class site
{
public:
  explicit site(const site_options& aOptions);

  test::fleet& Fleet() { return mFleet; }
  /** One completion at one of the entries, in turn. */
  served Send(std::size_t aIndex, const arrival& aArrival);
  /** The same prompt straight to one of the engines, in turn. */
  served SendDirect(std::size_t aIndex, const arrival& aArrival);
  /** Sets a fault of one engine. */
  void SetFault(int aServer, const std::string& aFault, json::value aSetting);
  /** Share of prompts whose prefix their engine had cached. */
  double PrefixHitShare();
  /** Customers' names, in the order of customer_traffic. */
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
