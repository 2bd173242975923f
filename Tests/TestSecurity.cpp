#include "Libraries/Http/Server.h"
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
  void Exchange(wire::peer_digest& aReply,
                const wire::peer_digest& aDigest) override
  {
    aReply = aDigest;
  }
};

wire::wire_state
AskFor(std::uint16_t aPort, std::chrono::milliseconds aTimeout)
{
  entry_pool pool({ "127.0.0.1", aPort, "" }, 1000ms);
  wire::peer_digest digest;
  digest.echo = "hello";
  const auto outcome = pool.Run<wire::peer_digest>(
    aTimeout, "hello", [&](auto& aClient, auto& aReply) {
      aClient.Exchange(aReply, digest);
    });
  BOOST_TEST_MESSAGE(outcome.mLastReason);
  return outcome.mState;
}

/** Plain TCP again when a test ends, however it ends. */
struct restored_security
{
  ~restored_security() { wire::UseSecurity({}); }
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
  restored_security restored;
  certificates ours;
  certificates theirs;
  wire::UseSecurity(
    { ours.Authority(), ours.Certificate(), ours.PrivateKey() });
  auto server = ServeEchoes();
  BOOST_TEST((AskFor(server->Port(), 2000ms) == wire::wire_state::Answered));
  // A process with a certificate of another authority, then one without any.
  wire::UseSecurity(
    { ours.Authority(), theirs.Certificate(), theirs.PrivateKey() });
  BOOST_TEST((AskFor(server->Port(), 2000ms) != wire::wire_state::Answered));
  wire::UseSecurity({});
  BOOST_TEST((AskFor(server->Port(), 2000ms) != wire::wire_state::Answered));
  wire::UseSecurity(
    { theirs.Authority(), ours.Certificate(), ours.PrivateKey() });
  BOOST_TEST((AskFor(server->Port(), 2000ms) != wire::wire_state::Answered));
}

// An entry's connection to an agent goes silent for good; with TLS the
// handshake itself may be what never ends. The wait must end by the timeout
// all the same.
BOOST_AUTO_TEST_CASE(ASilentPeerEndsByTheTimeoutUnderTls)
{
  restored_security restored;
  certificates ours;
  wire::UseSecurity(
    { ours.Authority(), ours.Certificate(), ours.PrivateKey() });
  // Accepts connections in its backlog and never says a word.
  apache::thrift::transport::TServerSocket silent("127.0.0.1", 0);
  silent.listen();
  const auto state =
    AskFor(static_cast<std::uint16_t>(silent.getPort()), 300ms);
  BOOST_TEST((state == wire::wire_state::Unknown));
  silent.close();
}

BOOST_AUTO_TEST_CASE(CallersUseTlsAndTheWirePathStillServes)
{
  certificates ours;
  certificates theirs;
  const std::vector<std::string> wireFlags = {
    "--wire-authority", ours.Authority(),     "--wire-certificate",
    ours.Certificate(), "--wire-private-key", ours.PrivateKey()
  };
  auto entryFlags = wireFlags;
  entryFlags.insert(entryFlags.end(),
                    { "--certificate",
                      ours.Certificate(),
                      "--private-key",
                      ours.PrivateKey() });
  fleet fleet;
  fleet.AddBackend("engine-1", "bogota", "model-pool", "engine", wireFlags);
  auto& entry = fleet.AddEntry("entry-1", "bogota", entryFlags);
  fleet.PublishInstances();
  const auto call = [&](std::uint16_t aPort,
                        const std::string& aAuthority,
                        http::request aRequest) {
    return http::Call({ "127.0.0.1", aPort, aAuthority }, aRequest, 5s);
  };
  const auto put = [&](const std::string& aPath, const std::string& aBody) {
    return call(
      entry.Operators(), ours.Authority(), { "PUT", aPath, "", {}, aBody });
  };
  BOOST_REQUIRE(WaitFor([&] {
    return put("/v1/resources/BackendPool/model-pool",
               "{\"spec\":{\"model\":\"partes\"}}")
             .mResponse.mStatus == 200;
  }));
  put("/v1/resources/Customer/cali", "{\"spec\":{}}");
  const auto key = json::Parse(
    put("/v1/resources/Key/cali-1", "{\"spec\":{\"customer\":\"cali\"}}")
      .mResponse.mBody);
  BOOST_REQUIRE(key.mValue.has_value());
  const http::request ask = {
    "POST",
    "/v1/completions",
    "",
    { { "Authorization", "Bearer " + json::StringAt(*key, "key", "") } },
    "{\"model\":\"partes\",\"prompt\":\"uno dos\"}"
  };
  BOOST_TEST(WaitFor([&] {
    return call(entry.Callers(), ours.Authority(), ask).mResponse.mStatus ==
           200;
  }));
  BOOST_TEST((call(entry.Callers(), theirs.Authority(), ask).mState !=
              http::call_state::Answered));
  BOOST_TEST(
    (call(entry.Callers(), "", ask).mState != http::call_state::Answered));
}

BOOST_AUTO_TEST_SUITE_END()
