#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Tests/Site/Support/Loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavender::tests {

/** What a server does with a connection once its answer is written. */
enum class after_answer
{
  /** The connection is reset. */
  Reset,
  /** The sending side is closed, and the rest of the request is read. */
  CloseAndReadOn,
  /** The rest of the request is read. */
  ReadOn,
  /** Nothing, until the test calls Reset. */
  Wait
};

/** A server that answers as soon as it has the head of a request, while the
 * body is still being sent. It reads none of the body before that. */
class early_server
{
public:
  /** Makes the bytes of the answer to the request with that id. */
  using answer_maker = std::function<std::string(const std::string& aId)>;

  early_server(test_loop& aLoop, after_answer aAfter, answer_maker aMakeAnswer);

  site::backend_server Entry(const std::string& aId) const;

  /** Resets the connections that wait. */
  void Reset();

  int mRequests = 0;

private:
  struct channel;

  void Accept();
  void ReadHead(const std::shared_ptr<channel>& aChannel);
  void Answer(const std::shared_ptr<channel>& aChannel);
  void ReadRest(const std::shared_ptr<channel>& aChannel);

  const after_answer mAfter;
  const answer_maker mMakeAnswer;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<channel>> mWaiting;
};

} // namespace lavender::tests
