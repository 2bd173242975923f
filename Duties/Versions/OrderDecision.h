#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/** Brings model servers to the versions of the weights that trainers name. */
namespace lavender::versions {

enum class swap_mode
{
  FinishRunsFirst,
  AbortRuns,
  /** Runs go on under the new version. */
  KeepRunning
};

/** What a server says of itself when asked. */
struct server_report
{
  std::string mServerId;
  std::map<std::string, std::int64_t> mVersions;
  /** An order is being carried out. */
  bool mIsBusy = false;
  /** Orders accepted since its start. */
  std::int64_t mAcceptedOrders = 0;
  int mRunning = 0;
  int mWaiting = 0;
};

struct weight_order
{
  std::string mServerId;
  std::string mModel;
  std::int64_t mVersion = 0;
  swap_mode mMode = swap_mode::KeepRunning;
  std::string mHolder;
  /** Grows from one life of the order's giver to the next. */
  std::int64_t mEpoch = 0;
  /** The server carries the order out only while it has accepted this many: an
   * order that was delayed on its way finds another number and does nothing. */
  std::int64_t mAcceptedOrders = 0;
};

/** Versions that a server shall hold. */
using target_versions = std::map<std::string, std::int64_t>;

/** The order to give now, if the report shows that one is due: never while
 * another is carried out, never to an older version. */
std::optional<weight_order>
DecideOrder(const server_report& aReport, const target_versions& aWanted);

} // namespace lavender::versions
