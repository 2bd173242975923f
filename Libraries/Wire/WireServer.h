#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <thrift/TProcessor.h>

namespace lavender::wire {

/** The largest message arrives in this time at 14 Mbit a second. */
constexpr milliseconds kRequestTimeout{ 10'000 };

/** Thrift server with one thread that accepts and one for each connection. */
class wire_server
{
public:
  /** @param aPort 0 lets the system choose a port, which Port returns
   * @param aRequestTimeout maximum time from a request's first byte to its last
   */
  wire_server(const std::string& aAddress,
              std::uint16_t aPort,
              std::shared_ptr<apache::thrift::TProcessor> aProcessor,
              milliseconds aRequestTimeout = kRequestTimeout);
  ~wire_server();
  wire_server(const wire_server&) = delete;
  wire_server& operator=(const wire_server&) = delete;

  std::uint16_t Port() const;
  /** Stops accepting, closes open connections and joins all threads. */
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::wire
