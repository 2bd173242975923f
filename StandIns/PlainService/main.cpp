#include "StandIns/Common/Program.h"
#include "StandIns/PlainService/PlainService.h"

int
main(int aCount, char** aArguments)
{
  lavender::standin::plain_service service;
  return lavender::standin::RunProgram(
    "standin-service",
    [&](const lavender::http::request& aRequest) {
      return service.Serve(aRequest);
    },
    aCount,
    aArguments);
}
