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
  json::value content;
  content.Set("prompts", std::move(prompts));
  content.Set("samples_per_prompt", aSpec.mSamplesPerPrompt);
  content.Set("max_tokens", aSpec.mMaximumTokens);
  return HashKey(json::Write(content));
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
  json::value encoded;
  encoded.Set("id", aSample.mId);
  encoded.Set("attempt", aSample.mAttempt);
  encoded.Set("group", aSample.mGroup);
  encoded.Set("index", aSample.mIndex);
  encoded.Set("text", aSample.mText);
  encoded.Set("model", aSample.mModel);
  json::array versions;
  for (const auto& part : aSample.mVersions) {
    json::value version;
    version.Set("version", part.version);
    version.Set("tokens", part.tokens);
    versions.push_back(std::move(version));
  }
  encoded.Set("versions", std::move(versions));
  return encoded;
}

sample
ToSample(const json::value& aValue)
{
  sample parsed;
  parsed.mId = json::StringAt(aValue, "id", "");
  parsed.mAttempt = json::StringAt(aValue, "attempt", "");
  parsed.mGroup = static_cast<int>(json::IntegerAt(aValue, "group", 0));
  parsed.mIndex = static_cast<int>(json::IntegerAt(aValue, "index", 0));
  parsed.mText = json::StringAt(aValue, "text", "");
  parsed.mModel = json::StringAt(aValue, "model", "");
  if (const auto* versions = aValue.Find("versions")) {
    for (const auto& version : versions->Elements()) {
      wire::weight_part part;
      part.version = json::IntegerAt(version, "version", 0);
      part.tokens = json::IntegerAt(version, "tokens", 0);
      parsed.mVersions.push_back(part);
    }
  }
  return parsed;
}

} // namespace lavender::samples
