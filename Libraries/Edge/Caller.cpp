#include "Libraries/Edge/Caller.h"

#include "Libraries/Edge/ClientConnection.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lavender::edge {

namespace {
/** Idle connections kept per server; more would occupy the server's slots. */
constexpr std::size_t kMaximumIdleConnections = 16;
} // namespace

const char*
ToString(call_end aEnd)
{
  switch (aEnd) {
    case call_end::Complete:
      return "complete";
    case call_end::NotSent:
      return "not_sent";
    case call_end::Unsendable:
      return "unsendable";
    case call_end::Broken:
      return "broken";
    case call_end::Malformed:
      return "malformed";
    case call_end::Foreign:
      return "foreign";
    case call_end::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

bool
MayHaveBeenSent(call_end aEnd)
{
  return aEnd != call_end::NotSent && aEnd != call_end::Unsendable;
}

call_handle::call_handle(std::weak_ptr<client_connection> aConnection,
                         std::uint64_t aCall)
  : mConnection(std::move(aConnection))
  , mCall(aCall)
{
}

void
call_handle::Cancel()
{
  if (auto connection = mConnection.lock()) {
    mConnection.reset();
    connection->Cancel(mCall);
  }
}

void
call_handle::RecordProgress()
{
  if (const auto connection = mConnection.lock()) {
    connection->RecordProgress(mCall);
  }
}

void
call_handle::RecordHeld(std::size_t aBytes)
{
  if (const auto connection = mConnection.lock()) {
    connection->RecordHeld(mCall, aBytes);
  }
}

void
call_handle::Pause()
{
  if (const auto connection = mConnection.lock()) {
    connection->Pause(mCall);
  }
}

void
call_handle::Resume()
{
  if (const auto connection = mConnection.lock()) {
    connection->Resume(mCall);
  }
}

client_pool::client_pool(boost::asio::io_context& aLoop)
  : mLoop(aLoop)
{
}

call_handle
client_pool::Start(const endpoint& aServer,
                   const request& aRequest,
                   call_options aOptions,
                   call_events aEvents)
{
  auto connection = aOptions.mMayReuse ? PopIdle(aServer, aOptions.mRequestId)
                                       : std::shared_ptr<client_connection>();
  if (connection) {
    ++mCounts.mReused;
  } else {
    ++mCounts.mOpened;
    connection = std::make_shared<client_connection>(
      mLoop, weak_from_this(), aServer, ++mLastConnection);
  }
  const auto call = connection->Start(aRequest, aOptions, std::move(aEvents));
  return { connection, call };
}

std::shared_ptr<client_connection>
client_pool::PopIdle(const endpoint& aServer, const std::string& aRequestId)
{
  const auto found = mIdle.find(aServer);
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  std::shared_ptr<client_connection> usable;
  std::vector<std::shared_ptr<client_connection>> expired;
  std::vector<std::shared_ptr<client_connection>> passedOver;
  while (!idle.empty() && !usable) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->IsUsable(boot_clock::now())) {
      expired.push_back(std::move(connection));
    } else if (connection->HasJustServed(aRequestId)) {
      passedOver.push_back(std::move(connection));
    } else {
      usable = std::move(connection);
    }
  }
  idle.insert(idle.end(), passedOver.rbegin(), passedOver.rend());
  if (idle.empty()) {
    mIdle.erase(found);
  }
  // Close removes the connection from the list, and an empty list from the map,
  // so it must run when neither is in use here any more.
  for (const auto& connection : expired) {
    connection->Close();
  }
  return usable;
}

void
client_pool::Keep(const std::shared_ptr<client_connection>& aConnection)
{
  auto& idle = mIdle[aConnection->Server()];
  if (idle.size() >= kMaximumIdleConnections) {
    aConnection->Close();
    return;
  }
  idle.push_back(aConnection);
}

void
client_pool::Drop(const client_connection* aConnection)
{
  const auto found = mIdle.find(aConnection->Server());
  if (found == mIdle.end()) {
    return;
  }
  auto& idle = found->second;
  idle.erase(std::remove_if(
               idle.begin(),
               idle.end(),
               [&](const auto& aOther) { return aOther.get() == aConnection; }),
             idle.end());
  if (idle.empty()) {
    mIdle.erase(found);
  }
}

void
client_pool::LimitAnswers(std::size_t aMaximumBytes)
{
  mAnswers.mMaximumBytes = aMaximumBytes;
}

void
client_pool::RecordHeld(const std::shared_ptr<client_connection>& aConnection,
                        std::size_t aBytes)
{
  const auto number = aConnection->Number();
  edge::RecordHeld(mAnswers, number, aBytes);
  if (aBytes == 0) {
    mReading.erase(number);
    return;
  }
  mReading[number] = aConnection;
  DiscardLargest();
}

void
client_pool::DiscardLargest()
{
  const auto heldBytes = mAnswers.mHeldBytes;
  const auto largest = TakeLargestBeyond(mAnswers);
  if (!largest) {
    return;
  }
  const auto connection = mReading[largest->mNumber].lock();
  mReading.erase(largest->mNumber);
  if (!connection) {
    return;
  }
  ++mCounts.mDiscarded;
  events::line("answer_discarded")
    .With("server", connection->Server().Text())
    .With("reason", "all answers hold too much memory")
    .With("bytes", static_cast<std::int64_t>(largest->mBytes))
    .With("all_bytes", static_cast<std::int64_t>(heldBytes));
  // The end of a call runs its callbacks, which must not run within another's.
  boost::asio::post(mLoop, [connection, call = connection->CurrentCall()] {
    connection->Discard(call);
  });
}

void
client_pool::Forget(const endpoint& aServer)
{
  const auto found = mIdle.find(aServer);
  if (found == mIdle.end()) {
    return;
  }
  const auto idle = std::move(found->second);
  mIdle.erase(found);
  for (const auto& connection : idle) {
    connection->Close();
  }
}

int
client_pool::UsableConnections(const endpoint& aServer, time_point aNow) const
{
  const auto found = mIdle.find(aServer);
  return found == mIdle.end() ? 0
                              : static_cast<int>(std::count_if(
                                  found->second.begin(),
                                  found->second.end(),
                                  [aNow](const auto& aConnection) {
                                    return aConnection->IsUsable(aNow);
                                  }));
}

std::size_t
client_pool::IdleBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [server, idle] : mIdle) {
    for (const auto& connection : idle) {
      bytes += connection->HeldBytes();
    }
  }
  return bytes;
}

namespace {

/** Buffers the response to one call. */
struct response_buffer
{
  explicit response_buffer(boost::asio::io_context& aLoop)
    : mTimer(aLoop)
  {
  }

  void End(call_end aEnd)
  {
    if (mDone) {
      mTimer.cancel();
      const auto done = std::move(mDone);
      mDone = nullptr;
      done(aEnd, std::move(mResponse));
    }
  }

  boost::asio::steady_timer mTimer;
  call_handle mCall;
  response mResponse;
  std::string mServer;
  std::string mTarget;
  std::size_t mMaximumBytes = 0;
  whole_answer mDone;
};

} // namespace

call_handle
FetchWhole(client_pool& aPool,
           boost::asio::io_context& aLoop,
           const endpoint& aServer,
           const request& aRequest,
           call_options aOptions,
           milliseconds aDeadline,
           std::size_t aMaximumBytes,
           whole_answer aDone)
{
  auto state = std::make_shared<response_buffer>(aLoop);
  state->mServer = aServer.Text();
  state->mTarget = aRequest.mTarget;
  state->mMaximumBytes = aMaximumBytes;
  state->mDone = std::move(aDone);
  call_events events;
  events.mOnHead = [state](const response& aHead) { state->mResponse = aHead; };
  events.mOnBody = [state](std::string_view aPiece) {
    state->mResponse.mBody.append(aPiece);
    state->mCall.RecordHeld(state->mResponse.mBody.capacity());
    if (state->mResponse.mBody.size() > state->mMaximumBytes) {
      events::line("answer_too_large")
        .With("server", state->mServer)
        .With("target", state->mTarget)
        .With("maximum_bytes", static_cast<std::int64_t>(state->mMaximumBytes));
      state->mCall.Cancel();
      state->mResponse.mBody = {};
      state->End(call_end::Malformed);
    }
  };
  events.mOnEnd = [state](call_end aEnd) { state->End(aEnd); };
  state->mTimer.expires_after(aDeadline);
  state->mTimer.async_wait([state](const auto& aError) {
    if (!aError) {
      state->mCall.Cancel();
      state->End(call_end::TimedOut);
    }
  });
  state->mCall = aPool.Start(aServer, aRequest, aOptions, std::move(events));
  return state->mCall;
}

} // namespace lavender::edge
