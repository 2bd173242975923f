#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Http/Client.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <string>

namespace lavender::dispatch {

enum class backend_kind
{
  Engine,
  Service
};

/** The backend server that an agent sends requests to. */
struct backend_server
{
  backend_kind mKind = backend_kind::Engine;
  http::endpoint mEndpoint;
};

/** How a run on the backend server ended. */
struct backend_run
{
  wire::run_state::type mState = wire::run_state::OUTCOME_UNKNOWN;
  std::string mReason;
  wire::run_result mResult;
};

/** Runs one order on the server and blocks until the complete response arrived.
 * If the connection can't be opened, the request did not run; if no response
 * arrives or it is cut short, the outcome is unknown. */
backend_run
RunOnServer(const backend_server& aServer,
            const wire::dispatch_order& aOrder,
            milliseconds aTimeout);

/** Tells an engine to stop generating for a request. Errors are ignored. */
void
CancelOnServer(const backend_server& aServer, const std::string& aRequestId);

/** Load as reported by the server itself. */
struct server_load
{
  bool mIsReachable = false;
  wire::load_figures mFigures;
};

server_load
ReadLoad(const backend_server& aServer);

/** Weights that an engine reports as loaded; version 0 if it doesn't report
 * any. */
struct loaded_weights
{
  std::string mModel;
  std::int64_t mVersion = 0;
};

loaded_weights
ReadLoadedWeights(const backend_server& aServer);

/** Requests that an engine load a weight version.
 * @return reason code of a failure; empty if the engine accepted the request */
std::string
RequestWeightLoad(const backend_server& aServer,
                  const std::string& aModel,
                  std::int64_t aVersion,
                  std::int64_t aFencing);

} // namespace lavender::dispatch
