#pragma once

#include "Libraries/Platform/PlatformClient.h"

#include <functional>
#include <string>

namespace lavender::platform {

/** Member with a random id of the write, which distinguishes it from writes of
 * an equal value. */
constexpr const char* kNonceMember = "nonce";
/** Member with the nonce of the write that this one replaced. */
constexpr const char* kReplacesMember = "replaces";

/** Sends one conditional write. */
using write_sender = std::function<write_result(const json::value&)>;

/** Writes conditionally and, when a response is lost, determines whether the
 * write took effect.
 *
 * The same write is sent again. Its condition holds only if the first attempt
 * had no effect; otherwise the conflict shows the stored object. The stored
 * value doesn't tell whose write it is, since another operator may have written
 * an equal value, but its nonce does. A later write names the nonce of the
 * write that it replaced. The result is Unknown when the platform doesn't
 * respond or refuses the repeated write, when the object was deleted meanwhile,
 * or when the stored object has neither nonce, such as after two later writes.
 * @param aPrevious value that the write replaces; null for a create */
write_result
WriteSettled(const write_sender& aSend,
             json::value aValue,
             const json::value& aPrevious);

/** As above, sent with the client; aExpected as in Write. */
write_result
WriteSettled(const client& aClient,
             const stored_object& aTarget,
             std::int64_t aExpected,
             const json::value& aPrevious);

/** Deletes conditionally. When the response is lost, the deletion is sent again
 * to determine whether it took effect. */
write_result
DeleteSettled(const client& aClient,
              const std::string& aKind,
              const std::string& aName,
              std::int64_t aExpected);

} // namespace lavender::platform
