#pragma once

#include <cstddef>

namespace lavender {

/** Allocations of this size, in bytes, are given back to the system as soon as
 * they are freed; see ReturnLargeBlocks. */
constexpr std::size_t kReturnedBlockBytes = 128 << 10;

/** Keeps the C library from raising that size by itself, as it does after each
 * large allocation: a process would keep what a burst of large messages took.
 * Called once, at the start of a program. */
void
ReturnLargeBlocks();

/** Gives freed memory back that lies between blocks in use. It takes some
 * milliseconds for each 100 MB. */
void
ReturnFreedMemory();

} // namespace lavender
