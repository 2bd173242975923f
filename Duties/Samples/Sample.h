#pragma once

#include "Libraries/Json/Value.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstdint>
#include <string>
#include <vector>

/** Generates batches of samples for trainers. */
namespace lavender::samples {

/** A trainer's request for the batch of one step. */
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

/** Name of the step's stored object and prefix of its sample ids. */
std::string
NameOf(const batch_spec& aSpec);
std::string
NameOf(const std::string& aRun, std::int64_t aStep);

/** Digest of everything that determines the samples. */
std::string
DigestOf(const batch_spec& aSpec);

/** One finished sample. Its id consists of run, step, group and index. */
struct sample
{
  std::string mId;
  /** Request id of the attempt that generated it. */
  std::string mAttempt;
  int mGroup = 0;
  int mIndex = 0;
  std::string mText;
  std::string mModel;
  std::vector<wire::weight_part> mVersions;
};

/** Oldest weight version that produced a part of the sample; 0 when no version
 * is known. */
std::int64_t
OldestVersion(const sample& aSample);

json::value
ToJson(const sample& aSample);
sample
ToSample(const json::value& aValue);

} // namespace lavender::samples
