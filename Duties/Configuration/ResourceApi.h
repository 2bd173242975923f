#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Libraries/Http/Router.h"

namespace lavender::configuration {

/** Adds the operators' resource API: list, read, write, delete and watch.
 * @param aStore outlives the router
 * @param aPlatform copied */
void
AddResourceRoutes(http::router& aRouter,
                  configuration_store& aStore,
                  const platform::client& aPlatform);

} // namespace lavender::configuration
