#pragma once

#include "Tests/Support/Fleet.h"

namespace lavender::test {

constexpr int kPrompts = 6;
constexpr int kPerPrompt = 4;
constexpr std::int64_t kTokens = 20;
constexpr std::int64_t kBound = 1;

/** Two engines, two entries and one training run at version 2. */
struct training_site
{
  fleet mFleet;
  std::string mKey;

  training_site();
  std::uint16_t Engine(const std::string& aName);
  std::uint16_t Entry(const std::string& aName);
  /** Writes the version's resource, which makes it the accepted version. */
  void Accept(std::int64_t aVersion);
  /** Version of the run's model that the engine holds; 0 for none. */
  std::int64_t VersionHeldBy(const std::string& aEngine);
  void SetFault(const std::string& aEngine, const json::object& aFault);
  void SetPlatformFault(const json::object& aFault);
  answer RequestBatch(const std::string& aEntry, int aStep);
  answer Acknowledge(const std::string& aEntry, int aStep);
  /** Repeats the request until the batch is delivered. */
  answer WaitForBatch(const std::string& aEntry, int aStep);
  /** Compares each sample with the engines' own records of the version that
   * produced each token. Returns the number of samples with more than one
   * version. */
  int CheckVersions(const json::value& aBatch);
  std::int64_t OldestVersionIn(const json::value& aBatch);
  std::string Metrics(const std::string& aEntry);
  /** Number of swap orders for a version in the engine's log. */
  int CountSwapOrders(const std::string& aEngine, std::int64_t aVersion);
};

} // namespace lavender::test
