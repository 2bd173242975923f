#pragma once

#include "Libraries/Http/Message.h"

#include <functional>
#include <string>
#include <vector>

namespace lavender::http {

/** Path segments that matched the pattern's stars, in order. */
using path_parts = std::vector<std::string>;
using routed_handler =
  std::function<response(const request&, const path_parts&)>;

struct route
{
  std::string mMethod;
  /** Such as "/v1/resources/STAR/STAR", where STAR stands for an asterisk that
   * matches one segment. A final "**" matches the rest of the path. */
  std::string mPattern;
  routed_handler mHandler;
};

/** Table of routes; the first route that matches handles the request. */
struct router
{
  std::vector<route> mRoutes;

  void Add(std::string aMethod, std::string aPattern, routed_handler aHandler)
  {
    mRoutes.push_back(
      { std::move(aMethod), std::move(aPattern), std::move(aHandler) });
  }
};

/** Dispatches a request to its route. The response is 404 for an unknown path
 * and 405 for a known path with another method, both with a JSON body. */
response
Serve(const router& aRouter, const request& aRequest);

} // namespace lavender::http
