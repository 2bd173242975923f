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

/** Serves an operator who shows the operators' key as a bearer token; others
 * get 401.
 * @param aKeyHash SHA-256 of the key in hexadecimal; empty takes everybody,
 *   which the settings allow on loopback only */
http::response
ServeOperatorRequest(const http::router& aRouter,
                     const std::string& aKeyHash,
                     const http::request& aRequest);

} // namespace lavender::configuration
