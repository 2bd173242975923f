#pragma once

#include "Tests/Site/Support/BatchEntry.h"

#include <algorithm>
#include <memory>
#include <set>

namespace lavender::tests {

/** Model servers of which each that ends is followed by a new start under
 * another id, and what the runs of the items met there. */
class ending_pool
{
public:
  /** @param aPrepare sets the faults of each server, also of later starts */
  ending_pool(batch_site& aSite,
              int aServers,
              std::function<void(model_server&)> aPrepare);

  /** Number of servers that ended while they ran the item. */
  int EndsUnder(const std::string& aItem) const;
  /** Number of runs of the item at all servers. */
  int RunsOf(const std::string& aItem) const;
  int Ended() const;
  /** Ends one live server, whatever it runs. */
  void EndOne();
  /** The most servers that ended under one item. */
  int MostEnds() const;

private:
  void AddServer();

  batch_site& mSite;
  std::function<void(model_server&)> mPrepare;
  std::vector<std::unique_ptr<model_server>> mServers;
};

} // namespace lavender::tests
