#pragma once

#include "Duties/Batches/BatchService.h"
#include "Libraries/Edge/Message.h"

#include <optional>

/** Decides who answers a caller's request: a batch, which trainers call on the
 * same paths under every host, or the route that its path selects. No I/O.
 *
 * A route may have any prefix, so its paths may be those of batches too. Calls
 * for a batch are told from other requests by method and form, and where the
 * route forwards requests to servers, by whether there is such a batch. */
namespace lavender::entry {

enum class call_target
{
  /** No route matches, and it isn't a path of batches. */
  None,
  /** It is a call for a batch, or no other request than one. */
  Batch,
  /** It is a call for a batch if there is such a batch. */
  BatchOrServer,
  /** It submits a batch. */
  Submission,
  /** It is forwarded to a server of the route. */
  Server
};

/** @param aRoute the route that the request's path selects; null if none */
call_target
TargetOf(const edge::request& aRequest, const site::route* aRoute);

/** Returns the call if it names a batch, and an item if it is for one. */
std::optional<batches::batch_call>
NamedBatchCall(const edge::request& aRequest);

} // namespace lavender::entry
