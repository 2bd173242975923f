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

} // namespace lavender::batches
