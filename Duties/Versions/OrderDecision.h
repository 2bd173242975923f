#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/** Makes model servers load the versions of the weights that trainers
 * announce. */
namespace lavender::versions {

/** What happens to running requests when a server replaces weights. */
enum class swap_mode
{
  FinishRunsFirst,
  AbortRuns,
  /** Runs continue with the new version. */
  KeepRunning
};

/** Status that a model server reports. */
struct server_report
{
  std::string mServerId;
  std::map<std::string, std::int64_t> mVersions;
  /** Whether the server is carrying out an order. */
  bool mIsBusy = false;
  /** Orders that the server has accepted since its start. */
  std::int64_t mAcceptedOrders = 0;
  int mRunning = 0;
  int mWaiting = 0;
};

/** Tells a server to load a version of a model's weights. */
struct weight_order
{
  std::string mServerId;
  std::string mModel;
  std::int64_t mVersion = 0;
  swap_mode mMode = swap_mode::KeepRunning;
  std::string mHolder;
  /** Epoch of the sender's claim; grows with each new claim. */
  std::int64_t mEpoch = 0;
  /** The server rejects the order if its count of accepted orders differs from
   * this number, so a delayed order has no effect. */
  std::int64_t mAcceptedOrders = 0;
};

/** Version that a server shall hold, by model. */
using target_versions = std::map<std::string, std::int64_t>;

/** Returns the next order that brings the server to the target versions.
 * Returns none while the server carries out another order, and never orders an
 * older version than the server holds. */
std::optional<weight_order>
DecideOrder(const server_report& aReport,
            const target_versions& aTargetVersions);

} // namespace lavender::versions
