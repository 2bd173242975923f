#include "Libraries/Wire/Security.h"

#include <thrift/transport/TSSLServerSocket.h>
#include <thrift/transport/TSSLSocket.h>

namespace lavender::wire {
namespace {

namespace transport = apache::thrift::transport;

/** Accepts every peer whose certificate the authority signed. Thrift has
 * verified the signature before it calls this class. Host names aren't compared
 * because processes connect to each other by IP address. */
class signed_peers : public transport::AccessManager
{
public:
  Decision verify(const sockaddr_storage&) noexcept override { return ALLOW; }
};

using factory_pointer = std::shared_ptr<transport::TSSLSocketFactory>;

/** Socket factories; null for plain TCP. Set once before the first connection.
 * Listeners need a separate factory: Thrift marks it as a server factory, and
 * its sockets then refuse to open connections. */
struct factories
{
  factory_pointer mClient;
  factory_pointer mServer;
};

factories&
Factories()
{
  static factories made;
  return made;
}

factory_pointer
MakeFactory(const security_files& aFiles)
{
  auto factory =
    std::make_shared<transport::TSSLSocketFactory>(transport::TLSv1_2);
  factory->loadTrustedCertificates(aFiles.mAuthority.c_str());
  factory->loadCertificate(aFiles.mCertificate.c_str());
  factory->loadPrivateKey(aFiles.mPrivateKey.c_str());
  factory->authenticate(true);
  factory->access(std::make_shared<signed_peers>());
  return factory;
}

} // namespace

void
UseSecurity(const security_files& aFiles)
{
  Factories() = aFiles.IsSet()
                  ? factories{ MakeFactory(aFiles), MakeFactory(aFiles) }
                  : factories{};
}

std::shared_ptr<transport::TSocket>
MakeClientSocket(const http::endpoint& aEndpoint)
{
  if (const auto& factory = Factories().mClient) {
    return factory->createSocket(aEndpoint.mAddress, aEndpoint.mPort);
  }
  return std::make_shared<transport::TSocket>(aEndpoint.mAddress,
                                              aEndpoint.mPort);
}

std::shared_ptr<transport::TServerSocket>
MakeServerSocket(const std::string& aAddress, std::uint16_t aPort)
{
  if (const auto& factory = Factories().mServer) {
    return std::make_shared<transport::TSSLServerSocket>(
      aAddress, aPort, factory);
  }
  return std::make_shared<transport::TServerSocket>(aAddress, aPort);
}

} // namespace lavender::wire
