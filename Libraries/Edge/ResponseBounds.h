#pragma once

#include <cstddef>

/** What a response may cost the process that reads it, before the parts that
 * each kind of call bounds itself. A faulty server may go on sending until its
 * connection is closed. */
namespace lavender::edge {

/** Of the head, and of every other part of a response that is useless before
 * its end: the line of a chunk with its extensions, and the trailer. */
constexpr std::size_t kMaximumHeadBytes = 16 << 10;

/** Bytes that a connection holds because no part of a response ends in them:
 * one such part, and what one read may add. */
constexpr std::size_t kMaximumUnparsedBytes = 4 * kMaximumHeadBytes;

} // namespace lavender::edge
