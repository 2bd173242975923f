#pragma once

#include "Tests/Site/Support/Loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavender::tests {

/** What each client of a crowd does on its connection, which it keeps open. */
struct crowd_manner
{
  /** Sent at once, with the client's number of three digits for each "%%%". */
  std::string mBytes;
  /** Sent again and again behind mBytes; empty for nothing more. */
  std::string mRepeated;
  /** Whether the clients take what the listener sends. */
  bool mReads = true;
  /** Whether mBytes hold a whole request, so that a response is due. */
  bool mIsWhole = false;
  /** Whether the clients close their sending side behind mBytes. */
  bool mEndsSending = false;
};

class crowd_client;

/** Many clients of one listener that do the same at the same time. */
class crowd
{
public:
  /** Connects all clients. */
  crowd(test_loop& aLoop,
        unsigned short aPort,
        int aClients,
        const crowd_manner& aManner);
  /** Closes all connections. */
  ~crowd();
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /** Runs the loop until each client has sent its bytes, and has its response
   * if one is due and is read, or until its connection was closed. Clients that
   * send without end must have been closed.
   * @return whether all came that far */
  bool Settle();
  /** Number of clients by the status of their response; 0 for those without
   * one. */
  std::map<unsigned, int> Statuses() const;

private:
  test_loop& mLoop;
  std::vector<std::shared_ptr<crowd_client>> mClients;
};

} // namespace lavender::tests
