#include "Duties/Leases/LeaseKeeper.h"

#include "Duties/Leases/Preference.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::leases {
namespace {

using namespace std::chrono_literals;

constexpr char kKind[] = "Lease";
/** Upper limit of one sleep, so that changes are noticed soon. */
constexpr milliseconds kMaximumSleep = 200ms;

} // namespace

lease_manager::lease_manager(lease_manager_options aOptions)
  : mOptions([&] {
    // A longer call would leave no time to retry before the lease expires.
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
  auto& managed = mLeases[aName];
  if (!managed) {
    managed = std::make_unique<managed_lease>();
    managed->mState.mName = aName;
    managed->mThread = std::thread([this, &lease = *managed] { Run(lease); });
  }
  managed->mIsWanted = true;
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
    found->second->mReleasesOnStop = false;
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
lease_manager::MakeCandidate(const std::string& aLease) const
{
  const auto entries =
    mOptions.mEntries ? mOptions.mEntries() : std::vector<std::string>();
  return { mOptions.mIncarnation, RankOf(aLease, mOptions.mName, entries) };
}

void
lease_manager::Run(managed_lease& aLease)
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    if (aLease.mIsWanted) {
      RunStep(aLease, lock);
    } else {
      ReleaseIfHeld(aLease, lock);
    }
    UpdateMetrics(aLease);
    const auto now = boot_clock::now();
    const auto sleep =
      aLease.mIsWanted ? std::clamp<boot_clock::duration>(
                           aLease.mState.mNextStepAt - now, 1ms, kMaximumSleep)
                       : boot_clock::duration(kMaximumSleep);
    mChanged.wait_for(lock, sleep, [this] { return mIsStopping; });
  }
  ReleaseIfHeld(aLease, lock);
}

void
lease_manager::RunStep(managed_lease& aLease,
                       std::unique_lock<std::mutex>& aLock)
{
  auto& state = aLease.mState;
  aLock.unlock();
  const auto self = MakeCandidate(state.mName);
  aLock.lock();
  const auto step = Decide(
    state, self, mOptions.mSettings, MakeRandomName(), boot_clock::now());
  if (step.mAction == lease_action::Write) {
    SendWrite(aLease, step, aLock);
  } else if (step.mAction == lease_action::Read) {
    aLock.unlock();
    const auto read = platform::Read(mOptions.mPlatform, kKind, state.mName);
    aLock.lock();
    ApplyRead(state, read, self, mOptions.mSettings, boot_clock::now());
  }
}

void
lease_manager::SendWrite(managed_lease& aLease,
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
  ApplyWrite(state,
             written,
             { mOptions.mIncarnation, 0 },
             mOptions.mSettings,
             boot_clock::now());
  const auto isHeld = HeldAt(state, boot_clock::now());
  if (isHeld && (!wasHeld || wasHeld->mFencing != isHeld->mFencing)) {
    Log(log_level::Info,
        "leases",
        "Acquired lease=" + state.mName +
          " fencing=" + std::to_string(isHeld->mFencing));
  }
}

void
lease_manager::ReleaseIfHeld(managed_lease& aLease,
                             std::unique_lock<std::mutex>& aLock)
{
  if (!aLease.mReleasesOnStop) {
    aLease.mState.mHeld.reset();
    return;
  }
  if (const auto step =
        Release(aLease.mState, MakeRandomName(), boot_clock::now())) {
    SendWrite(aLease, *step, aLock);
    Log(log_level::Info, "leases", "Released lease=" + aLease.mState.mName);
  }
}

void
lease_manager::UpdateMetrics(const managed_lease& aLease) const
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
