#pragma once

#include "Duties/Leases/GuardedConnection.h"
#include "Duties/Leases/HeldLease.h"
#include "Libraries/Json/Value.h"
#include "Libraries/Platform/PlatformClient.h"

namespace lavender::leases {

/** Posts a document to one of the platform's interfaces under a lease: no byte
 * leaves after the lease's end, also when this process is paused.
 *
 * The one HTTP client that isn't the library's: cxxtools doesn't show its
 * socket, and the guard has to shut exactly that. So this writes a bounded
 * minimal HTTP/1.1 POST on a guarded_connection of its own; it takes no
 * redirect, no chunked answer and none over 64 KB. The state tells as
 * http::Call's does whether the document may have arrived. */
http::call_result
PostUnderLease(const platform::client& aClient,
               const std::string& aPath,
               const json::value& aBody,
               const held_lease& aLease);

} // namespace lavender::leases
