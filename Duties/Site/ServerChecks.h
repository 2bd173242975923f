#pragma once

#include "Duties/Site/ServerFate.h"
#include "Duties/Site/ServerProtocol.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Metrics/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace lavender::site {

/** Called with each fate that is learned: with Unknown if the first answer is
 * missing, and last with Running or Ended. */
using fate_handler = std::function<void(server_fate)>;

/** Asks servers whose connections broke whether they still run, until the
 * answer is clear. Nothing is sent while no connection breaks. All
 * collaborators must outlive it. */
class server_checks
{
public:
  server_checks(boost::asio::io_context& aLoop,
                edge::client_pool& aClients,
                const exchange_protocol& aProtocol,
                const server_directory& aDirectory,
                metrics::registry& aMetrics);

  /** @param aAddress where the start was reached; none if unknown */
  void Check(const server_start& aStart,
             const std::optional<edge::endpoint>& aAddress,
             fate_handler aDone);

  /** Whether the server didn't answer the last check, so that nothing should be
   * sent there before it answers. */
  bool IsSilent(const server_start& aStart) const;

private:
  struct check;

  void Ask(const std::shared_ptr<check>& aCheck);
  void HandleReply(const std::shared_ptr<check>& aCheck,
                   std::vector<fate_handler> aAsked,
                   const std::optional<server_identity>& aReply);
  void AskLater(const std::shared_ptr<check>& aCheck);

  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const exchange_protocol& mProtocol;
  const server_directory& mDirectory;
  metrics::registry& mMetrics;
  std::map<server_start, std::shared_ptr<check>> mChecks;
};

} // namespace lavender::site
