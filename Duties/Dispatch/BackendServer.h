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

/** The one backend server that an agent stands beside. */
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

/** Runs one order on the server and waits for the whole answer.
 * A connection that can't be opened is a truthful "not run"; silence or a cut
 * after that is an unknown outcome. */
backend_run
RunOnServer(const backend_server& aServer,
            const wire::dispatch_order& aOrder,
            milliseconds aTimeout);

/** Tells an engine to stop generating for a request; best effort. */
void
CancelOnServer(const backend_server& aServer, const std::string& aRequestId);

/** What the server says of its own load. */
struct server_load
{
  bool mIsReachable = false;
  wire::load_figures mFigures;
};

server_load
ReadLoad(const backend_server& aServer);

/** The weights that an engine truly holds; version 0 when it doesn't tell. */
struct loaded_weights
{
  std::string mModel;
  std::int64_t mVersion = 0;
};

loaded_weights
ReadLoadedWeights(const backend_server& aServer);

/** Orders an engine to load a weight version.
 * @return reason of a failure, empty when the engine took the order */
std::string
RequestWeightLoad(const backend_server& aServer,
                  const std::string& aModel,
                  std::int64_t aVersion,
                  std::int64_t aFencing);

} // namespace lavender::dispatch
