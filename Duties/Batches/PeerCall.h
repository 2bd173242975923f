#pragma once

#include "Duties/Batches/BatchService.h"

/** Encodes the requests by which one entry forwards a trainer's call to the
 * owner of the batch. */
namespace lavender::batches {

/** Status of a response from an entry that doesn't own the batch. */
constexpr unsigned kNotOwner = 421;
/** Path prefix of forwarded calls. */
constexpr char kPeerPath[] = "/batches/";

edge::request
EncodePeerCall(const batch_call& aCall);

std::optional<batch_call>
DecodePeerCall(const edge::request& aRequest);

/** Path prefix of forwarded submissions. */
constexpr char kPeerSubmissionPath[] = "/submissions/";

/** A forwarded submission. The body is the trainer's; the trainer's API key
 * isn't forwarded. */
struct peer_submission
{
  std::string mBatchId;
  submission_origin mOrigin;
  std::string mBody;
};

edge::request
EncodePeerSubmission(const peer_submission& aSubmission);

std::optional<peer_submission>
DecodePeerSubmission(const edge::request& aRequest);

} // namespace lavender::batches
