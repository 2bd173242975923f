#pragma once

#include "Libraries/Core/Clock.h"

#include <array>
#include <optional>

/** Decides whether a request that comes while the process is told to stop can
 * still end in time. Free functions over plain structs, no I/O.
 *
 * A request that can't is refused before a server has it, so that its caller
 * can go elsewhere: once a server has it, the caller of a request that may not
 * be repeated has lost it when the process ends. */
namespace lavender::forwarding {

/** How many of a route's latest requests are remembered. */
constexpr std::size_t kRememberedRequests = 32;

/** How a request came to its end. */
enum class request_end
{
  /** By its server. */
  ByServer,
  /** By its deadline or its caller: the server would have taken longer. */
  BrokenOff
};

/** How long the latest requests of one route took, those that failed included.
 */
struct recent_durations
{
  struct duration
  {
    milliseconds mTime{ 0 };
    request_end mEnd = request_end::ByServer;
  };
  std::array<duration, kRememberedRequests> mLatest{};
  std::size_t mRecorded = 0;
};

void
RecordDuration(recent_durations& aDurations,
               milliseconds aDuration,
               request_end aEnd);

/** The longest of the remembered durations; none if there are none, or if a
 * request was broken off after a longer time: how long its server would have
 * taken isn't known. */
std::optional<milliseconds>
LongestOf(const recent_durations& aDurations);

/** What is known about a request when it comes. */
struct stop_question
{
  /** Time until the process sends no more answers. */
  milliseconds mUntilEnd{ 0 };
  /** Time after which the request ends whatever its server does: by its own
   * deadline or by its route's timeout. */
  milliseconds mOwnLimit{ 0 };
  /** Longest of the route's recent requests; none if nothing is known. */
  std::optional<milliseconds> mLongest = std::nullopt;
  /** Age of the oldest request of the route that is at a server now: a server
   * that has become slow shows in it first. */
  milliseconds mOldestUnderWay{ 0 };
};

/** Whether the request will have ended by the end of the process. What isn't
 * known of the servers' times is judged by the request's own limit. */
bool
CanEndInTime(const stop_question& aQuestion);

} // namespace lavender::forwarding
