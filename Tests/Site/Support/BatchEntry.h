#pragma once

#include "Duties/Batches/BatchService.h"
#include "Libraries/ObjectStore/Mirror.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/Loop.h"
#include "Tests/Site/Support/ModelServer.h"
#include "Tests/Site/Support/PlainServer.h"
#include "platform/BatchMessages.h"
#include "platform/ExchangeProtocol.h"

namespace lavender::tests {

/** What entries of one test share. */
struct batch_site
{
  test_loop mLoop;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  standin::memory_store_state mState;
  site::exchange_protocol mProtocol = platform::MakeExchangeProtocol();
  site::configuration_ptr mConfiguration;
  site::server_directory mDirectory;
  forwarding::pool_router mRouter{ mDirectory, "zone" };
  metrics::registry mMetrics;
  /** Peers that can be reached, by name. */
  std::map<std::string, edge::endpoint> mPeers;
  /** How much of the batches each entry shall own; 1 when not named. */
  std::map<std::string, double> mWeights;
  /** Items that are submitted name a reward call, "rID" for item ID. */
  bool mItemsHaveRewards = false;

  batch_site();
  void Add(const model_server& aServer);
  /** A server of the plain service that reward calls go to. */
  void Add(const plain_server& aServer,
           const std::string& aId,
           const std::string& aPool = "rewards");
  /** The route of reward calls leads to that pool from now on; to none where
   * it is empty. */
  void RouteRewardsTo(const std::string& aPool);
  /** Changes the route of all batches. */
  void Change(const std::function<void(site::route&)>& aChange);
  /** Age at which items may be given up. */
  void SetMaximumQueueing(milliseconds aTime);
};

/** One entry's batch duty with a listener for trainers and peers. */
class batch_entry
{
public:
  batch_entry(batch_site& aSite, const std::string& aName);
  ~batch_entry();

  unsigned short Port() const { return mListener.Port(); }
  call_result Submit(const std::string& aBatchId, int aItems);
  /** All results that are listed from that position on. */
  json::value Read(const std::string& aBatchId, std::size_t aAfter);
  /** Starts a read whose answer nobody waits for. */
  void StartReading(const std::string& aBatchId);
  std::vector<std::string> ListedIds(const std::string& aBatchId);
  unsigned End(const std::string& aBatchId);
  /** From now on nobody listens at this entry's address. */
  void StopListening() { mListener.StopAccepting(); }

  batch_site& mSite;
  objects::object_store mStore;
  rewards::reward_client mRewards;
  batches::batch_runner mRunner;
  batches::batch_service mService;
  std::shared_ptr<objects::mirror> mHeads;
  /** False stands for an entry that is cut off from callers and peers. */
  bool mIsReachable = true;
  /** False stands for an entry whose writes don't reach the store. */
  bool mCanReachStore = true;
  /** True stands for answers to other entries that are lost on their way. */
  bool mLosesAnswers = false;
  /** True stands for a narrow link: pages for other entries take 1.5 s. */
  bool mAnswersSlowly = false;

private:
  void RefuseWritesWhileCutOff();
  void Serve(const edge::exchange_ptr& aExchange);
  void AnswerSlowly(const edge::exchange_ptr& aExchange);

  std::vector<edge::exchange_ptr> mHeld;
  edge::listener mListener;
};

} // namespace lavender::tests
