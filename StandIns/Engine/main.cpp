#include "StandIns/Common/Program.h"
#include "StandIns/Engine/Engine.h"

int
main(int aCount, char** aArguments)
{
  lavender::standin::engine engine;
  return lavender::standin::RunProgram(
    "standin-engine",
    [&](const lavender::http::request& aRequest) {
      return engine.Serve(aRequest);
    },
    aCount,
    aArguments);
}
