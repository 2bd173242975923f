#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/entry_service.h"
#include "Libraries/Wire/WireServer.h"
#include "Tests/Support/Certificates.h"
#include "Tests/Support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::test;

namespace {

using entry_pool = wire::connection_pool<wire::entry_serviceClient>;

class echo_handler : public wire::entry_serviceNull
{
public:
  void Exchange(wire::peer_digest& aResponse,
                const wire::peer_digest& aDigest) override
  {
    aResponse = aDigest;
  }
};

wire::wire_state
ExchangeWith(std::uint16_t aPort, std::chrono::milliseconds aTimeout)
{
  entry_pool pool({ "127.0.0.1", aPort }, 1000ms);
  wire::peer_digest digest;
  digest.echo = "hello";
  const auto outcome = pool.Run<wire::peer_digest>(
    aTimeout, "hello", [&](auto& aClient, auto& aResponse) {
      aClient.Exchange(aResponse, digest);
    });
  BOOST_TEST_MESSAGE(outcome.mLastReason);
  return outcome.mState;
}

/** Restores plain TCP when a test ends, also on failure. */
struct security_guard
{
  ~security_guard() { wire::UseSecurity({}); }
};

std::unique_ptr<wire::wire_server>
ServeEchoes()
{
  return std::make_unique<wire::wire_server>(
    "127.0.0.1",
    0,
    std::make_shared<wire::entry_serviceProcessor>(
      std::make_shared<echo_handler>()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSecurity)

BOOST_AUTO_TEST_CASE(OnlySignedProcessesTalkToEachOther)
{
  security_guard guard;
  certificates ours;
  certificates theirs;
  wire::UseSecurity(
    { ours.Authority(), ours.Certificate(), ours.PrivateKey() });
  auto server = ServeEchoes();
  BOOST_TEST(
    (ExchangeWith(server->Port(), 2000ms) == wire::wire_state::Answered));
  // A process with a certificate of another authority, then one without any.
  wire::UseSecurity(
    { ours.Authority(), theirs.Certificate(), theirs.PrivateKey() });
  BOOST_TEST(
    (ExchangeWith(server->Port(), 2000ms) != wire::wire_state::Answered));
  wire::UseSecurity({});
  BOOST_TEST(
    (ExchangeWith(server->Port(), 2000ms) != wire::wire_state::Answered));
  wire::UseSecurity(
    { theirs.Authority(), ours.Certificate(), ours.PrivateKey() });
  BOOST_TEST(
    (ExchangeWith(server->Port(), 2000ms) != wire::wire_state::Answered));
}

// An entry's connection to an agent becomes unresponsive for good; with TLS
// this may already happen during the handshake. The call must still end by its
// timeout.
BOOST_AUTO_TEST_CASE(ASilentPeerEndsByTheTimeoutUnderTls)
{
  security_guard guard;
  certificates ours;
  wire::UseSecurity(
    { ours.Authority(), ours.Certificate(), ours.PrivateKey() });
  // Accepts connections in its backlog and never sends anything.
  apache::thrift::transport::TServerSocket silent("127.0.0.1", 0);
  silent.listen();
  const auto state =
    ExchangeWith(static_cast<std::uint16_t>(silent.getPort()), 300ms);
  BOOST_TEST((state == wire::wire_state::Unknown));
  silent.close();
}

// Messages longer than a TLS record, or than a read buffer, must arrive
// complete: a transport that leaves decrypted bytes in its buffer waits for a
// readiness event that never comes.
BOOST_AUTO_TEST_CASE(MessagesOfEverySizePass)
{
  security_guard guard;
  certificates ours;
  wire::UseSecurity(
    { ours.Authority(), ours.Certificate(), ours.PrivateKey() });
  auto server = ServeEchoes();
  entry_pool pool({ "127.0.0.1", server->Port() }, 1000ms);
  for (const std::size_t size :
       { 10, 8000, 9000, 16000, 16384, 17000, 40000, 900000 }) {
    const std::string echo(size, 'e');
    wire::peer_digest digest;
    digest.echo = echo;
    const auto outcome = pool.Run<wire::peer_digest>(
      5000ms, echo, [&](auto& aClient, auto& aResponse) {
        aClient.Exchange(aResponse, digest);
      });
    BOOST_TEST((outcome.mState == wire::wire_state::Answered), size);
  }
}

BOOST_AUTO_TEST_CASE(TheWholePathServesOverMutualTls)
{
  certificates ours;
  const std::vector<std::string> flags = {
    "--wire-authority", ours.Authority(),     "--wire-certificate",
    ours.Certificate(), "--wire-private-key", ours.PrivateKey()
  };
  fleet fleet;
  fleet.AddBackend("engine-1", "bogota", "model-pool", "engine", flags);
  auto& entry = fleet.AddEntry("entry-1", "bogota", flags);
  fleet.PublishInstances();
  json::value pool;
  pool.Set("model", "partes");
  fleet.Put("BackendPool", "model-pool", pool);
  const auto key = fleet.AddCustomer("cali");
  BOOST_REQUIRE(fleet.WaitUntilServing(key, "partes"));
  const std::string prompt(30000, 'p');
  BOOST_TEST(Complete(entry.Callers(), key, "partes", prompt).mStatus == 200);
}

BOOST_AUTO_TEST_SUITE_END()
