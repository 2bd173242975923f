#pragma once

#include "Duties/Leases/GuardedConnection.h"
#include "Duties/Leases/HeldLease.h"
#include "Libraries/Json/Value.h"
#include "Libraries/Platform/PlatformClient.h"

namespace lavender::leases {

/** Posts a document to one of the platform's interfaces under a lease: no byte
 * is sent after the lease has expired, even when this process is paused.
 *
 * This doesn't use the HTTP library's client, because it doesn't expose the
 * socket that guarded_connection has to abort. It writes a minimal HTTP/1.1
 * POST on a connection of its own and follows no redirect. A response over
 * 64 KB, or one that only the end of its connection ends, counts as none. As
 * with http::Call, the state of the result says whether the document may have
 * arrived. */
http::call_result
PostUnderLease(const platform::client& aClient,
               const std::string& aPath,
               const json::value& aBody,
               const held_lease& aLease);

} // namespace lavender::leases
