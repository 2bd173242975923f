#pragma once

#include "Libraries/Http/Server.h"
#include "Libraries/Json/Value.h"

#include <string>

/** What the stand-ins share. Nothing shipped links to these packages. */
namespace lavender::standin {

/** Serves with the handler until SIGTERM. Prints "ready http=PORT" when it
 * listens.
 * @return exit status */
int
RunProgram(const std::string& aName,
           const http::handler& aHandler,
           int aCount,
           char** aArguments);

http::response
JsonResponse(int aStatus, const json::value& aBody);

} // namespace lavender::standin
