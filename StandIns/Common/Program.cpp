#include "StandIns/Common/Program.h"

#include "Libraries/Core/Log.h"
#include "Libraries/Core/TerminationSignal.h"
#include "Libraries/Http/Client.h"
#include "Libraries/Settings/Settings.h"

#include <iostream>

namespace lavender::standin {

int
RunProgram(const std::string& aName,
           const http::handler& aHandler,
           int aCount,
           char** aArguments)
{
  termination_signal termination;
  const std::vector<settings::setting> declared = {
    { "listen",
      "Address of the HTTP listener.",
      "",
      "127.0.0.1:0",
      settings::setting_kind::Endpoint,
      0,
      0,
      {},
      false },
  };
  const auto reading = settings::Read(aName, declared, aCount, aArguments);
  if (!reading.mFindings.IsEmpty()) {
    settings::Report(reading.mFindings);
    return settings::kBadSettingsStatus;
  }
  StartLog(log_level::Warning);
  const auto listen = http::ParseEndpoint(reading.mValues.Text("listen"));
  http::server_options options;
  options.mAddress = listen->mAddress;
  options.mPort = listen->mPort;
  options.mMaximumBodyBytes = 8 << 20;
  options.mMaximumThreads = 1024;
  options.mMaximumConnections = 4096;
  http::server server(options, aHandler);
  std::cout << "ready http=" << server.Port() << std::endl;
  while (!termination.WaitFor(std::chrono::seconds(1))) {
  }
  server.Stop();
  return 0;
}

http::response
JsonResponse(int aStatus, const json::value& aBody)
{
  http::response response;
  response.mStatus = aStatus;
  response.mBody = json::Write(aBody);
  return response;
}

} // namespace lavender::standin
