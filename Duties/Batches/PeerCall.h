#pragma once

#include "Duties/Batches/BatchService.h"

/** How entries pass a trainer's call on to the owner of its batch. */
namespace lavender::batches {

/** The asked entry doesn't own the batch. */
constexpr unsigned kNotOwner = 421;
/** Path below which entries take these calls. */
constexpr char kPeerPath[] = "/batches/";

edge::request
EncodePeerCall(const batch_call& aCall);

std::optional<batch_call>
DecodePeerCall(const edge::request& aRequest);

/** Path below which entries take submissions that another one passes on. */
constexpr char kPeerSubmissionPath[] = "/submissions/";

/** A submission as one entry passes it to another: the body is the trainer's,
 * its key stays behind. */
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
