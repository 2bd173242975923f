#pragma once

#include "Libraries/Http/Server.h"
#include "Libraries/Json/Value.h"

#include <string>

/** Code shared by the stand-ins. No production program links to it. */
namespace lavender::standin {

/** Serves HTTP requests with the handler until SIGTERM. Prints
 * "ready http=PORT" once it listens.
 * @return exit status */
int
RunProgram(const std::string& aName,
           const http::handler& aHandler,
           int aCount,
           char** aArguments);

http::response
JsonResponse(int aStatus, const json::value& aBody);

} // namespace lavender::standin
