#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <string>

namespace lavender::dispatch {

/** Whether a request ran; told to the caller with every refusal. */
enum class ran
{
  NotRun,
  OutcomeUnknown,
  Ran
};

/** Stable word for JSON bodies. */
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

/** Whose run an answer comes from. */
enum class answer_source
{
  OwnRun,
  /** Another request with the same Idempotency-Key made the run, and it is
   * billed there. */
  SharedRun
};

/** The end of one request as the entry knows it. */
struct call_outcome
{
  ran mRan = ran::NotRun;
  /** Stable reason code; empty with an answer. */
  std::string mReason;
  /** When coming back makes sense; zero when it doesn't. */
  milliseconds mRetryAfter{ 0 };
  /** The whole answer, when mRan is Ran. */
  wire::run_result mResult;
  std::string mServerName;
  std::string mServerIncarnation;
  answer_source mSource = answer_source::OwnRun;
};

} // namespace lavender::dispatch
