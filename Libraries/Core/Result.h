#pragma once

#include <optional>
#include <string>
#include <utility>

/** Result type shared by all packages. */
namespace lavender {

/** A value, or the reason why there is none. */
template<typename Value>
struct result
{
  std::optional<Value> mValue;
  /** Stable reason code or a sentence; empty when there is a value. */
  std::string mLastReason;

  explicit operator bool() const { return mValue.has_value(); }
  Value& operator*() { return *mValue; }
  const Value& operator*() const { return *mValue; }
  Value* operator->() { return &*mValue; }
  const Value* operator->() const { return &*mValue; }
};

template<typename Value>
result<std::decay_t<Value>>
Succeed(Value&& aValue)
{
  return { std::forward<Value>(aValue), {} };
}

template<typename Value>
result<Value>
Fail(std::string aReason)
{
  return { std::nullopt, std::move(aReason) };
}

} // namespace lavender
