#include "StandIns/Common/Program.h"
#include "StandIns/Platform/Platform.h"

int
main(int aCount, char** aArguments)
{
  lavender::standin::platform platform;
  return lavender::standin::RunProgram(
    "standin-platform",
    [&](const lavender::http::request& aRequest) {
      return platform.Serve(aRequest);
    },
    aCount,
    aArguments);
}
