#include "Duties/Samples/Sample.h"

#include "Libraries/Core/Identity.h"

#include <algorithm>

namespace lavender::samples {

std::string
NameOf(const std::string& aRun, std::int64_t aStep)
{
  return aRun + "." + std::to_string(aStep);
}

std::string
NameOf(const batch_spec& aSpec)
{
  return NameOf(aSpec.mRun, aSpec.mStep);
}

std::string
DigestOf(const batch_spec& aSpec)
{
  json::array prompts;
  for (const auto& prompt : aSpec.mPrompts) {
    prompts.emplace_back(prompt);
  }
  json::value all;
  all.Set("prompts", std::move(prompts));
  all.Set("samples_per_prompt", aSpec.mSamplesPerPrompt);
  all.Set("max_tokens", aSpec.mMaximumTokens);
  return HashKey(json::Write(all));
}

std::int64_t
OldestVersion(const sample& aSample)
{
  const auto oldest =
    std::min_element(aSample.mVersions.begin(),
                     aSample.mVersions.end(),
                     [](const auto& aOne, const auto& aOther) {
                       return aOne.version < aOther.version;
                     });
  return oldest == aSample.mVersions.end() ? 0 : oldest->version;
}

json::value
ToJson(const sample& aSample)
{
  json::value shown;
  shown.Set("id", aSample.mId);
  shown.Set("attempt", aSample.mAttempt);
  shown.Set("group", aSample.mGroup);
  shown.Set("index", aSample.mIndex);
  shown.Set("text", aSample.mText);
  shown.Set("model", aSample.mModel);
  json::array versions;
  for (const auto& part : aSample.mVersions) {
    json::value version;
    version.Set("version", part.version);
    version.Set("tokens", part.tokens);
    versions.push_back(std::move(version));
  }
  shown.Set("versions", std::move(versions));
  return shown;
}

sample
ToSample(const json::value& aValue)
{
  sample read;
  read.mId = json::StringAt(aValue, "id", "");
  read.mAttempt = json::StringAt(aValue, "attempt", "");
  read.mGroup = static_cast<int>(json::IntegerAt(aValue, "group", 0));
  read.mIndex = static_cast<int>(json::IntegerAt(aValue, "index", 0));
  read.mText = json::StringAt(aValue, "text", "");
  read.mModel = json::StringAt(aValue, "model", "");
  if (const auto* versions = aValue.Find("versions")) {
    for (const auto& version : versions->Elements()) {
      wire::weight_part part;
      part.version = json::IntegerAt(version, "version", 0);
      part.tokens = json::IntegerAt(version, "tokens", 0);
      read.mVersions.push_back(part);
    }
  }
  return read;
}

} // namespace lavender::samples
