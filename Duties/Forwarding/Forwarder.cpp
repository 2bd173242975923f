#include "Duties/Forwarding/Forwarder.h"

#include "Duties/Forwarding/ForwardedRequest.h"

#include <algorithm>

namespace lavender::forwarding {

forwarder::forwarder(forwarder_dependencies aParts)
  : mDependencies(std::move(aParts))
{
}

void
forwarder::Serve(const edge::exchange_ptr& aExchange,
                 const std::shared_ptr<const site::route>& aRoute,
                 const std::shared_ptr<const site::customer>& aCustomer)
{
  std::make_shared<forwarded_request>(*this, aExchange, aRoute, aCustomer)
    ->Start();
}

std::size_t
forwarder::EndWaiting()
{
  std::size_t ended = 0;
  for (const auto& request : UnderWay()) {
    ended += request->EndUnlessBegun() ? 1 : 0;
  }
  return ended;
}

std::size_t
forwarder::CutBegun()
{
  const auto begun = UnderWay();
  for (const auto& request : begun) {
    request->Cut();
  }
  return begun.size();
}

bool
forwarder::MaySend(const std::string& aRoute, milliseconds aOwnLimit) const
{
  if (!mAnswersUntil) {
    return true;
  }
  const auto now = boot_clock::now();
  stop_question question;
  question.mUntilEnd =
    std::chrono::duration_cast<milliseconds>(*mAnswersUntil - now);
  question.mOwnLimit = aOwnLimit;
  if (const auto known = mDurations.find(aRoute); known != mDurations.end()) {
    question.mLongest = LongestOf(known->second);
  }
  for (const auto& request : UnderWay()) {
    if (request->RouteName() == aRoute) {
      question.mOldestUnderWay =
        std::max(question.mOldestUnderWay, request->Age(now));
    }
  }
  return CanEndInTime(question);
}

std::vector<std::shared_ptr<forwarded_request>>
forwarder::UnderWay() const
{
  std::vector<std::shared_ptr<forwarded_request>> requests;
  for (const auto& [key, weak] : mUnderWay) {
    if (auto request = weak.lock()) {
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

} // namespace lavender::forwarding
