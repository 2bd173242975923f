#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thrift/TProcessor.h>

namespace lavender::wire {

/** A Thrift listener with a thread for each connection and one for itself. */
class wire_server
{
public:
  /** @param aPort 0 lets the system choose; Port tells which it chose */
  wire_server(const std::string& aAddress,
              std::uint16_t aPort,
              std::shared_ptr<apache::thrift::TProcessor> aProcessor);
  ~wire_server();
  wire_server(const wire_server&) = delete;
  wire_server& operator=(const wire_server&) = delete;

  std::uint16_t Port() const;
  /** Stops accepting, ends open connections and joins all threads. */
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::wire
