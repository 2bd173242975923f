#pragma once

#include "Duties/Forwarding/AttemptOutcome.h"
#include "Duties/Forwarding/Forwarder.h"
#include "Duties/Forwarding/StreamEnd.h"

#include <boost/asio/steady_timer.hpp>

namespace lavender::forwarding {

/** One caller's request, forwarded in one or more attempts. Keeps itself alive
 * until the caller has its response or has left. */
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
  forwarded_request(forwarder& aForwarder,
                    edge::exchange_ptr aExchange,
                    std::shared_ptr<const site::route> aRoute,
                    std::shared_ptr<const site::customer> aCustomer);

  void Start();
  const std::string& RouteName() const { return mRoute->mName; }
  /** Time since the first attempt was sent; 0 if none was. */
  milliseconds Age(time_point aNow) const;
  /** Tells the caller that the request may have run, unless the response has
   * begun.
   * @return whether the caller was told */
  bool EndUnlessBegun();
  /** Breaks the response off. */
  void Cut();

private:
  milliseconds TimeLeft() const;
  attempt_budget CurrentBudget() const;
  void TryNext();
  void Send(const selected_server& aSelected);
  void HandleHead(const edge::response& aHead,
                  const site::response_metadata& aMetadata);
  void HandleBody(std::string_view aPiece);
  /** Writes a part of the body to the caller. Reading stops while too much of
   * it waits to be written. */
  void WriteToCaller(std::string_view aPiece);
  void ResumeReading();
  void HandleEnd(edge::call_end aEnd);
  void Release();
  void ReportStarted();
  void ArmAttemptTimer();
  void Deliver();
  void Refuse(const char* aReason);
  void FailUnknown(const char* aReason);
  void TimeOut();
  void EndAttempt(routing::evidence aEvidence);
  void LogEnd(const char* aOutcome, unsigned aStatus, const char* aReason);

  forwarder& mForwarder;
  edge::exchange_ptr mExchange;
  const std::shared_ptr<const site::route> mRoute;
  const std::shared_ptr<const site::customer> mCustomer;
  const site::caller_metadata mCaller;
  time_point mDeadline;
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mAttemptTimer;
  edge::call_handle mCall;
  std::vector<std::string> mTriedServers;
  selected_server mSelected;
  std::optional<time_point> mFirstSentAt;
  time_point mSentAt;
  std::optional<edge::response> mResponse;
  site::response_metadata mFacts;
  stream_end mStreamEnd;
  bool mIsAttemptOpen = false;
  bool mMayHaveRun = false;
  bool mIsStartReported = false;
  bool mIsStreaming = false;
  bool mIsEnded = false;
  request_end mEnd = request_end::ByServer;
};

} // namespace lavender::forwarding
