#pragma once

#include "Libraries/Http/Message.h"

#include <functional>
#include <string>
#include <vector>

namespace lavender::http {

/** Path parts that stood where the pattern has a star, in order. */
using path_parts = std::vector<std::string>;
using routed_handler =
  std::function<response(const request&, const path_parts&)>;

struct route
{
  std::string mMethod;
  /** Such as "/v1/resources/STAR/STAR" with stars; a last "**" takes the
   * rest of the path. */
  std::string mPattern;
  routed_handler mHandler;
};

/** Table of routes; the first match serves. */
struct router
{
  std::vector<route> mRoutes;

  void Add(std::string aMethod, std::string aPattern, routed_handler aHandler)
  {
    mRoutes.push_back(
      { std::move(aMethod), std::move(aPattern), std::move(aHandler) });
  }
};

/** Serves a request; unknown paths get 404, known paths with another method
 * 405, both as JSON. */
response
Serve(const router& aRouter, const request& aRequest);

} // namespace lavender::http
