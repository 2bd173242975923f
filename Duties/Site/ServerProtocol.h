#pragma once

#include "Duties/Site/ServerFate.h"
#include "Libraries/Edge/Message.h"

#include <functional>
#include <optional>
#include <string>

namespace lavender::site {

/** Metadata in the header fields of a caller's request. */
struct caller_metadata
{
  /** Id of this attempt of the caller; each repeat has another id. */
  std::string mAttemptId;
  /** How long the caller waits for the response, from the request's arrival. */
  std::optional<milliseconds> mCallerTimeout;
};

/** One attempt to run a request at one server. */
struct attempt
{
  /** Used as the attempt's id if the request has none. */
  std::string mAttemptId;
  std::string mServerId;
  /** Empty if the site has no customers. */
  std::string mCustomer;
  milliseconds mTimeLeft{ 0 };
  /** 0 to 9; lower values are served first. */
  std::optional<int> mUrgency;
  /** Event of a stream after which the stream shall be resumed. */
  std::optional<std::int64_t> mAfterEvent;
};

struct server_load
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 0;
  /** Factor by which work takes longer than usual on the server's machine at
   * the moment; none if the server doesn't tell it. */
  std::optional<double> mSlowdown = std::nullopt;
};

/** Metadata in the header fields of a server's response. */
struct response_metadata
{
  std::string mAttemptId;
  std::string mServerId;
  /** The server states that it did not run the request. */
  bool mIsNotExecuted = false;
  /** Another server answered: the one that was asked for has ended. */
  bool mIsOtherServer = false;
  std::optional<server_load> mLoad;
  /** Proves that the server created the response; empty if there is none. */
  std::string mSignature;
  /** Version of the weights that generated the first event. */
  std::optional<std::int64_t> mVersion;
};

/** Conversion between this metadata and the messages of callers and servers;
 * implemented by the platform's adapter. */
struct exchange_protocol
{
  std::function<caller_metadata(const edge::request&)> mReadCallerMetadata;
  std::function<const std::string*(const edge::request&)> mFindKey;
  /** Returns the request as it is sent to a server, without the caller's key
   * and the header fields that concern only its connection. */
  std::function<edge::request(const edge::request&, const attempt&)> mAddress;
  std::function<response_metadata(const edge::response&)> mReadResponseMetadata;
  /** Returns the version of the weights in a line of an event, if there is
   * one. */
  std::function<std::optional<std::int64_t>(std::string_view)> mReadVersionLine;
  /** Returns the request that asks whether a server is this start. */
  std::function<edge::request(const server_start&)> mIdentityRequest;
  /** None if the response isn't a server's answer to that request. */
  std::function<std::optional<server_identity>(const edge::response&)>
    mReadIdentity;
};

} // namespace lavender::site
