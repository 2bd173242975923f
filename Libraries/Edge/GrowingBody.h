#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavender::edge {

/** A body that is received piece by piece, in blocks. A string that grows is
 * held twice while it moves, and may keep as much again unused. */
class growing_body
{
public:
  /** @param aLength size of the whole body in bytes; none if it isn't known */
  explicit growing_body(std::optional<std::size_t> aLength = std::nullopt)
    : mLength(aLength)
  {
  }

  void Append(std::string_view aPiece);
  std::size_t Size() const { return mSize; }
  /** Memory of the blocks, in bytes. */
  std::size_t HeldBytes() const;
  /** The whole body, whose blocks are given back one by one. */
  std::string Take();

private:
  std::size_t NextBlockSize() const;

  std::optional<std::size_t> mLength;
  std::size_t mSize = 0;
  std::vector<std::string> mBlocks;
};

} // namespace lavender::edge
