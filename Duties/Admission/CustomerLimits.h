#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"

#include <map>
#include <string>

/** Admission control. */
namespace lavender::admission {

/** One customer's usage of its limits at one entry. */
struct customer_usage
{
  std::int64_t mInFlight = 0;
  /** Tokens in the token bucket of the request rate. */
  double mRateTokens = 0;
  time_point mFilledAt;
  bool mIsNew = true;
};

struct customer_limit_state
{
  std::map<std::string, customer_usage> mCustomers;
};

/** Admission decision on one request. */
struct admission_decision
{
  bool mIsAdmitted = false;
  /** Stable reason code of a refusal. */
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
};

/** Checks a request against the customer's limits on concurrency and rate, and
 * counts it as in flight if it is admitted.
 * @param aShare share of the customer's limits that this entry may use */
admission_decision
AdmitRequest(customer_limit_state& aState,
             const configuration::customer& aCustomer,
             double aShare,
             time_point aNow);

/** Ends an admitted request. */
void
ReleaseRequest(customer_limit_state& aState, const std::string& aCustomer);

} // namespace lavender::admission
