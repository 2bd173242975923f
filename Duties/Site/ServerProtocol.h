#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Libraries/Edge/Message.h"

#include <functional>
#include <optional>
#include <string>

namespace lavender::site {

/** What a caller's request says beside its path and body. */
struct caller_metadata
{
  /** Names this attempt of the caller; a repeat bears another id. */
  std::string mAttemptId;
  /** How long the caller waits, from the request's arrival. */
  std::optional<milliseconds> mCallerTimeout;
};

/** One sending of a request to one server. */
struct attempt
{
  /** Id of the attempt where the request bears none. */
  std::string mAttemptId;
  std::string mServerId;
  /** Empty where the site has no customers. */
  std::string mCustomer;
  milliseconds mTimeLeft{ 0 };
  /** 0 to 9, less is served first. */
  std::optional<int> mUrgency;
  /** Goes on after this event of a stream. */
  std::optional<std::int64_t> mAfterEvent;
};

struct server_load
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
};

/** What the head of a server's answer says. */
struct response_metadata
{
  std::string mAttemptId;
  std::string mServerId;
  /** The server states that it did not run the request. */
  bool mIsNotExecuted = false;
  std::optional<server_load> mLoad;
  /** Proof that the server made the answer; empty when it bears none. */
  std::string mSignature;
  /** Version of the weights behind the first event. */
  std::optional<std::int64_t> mVersion;
};

/** How callers and servers write these facts; the adapter fills it in. */
struct exchange_protocol
{
  std::function<caller_metadata(const edge::request&)> mReadCallerMetadata;
  std::function<const std::string*(const edge::request&)> mFindKey;
  /** The request as it goes to a server: without the caller's key and the
   * fields of its connection. */
  std::function<edge::request(const edge::request&, const attempt&)> mAddress;
  std::function<response_metadata(const edge::response&)> mReadResponseMetadata;
  /** The version that a line of an event names, if it names one. */
  std::function<std::optional<std::int64_t>(std::string_view)> mReadVersionLine;
};

} // namespace lavender::site
