#include "Tests/Soak/RewardServer.h"

#include "Libraries/Edge/RunAfter.h"

namespace lavender::soak {

namespace {

constexpr milliseconds kWorkTime{ 8 };
constexpr milliseconds kUnresponsiveTime{ 1500 };
constexpr unsigned kFailureInterval = 7;

std::string
IdOf(const edge::exchange_ptr& aExchange)
{
  return aExchange->mRequest.mHeaders.ValueOr("X-Attempt-Id", "");
}

edge::response
Answer(const std::string& aId, unsigned aStatus)
{
  edge::response answer{ aStatus, {}, "scored" };
  answer.mHeaders.Add("X-Attempt-Id", aId);
  answer.mHeaders.Add("X-Server-Seal", "seal-" + aId);
  return answer;
}

} // namespace

reward_server::reward_server(boost::asio::io_context& aLoop)
  : mLoop(aLoop)
  , mListener(aLoop,
              std::make_shared<edge::listener_limits>(),
              [this](const auto& aExchange) { Serve(aExchange); })
{
  mListener.Open({ "127.0.0.1", 0 });
}

bool
reward_server::AlwaysFails(const std::string& aCall)
{
  return std::hash<std::string>()(aCall) % kFailureInterval == 0;
}

void
reward_server::Serve(const edge::exchange_ptr& aExchange)
{
  if (std::uniform_real_distribution<>(0, 1)(mRandom) < mFaultShare) {
    ServeWithFault(aExchange);
    return;
  }
  const auto id = IdOf(aExchange);
  edge::RunAfter(mLoop, kWorkTime, [this, aExchange, id] {
    const bool fails = AlwaysFails(id);
    ++(fails ? mErrors : mScored)[id];
    aExchange->Answer(Answer(id, fails ? 500 : 200));
  });
}

void
reward_server::ServeWithFault(const edge::exchange_ptr& aExchange)
{
  const auto id = IdOf(aExchange);
  switch (std::uniform_int_distribution<int>(0, 3)(mRandom)) {
    case 0:
      aExchange->Abort();
      return;
    case 1: {
      auto busy = Answer(id, 503);
      busy.mHeaders.Add("X-Not-Executed", "1");
      aExchange->Answer(std::move(busy));
      return;
    }
    case 2:
      edge::RunAfter(
        mLoop, kUnresponsiveTime, [aExchange] { aExchange->Abort(); });
      return;
    default:
      aExchange->Answer(Answer("another", 200));
  }
}

} // namespace lavender::soak
