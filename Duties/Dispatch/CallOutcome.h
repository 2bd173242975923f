#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <string>

namespace lavender::dispatch {

/** Whether a request ran; sent to the caller with every refusal. */
enum class ran
{
  NotRun,
  OutcomeUnknown,
  Ran
};

/** Stable name used in JSON bodies. */
inline const char*
ToString(ran aRan)
{
  switch (aRan) {
    case ran::NotRun:
      return "not_run";
    case ran::OutcomeUnknown:
      return "outcome_unknown";
    case ran::Ran:
      return "ran";
  }
  return "outcome_unknown";
}

/** Which request made the run that a result comes from. */
enum class answer_source
{
  OwnRun,
  /** Another request with the same Idempotency-Key made the run and is billed
   * for it. */
  SharedRun
};

/** Outcome of one request as known to the entry. */
struct call_outcome
{
  ran mRan = ran::NotRun;
  /** Stable reason code; empty with a result. */
  std::string mReason;
  /** Time until a retry makes sense; zero if it doesn't. */
  milliseconds mRetryAfter{ 0 };
  /** The complete result; valid if mRan is Ran. */
  wire::run_result mResult;
  std::string mServerName;
  std::string mServerIncarnation;
  answer_source mSource = answer_source::OwnRun;
};

} // namespace lavender::dispatch
