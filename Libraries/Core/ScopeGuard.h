#pragma once

#include <utility>

namespace lavender {

/** Runs a clean-up action at the end of its scope unless dismissed. */
template<typename Action>
class scope_guard
{
public:
  explicit scope_guard(Action aAction)
    : mAction(std::move(aAction))
  {
  }
  ~scope_guard()
  {
    if (mIsArmed) {
      mAction();
    }
  }
  scope_guard(const scope_guard&) = delete;
  scope_guard& operator=(const scope_guard&) = delete;
  void Dismiss() { mIsArmed = false; }

private:
  Action mAction;
  bool mIsArmed = true;
};

} // namespace lavender
