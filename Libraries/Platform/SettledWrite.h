#pragma once

#include "Libraries/Platform/PlatformClient.h"

#include <functional>
#include <string>

namespace lavender::platform {

/** Member that tells one write from every other one, equal values included. */
constexpr const char* kNonceMember = "nonce";
/** Member with the nonce of the write that this one replaced. */
constexpr const char* kReplacesMember = "replaces";

/** Sends one conditional write. */
using write_sender = std::function<write_result(const json::value&)>;

/** Writes conditionally and finds out whether the write took effect when its
 * answer was lost.
 *
 * The same write is sent again: its condition holds only if the first one had
 * no effect, and the conflict shows what stands there instead. The value alone
 * doesn't tell whose write that is, since another operator may have written
 * the same. The nonce does, and when somebody has written on top since, that
 * write names it as what it replaced. Unknown is left only when the platform
 * stays silent, or after two later writes.
 * @param aPrevious value that the write replaces; null for a create */
write_result
WriteSettled(const write_sender& aSend,
             json::value aValue,
             const json::value& aPrevious);

/** The same with the client; aExpected as in Write. */
write_result
WriteSettled(const client& aClient,
             const stored_object& aMeant,
             std::int64_t aExpected,
             const json::value& aPrevious);

/** Deletes conditionally; a lost answer is settled by asking again. */
write_result
DeleteSettled(const client& aClient,
              const std::string& aKind,
              const std::string& aName,
              std::int64_t aExpected);

} // namespace lavender::platform
