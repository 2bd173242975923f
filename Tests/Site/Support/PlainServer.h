#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Tests/Site/Support/Loop.h"

namespace lavender::tests {

/** A backend server that answers each request through a function that the test
 * can replace. */
struct plain_server
{
  explicit plain_server(test_loop& aLoop)
    : mListener(aLoop.mLoop,
                std::make_shared<edge::listener_limits>(),
                [this](const edge::exchange_ptr& aExchange) {
                  if (aExchange->mRequest.mTarget == "/report") {
                    aExchange->Answer(TurnAway(aExchange));
                    return;
                  }
                  ++mRequests;
                  mLast = aExchange;
                  aExchange->OnCallerLeft([this] { ++mCallersLeft; });
                  mServe(aExchange);
                })
  {
    mListener.Open({ "127.0.0.1", 0 });
  }

  static edge::response Answer(const edge::exchange_ptr& aExchange,
                               unsigned aStatus)
  {
    const auto id = aExchange->mRequest.mHeaders.ValueOr("X-Attempt-Id", "");
    edge::response answer{ aStatus, {}, "whole answer" };
    answer.mHeaders.Add("X-Attempt-Id", id);
    answer.mHeaders.Add("X-Server-Seal", "seal-" + id);
    return answer;
  }

  /** Returns a 503 response which states that the request was not executed. */
  static edge::response TurnAway(const edge::exchange_ptr& aExchange)
  {
    auto busy = Answer(aExchange, 503);
    busy.mHeaders.Add("X-Not-Executed", "1");
    return busy;
  }

  site::backend_server Entry(const std::string& aId,
                             const std::string& aPool) const
  {
    site::backend_server entry;
    entry.mId = aId;
    entry.mPool = aPool;
    entry.mAddress = { "127.0.0.1", mListener.Port() };
    entry.mAvailabilityZone = "zone";
    entry.mSlots = 4;
    return entry;
  }

  std::function<void(const edge::exchange_ptr&)> mServe =
    [](const edge::exchange_ptr& aExchange) {
      aExchange->Answer(Answer(aExchange, 200));
    };
  edge::exchange_ptr mLast;
  int mRequests = 0;
  int mCallersLeft = 0;
  edge::listener mListener;
};

} // namespace lavender::tests
