#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace lavender::edge {

/** A part of a total of held memory. It counts until it is destroyed. */
class held_bytes
{
public:
  /** Counts nowhere. */
  held_bytes() = default;
  explicit held_bytes(std::shared_ptr<std::size_t> aTotal)
    : mTotal(std::move(aTotal))
  {
  }
  held_bytes(held_bytes&& aOther) noexcept
    : mTotal(std::move(aOther.mTotal))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  held_bytes& operator=(held_bytes&&) = delete;
  ~held_bytes() { Set(0); }

  void Set(std::size_t aBytes)
  {
    if (mTotal) {
      *mTotal += aBytes;
      *mTotal -= std::exchange(mBytes, aBytes);
    }
  }
  std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<std::size_t> mTotal;
  std::size_t mBytes = 0;
};

} // namespace lavender::edge
