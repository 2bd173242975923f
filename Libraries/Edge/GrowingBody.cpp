#include "Libraries/Edge/GrowingBody.h"

#include "Libraries/Core/Memory.h"

#include <algorithm>
#include <utility>

namespace lavender::edge {

namespace {

constexpr std::size_t kFirstBlockBytes = 4096;
constexpr std::size_t kMaximumBlockBytes = 2 * kReturnedBlockBytes;

/** Memory of a block. The system gives a large one its pages only as they are
 * filled. */
std::size_t
HeldBytesOf(const std::string& aBlock)
{
  return aBlock.capacity() < kReturnedBlockBytes ? aBlock.capacity()
                                                 : aBlock.size();
}

} // namespace

std::size_t
growing_body::NextBlockSize() const
{
  if (mLength && *mLength >= kReturnedBlockBytes) {
    return *mLength - std::min(*mLength, mSize);
  }
  const auto block = std::clamp(mSize, kFirstBlockBytes, kMaximumBlockBytes);
  return mLength ? std::min(block, *mLength - std::min(*mLength, mSize))
                 : block;
}

void
growing_body::Append(std::string_view aPiece)
{
  while (!aPiece.empty()) {
    if (mBlocks.empty() || mBlocks.back().size() == mBlocks.back().capacity()) {
      mBlocks.emplace_back();
      mBlocks.back().reserve(std::max<std::size_t>(1, NextBlockSize()));
    }
    auto& block = mBlocks.back();
    const auto part = aPiece.substr(
      0, std::min(aPiece.size(), block.capacity() - block.size()));
    block.append(part);
    mSize += part.size();
    aPiece.remove_prefix(part.size());
  }
}

std::size_t
growing_body::HeldBytes() const
{
  std::size_t bytes = mBlocks.capacity() * sizeof(std::string);
  for (const auto& block : mBlocks) {
    bytes += HeldBytesOf(block);
  }
  return bytes;
}

std::string
growing_body::Take()
{
  auto blocks = std::exchange(mBlocks, {});
  const auto size = std::exchange(mSize, 0);
  if (blocks.empty()) {
    return {};
  }
  if (blocks.size() == 1) {
    return std::move(blocks.front());
  }
  std::string whole;
  whole.reserve(size);
  for (auto& block : blocks) {
    whole += block;
    std::string().swap(block);
  }
  return whole;
}

} // namespace lavender::edge
