#include "Libraries/Edge/Exchange.h"

#include "Libraries/Edge/HeadSyntax.h"
#include "Libraries/Edge/ResponseText.h"
#include "Libraries/Edge/ServerConnection.h"

#include <chrono>
#include <cstdio>

namespace lavender::edge {

namespace {

constexpr unsigned kInternalError = 500;

/** What is sent in place of a response whose head HTTP doesn't allow. */
response
RefusalOf(const head_fault& aFault)
{
  return { kInternalError, {}, Describe(aFault) };
}

} // namespace

exchange::exchange(std::shared_ptr<server_connection> aConnection,
                   request aRequest,
                   held_bytes aHeld)
  : mRequest(std::move(aRequest))
  , mConnection(aConnection)
  , mHeld(std::move(aHeld))
{
}

exchange::~exchange()
{
  // Without a response or a reset, the caller would wait in vain.
  if (!mIsEnded) {
    Abort();
  }
}

void
exchange::Answer(response aResponse)
{
  auto connection = mConnection.lock();
  if (mIsEnded || mHasBegun || !connection) {
    return;
  }
  if (const auto fault = FindFault(aResponse.mHeaders)) {
    Answer(RefusalOf(*fault));
    return;
  }
  mHasBegun = mIsEnded = true;
  const auto connectionOption = connection->BeginResponse(aResponse.mStatus);
  const auto& shared = aResponse.mSharedBody;
  auto bytes = WriteHead(aResponse.mStatus,
                         aResponse.mHeaders,
                         aResponse.mBody.size() + (shared ? shared->size() : 0),
                         connectionOption);
  bytes += aResponse.mBody;
  connection->SendLast(std::move(bytes), shared);
}

void
exchange::Begin(unsigned aStatus, const header_list& aHeaders)
{
  auto connection = mConnection.lock();
  if (mIsEnded || mHasBegun || !connection) {
    return;
  }
  if (const auto fault = FindFault(aHeaders)) {
    Answer(RefusalOf(*fault));
    return;
  }
  mHasBegun = true;
  const auto connectionOption = connection->BeginResponse(aStatus);
  connection->Send(WriteHead(aStatus, aHeaders, std::nullopt, connectionOption),
                   false);
}

void
exchange::Write(std::string_view aPiece)
{
  auto connection = mConnection.lock();
  if (!mIsEnded && connection && !aPiece.empty()) {
    connection->Send(WriteChunk(aPiece), false);
  }
}

void
exchange::Finish()
{
  auto connection = mConnection.lock();
  if (!mIsEnded && connection) {
    mIsEnded = true;
    connection->Send("0\r\n\r\n", true);
  }
}

void
exchange::Abort()
{
  mIsEnded = true;
  if (auto connection = mConnection.lock()) {
    connection->Reset();
  }
}

std::size_t
exchange::Unsent() const
{
  const auto connection = mConnection.lock();
  return connection ? connection->Unsent() : 0;
}

void
exchange::OnCallerLeft(std::function<void()> aHandler)
{
  mCallerLeft = std::move(aHandler);
}

void
exchange::OnWritten(std::function<void()> aHandler)
{
  mWritten = std::move(aHandler);
}

void
AnswerOwn(const exchange_ptr& aExchange,
          unsigned aStatus,
          std::optional<milliseconds> aRetryAfter)
{
  response generated;
  generated.mStatus = aStatus;
  if (aRetryAfter) {
    char text[32];
    std::snprintf(text,
                  sizeof text,
                  "%.2f",
                  std::chrono::duration<double>(*aRetryAfter).count());
    generated.mHeaders.Add("Retry-After", text);
  }
  aExchange->Answer(std::move(generated));
}

} // namespace lavender::edge
