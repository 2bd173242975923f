#include "Duties/Leases/LeaseKeeper.h"

#include "Duties/Leases/Preference.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::leases {
namespace {

using namespace std::chrono_literals;

constexpr char kKind[] = "Lease";
/** Longest sleep between two looks at the clock. */
constexpr milliseconds kLongestSleep = 200ms;

} // namespace

lease_manager::lease_manager(lease_manager_options aOptions)
  : mOptions([&] {
    // A call that outlasts a part of the lease leaves no time for a retry.
    aOptions.mPlatform.mTimeout =
      std::min(aOptions.mPlatform.mTimeout, aOptions.mSettings.mDuration / 4);
    return std::move(aOptions);
  }())
{
}

lease_manager::~lease_manager()
{
  Stop();
}

void
lease_manager::StartAcquiring(const std::string& aName)
{
  std::lock_guard lock(mMutex);
  if (mIsStopping) {
    return;
  }
  auto& kept = mLeases[aName];
  if (!kept) {
    kept = std::make_unique<kept_lease>();
    kept->mState.mName = aName;
    kept->mThread = std::thread([this, &lease = *kept] { Run(lease); });
  }
  kept->mIsWanted = true;
  mChanged.notify_all();
}

void
lease_manager::Relinquish(const std::string& aName)
{
  std::lock_guard lock(mMutex);
  if (const auto found = mLeases.find(aName); found != mLeases.end()) {
    found->second->mIsWanted = false;
    mChanged.notify_all();
  }
}

void
lease_manager::LetExpire(const std::string& aName)
{
  std::lock_guard lock(mMutex);
  if (const auto found = mLeases.find(aName); found != mLeases.end()) {
    found->second->mMayRelease = false;
  }
}

std::optional<held_lease>
lease_manager::Held(const std::string& aName) const
{
  std::lock_guard lock(mMutex);
  const auto found = mLeases.find(aName);
  if (found == mLeases.end() || !found->second->mIsWanted) {
    return std::nullopt;
  }
  return HeldAt(found->second->mState, boot_clock::now());
}

lease_source
lease_manager::Source()
{
  return [this](const std::string& aName) {
    StartAcquiring(aName);
    return Held(aName);
  };
}

void
lease_manager::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  for (auto& [name, lease] : mLeases) {
    if (lease->mThread.joinable()) {
      lease->mThread.join();
    }
  }
}

candidate
lease_manager::Self(const std::string& aLease) const
{
  const auto entries =
    mOptions.mEntries ? mOptions.mEntries() : std::vector<std::string>();
  return { mOptions.mIncarnation, RankOf(aLease, mOptions.mName, entries) };
}

void
lease_manager::Run(kept_lease& aLease)
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    if (aLease.mIsWanted) {
      Step(aLease, lock);
    } else {
      GiveUp(aLease, lock);
    }
    ShowState(aLease);
    const auto now = boot_clock::now();
    const auto sleep = aLease.mIsWanted
                         ? std::clamp<boot_clock::duration>(
                             aLease.mState.mNextAt - now, 1ms, kLongestSleep)
                         : boot_clock::duration(kLongestSleep);
    mChanged.wait_for(lock, sleep, [this] { return mIsStopping; });
  }
  GiveUp(aLease, lock);
}

void
lease_manager::Step(kept_lease& aLease, std::unique_lock<std::mutex>& aLock)
{
  auto& state = aLease.mState;
  aLock.unlock();
  const auto self = Self(state.mName);
  aLock.lock();
  const auto step = Decide(
    state, self, mOptions.mSettings, MakeRandomName(), boot_clock::now());
  if (step.mAction == lease_action::Write) {
    WriteOut(aLease, step, aLock);
  } else if (step.mAction == lease_action::Read) {
    aLock.unlock();
    const auto read = platform::Read(mOptions.mPlatform, kKind, state.mName);
    aLock.lock();
    TakeRead(state, read, self, mOptions.mSettings, boot_clock::now());
  }
}

void
lease_manager::WriteOut(kept_lease& aLease,
                        const lease_step& aStep,
                        std::unique_lock<std::mutex>& aLock)
{
  auto& state = aLease.mState;
  const auto wasHeld = HeldAt(state, boot_clock::now());
  BeginWrite(state, aStep.mRecord, boot_clock::now());
  aLock.unlock();
  const auto written = platform::Write(mOptions.mPlatform,
                                       kKind,
                                       state.mName,
                                       aStep.mExpected,
                                       ToJson(aStep.mRecord));
  aLock.lock();
  TakeWrite(state,
            written,
            { mOptions.mIncarnation, 0 },
            mOptions.mSettings,
            boot_clock::now());
  const auto isHeld = HeldAt(state, boot_clock::now());
  if (isHeld && (!wasHeld || wasHeld->mFencing != isHeld->mFencing)) {
    Log(log_level::Info,
        "leases",
        "Holds lease=" + state.mName +
          " fencing=" + std::to_string(isHeld->mFencing));
  }
}

void
lease_manager::GiveUp(kept_lease& aLease, std::unique_lock<std::mutex>& aLock)
{
  if (!aLease.mMayRelease) {
    aLease.mState.mHeld.reset();
    return;
  }
  if (const auto step =
        Release(aLease.mState, MakeRandomName(), boot_clock::now())) {
    WriteOut(aLease, *step, aLock);
    Log(log_level::Info, "leases", "Released lease=" + aLease.mState.mName);
  }
}

void
lease_manager::ShowState(const kept_lease& aLease) const
{
  if (mOptions.mMetrics) {
    const auto held = HeldAt(aLease.mState, boot_clock::now());
    mOptions.mMetrics->SetGauge("lavender_lease_fencing",
                                { { "lease", aLease.mState.mName } },
                                held ? static_cast<double>(held->mFencing)
                                     : 0.0);
  }
}

} // namespace lavender::leases
