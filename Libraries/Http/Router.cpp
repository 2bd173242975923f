#include "Libraries/Http/Router.h"

#include "Libraries/Core/UrlEncoding.h"

#include <optional>

namespace lavender::http {
namespace {

std::vector<std::string>
SplitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  for (std::size_t start = 1; start <= aPath.size();) {
    auto end = aPath.find('/', start);
    if (end == std::string::npos) {
      end = aPath.size();
    }
    parts.push_back(aPath.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::optional<path_parts>
Match(const std::string& aPattern, const std::string& aPath)
{
  const auto pattern = SplitPath(aPattern);
  const auto path = SplitPath(aPath);
  path_parts captured;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "**") {
      std::string rest;
      for (std::size_t k = i; k < path.size(); ++k) {
        rest += "/" + path[k];
      }
      captured.push_back(std::move(rest));
      return captured;
    }
    if (i >= path.size()) {
      return std::nullopt;
    }
    if (pattern[i] == "*") {
      if (path[i].empty()) {
        return std::nullopt;
      }
      captured.push_back(DecodeUrlPath(path[i]));
    } else if (pattern[i] != path[i]) {
      return std::nullopt;
    }
  }
  if (pattern.size() != path.size()) {
    return std::nullopt;
  }
  return captured;
}

} // namespace

response
Serve(const router& aRouter, const request& aRequest)
{
  bool isPathKnown = false;
  for (const auto& route : aRouter.mRoutes) {
    if (auto parts = Match(route.mPattern, aRequest.mPath)) {
      if (route.mMethod == aRequest.mMethod) {
        return route.mHandler(aRequest, *parts);
      }
      isPathKnown = true;
    }
  }
  response outgoing;
  outgoing.mStatus = isPathKnown ? 405 : 404;
  outgoing.mBody = isPathKnown
                     ? "{\"error\":{\"reason\":\"method_not_allowed\","
                       "\"ran\":\"not_run\"}}"
                     : "{\"error\":{\"reason\":\"unknown_path\","
                       "\"ran\":\"not_run\"}}";
  return outgoing;
}

} // namespace lavender::http
