#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Duties/Dispatch/EntryDispatch.h"

#include <string>
#include <vector>

/** Batches of samples for trainers. */
namespace lavender::samples {

/** What a trainer asks for. */
struct batch_request
{
  std::string mRun;
  std::int64_t mStep = 0;
  std::vector<std::string> mPrompts;
  int mSamplesPerPrompt = 1;
  std::int64_t mMaximumTokens = 64;
  std::string mCustomer;
  std::string mKeyId;
  double mWeight = 1;
  time_point mDeadline;
};

/** One finished sample. Its id follows from run, step, group and index. */
struct sample
{
  std::string mId;
  int mGroup = 0;
  int mIndex = 0;
  std::string mText;
  std::vector<wire::weight_part> mVersions;
};

struct batch_outcome
{
  bool mIsDone = false;
  /** The batch as it is kept and delivered. */
  json::value mBatch;
  std::string mReason;
};

/** Makes a step's batch, or gives the one that is already fixed. The first
 * conditional create of the step's object decides; every later request, at
 * any entry, is given that batch unchanged. */
batch_outcome
MakeBatch(const batch_request& aRequest,
          const configuration::training_run& aRun,
          dispatch::entry_dispatch& aDispatch,
          const platform::client& aPlatform);

/** Marks a delivered batch as taken by its trainer. */
batch_outcome
AcknowledgeBatch(const std::string& aRun,
                 std::int64_t aStep,
                 const platform::client& aPlatform);

} // namespace lavender::samples
