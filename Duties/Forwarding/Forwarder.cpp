#include "Duties/Forwarding/Forwarder.h"

#include "Duties/Forwarding/ForwardedRequest.h"

namespace lavender::forwarding {

forwarder::forwarder(forwarder_dependencies aParts)
  : mDependencies(std::move(aParts))
{
}

void
forwarder::Serve(const edge::exchange_ptr& aExchange,
                 const std::shared_ptr<const site::route>& aRoute,
                 const std::shared_ptr<const site::customer>& aCustomer)
{
  std::make_shared<forwarded_request>(*this, aExchange, aRoute, aCustomer)
    ->Start();
}

} // namespace lavender::forwarding
