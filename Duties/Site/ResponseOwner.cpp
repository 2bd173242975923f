#include "Duties/Site/ResponseOwner.h"

namespace lavender::site {

const char*
ToString(response_owner aOwner)
{
  switch (aOwner) {
    case response_owner::Request:
      return "request";
    case response_owner::AnotherRequest:
      return "another_request";
    case response_owner::Unknown:
      return "unknown";
  }
  return "unknown";
}

response_owner
OwnerOf(std::string_view aRequestId, std::string_view aResponseId)
{
  if (aRequestId == aResponseId) {
    return response_owner::Request;
  }
  return aResponseId.empty() ? response_owner::Unknown
                             : response_owner::AnotherRequest;
}

} // namespace lavender::site
