#pragma once

#include <string_view>

/** Decides whose request a response answers. No I/O.
 *
 * A faulty server may send a response twice, and the second one may arrive
 * where the response to the connection's next request is expected. Servers echo
 * the id of the request, which alone tells the two apart. */
namespace lavender::site {

enum class response_owner
{
  /** The request on whose connection the response arrived. */
  Request,
  AnotherRequest,
  /** The response bears no id though the request does, so it may be anyone's.
   */
  Unknown
};

const char*
ToString(response_owner aOwner);

/** @param aRequestId id that the request bears; empty if it bears none
 * @param aResponseId id that the response bears; empty if it bears none */
response_owner
OwnerOf(std::string_view aRequestId, std::string_view aResponseId);

} // namespace lavender::site
