#pragma once

#include "Libraries/Http/Client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

namespace lavender::wire {

/** PEM files of one process; all set, or none for plain TCP. */
struct security_files
{
  /** Authority that signs the certificates of the system's own processes and
   * nothing else: whoever shows one is let in. */
  std::string mAuthority;
  std::string mCertificate;
  std::string mPrivateKey;

  bool IsSet() const { return !mAuthority.empty(); }
};

/** Secures every later connection and listener of this process with mutual
 * TLS. Called once in main before the first connection; throws when a file
 * can't be used. */
void
UseSecurity(const security_files& aFiles);

/** A client socket, not yet open. */
std::shared_ptr<apache::thrift::transport::TSocket>
MakeClientSocket(const http::endpoint& aEndpoint);

std::shared_ptr<apache::thrift::transport::TServerSocket>
MakeServerSocket(const std::string& aAddress, std::uint16_t aPort);

} // namespace lavender::wire
