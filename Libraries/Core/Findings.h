#pragma once

#include <string>
#include <vector>

namespace lavender {

/** One error in the input of an operator or a customer, and its location. */
struct finding
{
  /** Location of the error: flag, variable, or object and field. */
  std::string mPlace;
  std::string mProblem;
};

/** All errors in one input, collected so that they are reported together. */
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
