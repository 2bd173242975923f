#pragma once

#include <string>
#include <vector>

namespace lavender {

/** One thing wrong with what a person wrote, and where it stands. */
struct finding
{
  /** Flag, variable, or object and field. */
  std::string mPlace;
  std::string mProblem;
};

/** Everything wrong with one input, so that it is reported together. */
struct findings
{
  std::vector<finding> mAll;

  bool IsEmpty() const { return mAll.empty(); }
  void Add(std::string aPlace, std::string aProblem)
  {
    mAll.push_back({ std::move(aPlace), std::move(aProblem) });
  }
};

} // namespace lavender
