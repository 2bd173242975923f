#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/HeldBytes.h"
#include "Libraries/Edge/Message.h"

#include <functional>
#include <memory>
#include <optional>

namespace lavender::edge {

class server_connection;

/** A request and its response. The response is sent by Answer, or piece by
 * piece by Begin, Write and Finish. These calls do nothing after the caller has
 * closed its connection. */
class exchange
{
public:
  /** @param aHeld memory of the request, which counts as long as the exchange
   * exists */
  exchange(std::shared_ptr<server_connection> aConnection,
           request aRequest,
           held_bytes aHeld = {});
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  /** The handler may move its parts away. */
  request mRequest;
  /** Time at which the complete request had been read. */
  const time_point mReadAt = boot_clock::now();

  void Answer(response aResponse);
  /** Starts a response of unknown length. */
  void Begin(unsigned aStatus, const header_list& aHeaders);
  void Write(std::string_view aPiece);
  void Finish();
  /** Resets the connection, so that the caller can't take the bytes sent so far
   * for a complete response. */
  void Abort();
  bool IsEnded() const { return mIsEnded; }
  bool HasBegun() const { return mHasBegun; }
  /** Bytes of the response that are not yet written to the socket. */
  std::size_t Unsent() const;
  /** Sets a handler that is called once when the caller closes its connection
   * before the response is complete. */
  void OnCallerLeft(std::function<void()> aHandler);
  /** Sets a handler that is called each time after bytes of the response were
   * written to the socket, until the response ends. */
  void OnWritten(std::function<void()> aHandler);

private:
  friend class server_connection;
  std::weak_ptr<server_connection> mConnection;
  const held_bytes mHeld;
  std::function<void()> mCallerLeft;
  std::function<void()> mWritten;
  bool mHasBegun = false;
  bool mIsEnded = false;
};

using exchange_ptr = std::shared_ptr<exchange>;

/** Sends a response without a body that this process generates itself.
 * @param aRetryAfter value of Retry-After, sent in seconds with a fraction */
void
AnswerOwn(const exchange_ptr& aExchange,
          unsigned aStatus,
          std::optional<milliseconds> aRetryAfter = std::nullopt);

} // namespace lavender::edge
