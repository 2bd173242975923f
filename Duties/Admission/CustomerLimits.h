#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"

#include <map>
#include <string>

/** Who may enter, and how much at once. */
namespace lavender::admission {

/** What one entry counts for one customer. */
struct customer_usage
{
  std::int64_t mUnderWay = 0;
  /** Tokens of the rate bucket. */
  double mBucket = 0;
  time_point mFilledAt;
  bool mIsFirst = true;
};

struct customer_limit_state
{
  std::map<std::string, customer_usage> mCustomers;
};

/** Decision on one request. */
struct admission_decision
{
  bool mIsAdmitted = false;
  /** Stable reason code of a refusal. */
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
};

/** Counts a request in, or refuses it.
 * @param aShare of the customer's limits that this entry may use */
admission_decision
AdmitRequest(customer_limit_state& aState,
             const configuration::customer& aCustomer,
             double aShare,
             time_point aNow);

/** Counts a request out. */
void
ReleaseRequest(customer_limit_state& aState, const std::string& aCustomer);

} // namespace lavender::admission
