#pragma once

#include "Tests/Support/Fleet.h"

namespace lavender::test {

constexpr int kPrompts = 6;
constexpr int kPerPrompt = 4;
constexpr std::int64_t kTokens = 20;
constexpr std::int64_t kBound = 1;

/** Two engines, two entries, one training run that is at version 2. */
struct training_site
{
  fleet mFleet;
  std::string mKey;

  training_site();
  std::uint16_t Engine(const std::string& aName);
  std::uint16_t Entry(const std::string& aName);
  /** Declares a version as accepted. */
  void Accept(std::int64_t aVersion);
  /** Version of the run's model that the engine holds; 0 for none. */
  std::int64_t HeldBy(const std::string& aEngine);
  void SetFault(const std::string& aEngine, const json::object& aFault);
  void SetPlatformFault(const json::object& aFault);
  answer Ask(const std::string& aEntry, int aStep);
  answer Acknowledge(const std::string& aEntry, int aStep);
  /** Asks until the batch is there. */
  answer WaitForBatch(const std::string& aEntry, int aStep);
  /** Holds each sample against the engines' own records of which version
   * made each token. Returns how many name more than one version. */
  int CheckTruth(const json::value& aBatch);
  std::int64_t OldestIn(const json::value& aBatch);
  std::string Metrics(const std::string& aEntry);
  /** Swap orders that the engine's log shows for a version. */
  int OrdersAt(const std::string& aEngine, std::int64_t aVersion);
};

} // namespace lavender::test
