#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

/** How many bytes a connection reads at once. A process holds a connection to
 * most other processes and nearly all of them are idle, so memory that each
 * keeps for its next message grows with the square of the fleet. */
namespace lavender::edge {

/** Read by a connection that waits for the start of a message; most messages
 * fit. */
constexpr std::size_t kIdleReadBytes = 2048;
constexpr std::size_t kMaximumReadBytes = 65536;

/** Doubles the size after a read that filled its buffer, so that a large
 * message takes few reads. */
constexpr std::size_t
NextReadSize(std::size_t aSize, std::size_t aReceived)
{
  return aReceived < aSize ? aSize : std::min(2 * aSize, kMaximumReadBytes);
}

/** Space for the next read. An empty buffer first gives back what earlier
 * messages needed beyond that. */
inline boost::beast::flat_buffer::mutable_buffers_type
PrepareRead(boost::beast::flat_buffer& aBuffer, std::size_t aSize)
{
  if (aBuffer.size() == 0 && aBuffer.capacity() > aSize) {
    aBuffer.shrink_to_fit();
  }
  return aBuffer.prepare(aSize);
}

} // namespace lavender::edge
