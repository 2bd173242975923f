#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Libraries/Http/Router.h"

namespace lavender::configuration {

/** Adds the routes of the operators' resource API: list, read, write, delete
 * and watch.
 * @param aStore must outlive the router
 * @param aPlatform is copied */
void
AddResourceRoutes(http::router& aRouter,
                  configuration_store& aStore,
                  const platform::client& aPlatform);

/** Serves a request that carries the operators' key as a bearer token, and
 * responds with 401 to any other.
 * @param aKeyHash SHA-256 of the key in hexadecimal; empty accepts every
 * request, which the settings allow on loopback only */
http::response
ServeOperatorRequest(const http::router& aRouter,
                     const std::string& aKeyHash,
                     const http::request& aRequest);

} // namespace lavender::configuration
