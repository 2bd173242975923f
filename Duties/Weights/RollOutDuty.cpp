#include "Duties/Weights/RollOutDuty.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"

namespace lavender::weights {
namespace {

using namespace std::chrono_literals;

std::string
LeaseName(const std::string& aPool)
{
  return "weights." + aPool;
}

} // namespace

roll_out_duty::roll_out_duty(roll_out_options aOptions,
                             membership::server_directory& aDirectory,
                             target_source aTargets,
                             leases::lease_source aLeases,
                             progress_observer aObserver,
                             metrics::registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mDirectory(aDirectory)
  , mTargets(std::move(aTargets))
  , mLeases(std::move(aLeases))
  , mObserver(std::move(aObserver))
  , mMetrics(aMetrics)
{
}

roll_out_duty::~roll_out_duty()
{
  Stop();
}

void
roll_out_duty::Start()
{
  mLooker = std::thread([this] { LookLoop(); });
  for (int i = 0; i < mOptions.mSenders; ++i) {
    mSenders.emplace_back([this] { SendLoop(); });
  }
}

void
roll_out_duty::Stop()
{
  mIsStopping = true;
  mStopSign.Close();
  mOrders.Close();
  if (mLooker.joinable()) {
    mLooker.join();
  }
  for (auto& sender : mSenders) {
    if (sender.joinable()) {
      sender.join();
    }
  }
}

void
roll_out_duty::LookLoop()
{
  while (!mIsStopping) {
    const auto targets = mTargets();
    if (!targets.empty()) {
      const auto servers = mDirectory.Servers();
      for (const auto& target : targets) {
        LookAt(target, servers);
      }
    }
    mStopSign.Pop(mOptions.mCheckInterval);
  }
}

void
roll_out_duty::LookAt(const pool_target& aTarget,
                      const std::vector<membership::server_view>& aServers)
{
  if (!mLeases(LeaseName(aTarget.mPool))) {
    mStates.erase(aTarget.mPool);
    return;
  }
  std::vector<server_weights> known;
  std::map<std::string, std::shared_ptr<membership::agent_pool>> connections;
  for (const auto& server : aServers) {
    if (server.mInstance.mPool == aTarget.mPool) {
      known.push_back({ server.mInstance.mName,
                        server.mIncarnation,
                        { server.mModel, server.mWeightVersion },
                        server.mIsServerReachable,
                        server.mIsLeaving });
      connections[server.mInstance.mName] = server.mConnections;
    }
  }
  auto& state = mStates[aTarget.mPool];
  state.mLimits = mOptions.mLimits;
  for (auto& server :
       ChooseOrders(state, aTarget.mTarget, known, boot_clock::now())) {
    ordered_swap order{
      server, aTarget.mPool, aTarget.mTarget, connections[server.mName]
    };
    // A full ring loses the order; it is due again after a while.
    if (!mOrders.TryPush(order)) {
      mMetrics.Count("lavender_swap_orders_total", { { "result", "full" } });
    }
  }
  mObserver({ aTarget, CountHolding(aTarget.mTarget, known), known.size() });
}

void
roll_out_duty::SendLoop()
{
  while (!mIsStopping) {
    if (const auto order = mOrders.Pop(1000ms)) {
      Send(*order);
    }
  }
}

void
roll_out_duty::Send(const ordered_swap& aOrder)
{
  // Asked again just before the bytes leave. A holder paused between this
  // check and its send is refused by the agent, whose highest number is its
  // successor's by then.
  const auto lease = mLeases(LeaseName(aOrder.mPool));
  if (!lease) {
    mMetrics.Count("lavender_swap_orders_total",
                   { { "result", "lease_lost" } });
    return;
  }
  wire::swap_order order;
  order.echo = MakeRandomName();
  order.model = aOrder.mTarget.mModel;
  order.version = aOrder.mTarget.mVersion;
  order.fencing = lease->mFencing;
  order.holder = mOptions.mHolder;
  order.agent_incarnation = aOrder.mServer.mAgentIncarnation;
  const auto sent = aOrder.mConnections->Run<wire::swap_reply>(
    mOptions.mOrderTimeout, order.echo, [&](auto& aClient, auto& aReply) {
      aClient.Swap(aReply, order);
    });
  const bool isAnswered = sent.mState == wire::wire_state::Answered;
  const std::string result = !isAnswered                  ? "no_answer"
                             : sent.mReply.done           ? "done"
                             : sent.mReply.reason.empty() ? "taken"
                                                          : sent.mReply.reason;
  mMetrics.Count("lavender_swap_orders_total", { { "result", result } });
  if (result != "done" && result != "taken") {
    Log(log_level::Warning,
        "weights",
        "Swap order not carried out server=" + aOrder.mServer.mName +
          " reason=" + result);
  }
}

} // namespace lavender::weights
