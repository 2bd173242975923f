#pragma once

#include "Libraries/Http/Client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

namespace lavender::wire {

/** Paths of a process's PEM files for mutual TLS; either all are set, or none
 * for plain TCP. */
struct security_files
{
  /** Authority that signs only the certificates of the system's own processes:
   * every peer with a certificate that it signed is accepted. */
  std::string mAuthority;
  std::string mCertificate;
  std::string mPrivateKey;

  bool IsSet() const { return !mAuthority.empty(); }
};

/** Enables mutual TLS for all later connections and listeners of this process.
 * Called once in main before the first connection; throws when a file can't be
 * loaded. */
void
UseSecurity(const security_files& aFiles);

/** Creates a client socket that isn't open yet. */
std::shared_ptr<apache::thrift::transport::TSocket>
MakeClientSocket(const http::endpoint& aEndpoint);

std::shared_ptr<apache::thrift::transport::TServerSocket>
MakeServerSocket(const std::string& aAddress, std::uint16_t aPort);

} // namespace lavender::wire
