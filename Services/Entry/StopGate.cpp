#include "Services/Entry/StopGate.h"

namespace lavender::entry {

namespace {

constexpr int kNotRun = 503;
constexpr int kFirstUnknown = 502;
constexpr int kLastUnknown = 504;

milliseconds
Between(time_point aStart, time_point aEnd)
{
  return std::chrono::duration_cast<milliseconds>(aEnd - aStart);
}

} // namespace

void
stop_gate::StartStopping(time_point aAnswersUntil)
{
  std::lock_guard lock(mMutex);
  mAnswersUntil = aAnswersUntil;
}

bool
stop_gate::BeginCall(const std::string& aPool,
                     time_point aNow,
                     time_point aDeadline)
{
  std::lock_guard lock(mMutex);
  auto& underWay = mUnderWay[aPool];
  if (mAnswersUntil) {
    forwarding::stop_question question;
    question.mUntilEnd = Between(aNow, *mAnswersUntil);
    question.mOwnLimit = Between(aNow, aDeadline);
    if (const auto known = mDurations.find(aPool); known != mDurations.end()) {
      question.mLongest = LongestOf(known->second);
    }
    if (!underWay.empty()) {
      question.mOldestUnderWay = Between(*underWay.begin(), aNow);
    }
    if (!forwarding::CanEndInTime(question)) {
      return false;
    }
  }
  underWay.insert(aNow);
  return true;
}

void
stop_gate::EndCall(const std::string& aPool,
                   time_point aStart,
                   time_point aNow,
                   forwarding::request_end aEnd)
{
  std::lock_guard lock(mMutex);
  auto& underWay = mUnderWay[aPool];
  if (const auto call = underWay.find(aStart); call != underWay.end()) {
    underWay.erase(call);
  }
  RecordDuration(mDurations[aPool], Between(aStart, aNow), aEnd);
}

bool
stop_gate::IsOver(time_point aNow) const
{
  std::lock_guard lock(mMutex);
  return mAnswersUntil && aNow >= *mAnswersUntil;
}

void
stop_gate::CountResponse(int aStatus)
{
  std::lock_guard lock(mMutex);
  if (!mAnswersUntil) {
    return;
  }
  if (aStatus == kNotRun) {
    ++mCounts.mRefused;
  } else if (aStatus == kFirstUnknown || aStatus == kLastUnknown) {
    ++mCounts.mGivenUp;
  } else {
    ++mCounts.mServed;
  }
}

stop_gate::counts
stop_gate::Counts() const
{
  std::lock_guard lock(mMutex);
  return mCounts;
}

} // namespace lavender::entry
