#pragma once

#include "Libraries/Json/Value.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstdint>
#include <string>
#include <vector>

/** Batches of samples for trainers. */
namespace lavender::samples {

/** What a trainer asks for: one step's batch. */
struct batch_spec
{
  std::string mRun;
  std::int64_t mStep = 0;
  std::vector<std::string> mPrompts;
  int mSamplesPerPrompt = 1;
  std::int64_t mMaximumTokens = 64;

  std::size_t SampleCount() const
  {
    return mPrompts.size() * static_cast<std::size_t>(mSamplesPerPrompt);
  }
};

/** Name of the step's object, and prefix of its samples' ids. */
std::string
NameOf(const batch_spec& aSpec);
std::string
NameOf(const std::string& aRun, std::int64_t aStep);

/** Digest of all that decides what the samples are. */
std::string
DigestOf(const batch_spec& aSpec);

/** One finished sample. Its id follows from run, step, group and index. */
struct sample
{
  std::string mId;
  /** Request id of the run that made it. */
  std::string mAttempt;
  int mGroup = 0;
  int mIndex = 0;
  std::string mText;
  std::string mModel;
  std::vector<wire::weight_part> mVersions;
};

/** Oldest version that produced a part of it; 0 when none is named. */
std::int64_t
OldestVersion(const sample& aSample);

json::value
ToJson(const sample& aSample);
sample
ToSample(const json::value& aValue);

} // namespace lavender::samples
