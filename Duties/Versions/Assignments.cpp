#include "Duties/Versions/Assignments.h"

#include "Duties/Site/Evacuation.h"
#include "Duties/Versions/ModelCapacity.h"
#include "Libraries/EventLog/EventLog.h"
#include "Libraries/Json/Value.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

/** A request is answered after this time even if nothing has changed. */
constexpr milliseconds kMaximumHold = 8s;
/** A load takes about a second, or a few seconds if runs finish first. A server
 * that needs longer no longer counts as loading, so that it doesn't delay the
 * loads of other servers. */
constexpr milliseconds kLoadTime = 3s;
constexpr milliseconds kEvaluationInterval = 500ms;
/** Changes within this time share one evaluation. Short compared with a load of
 * about a second. */
constexpr milliseconds kChangeDebounce = 15ms;
/** Assignments older than this aren't kept to, because another entry may have
 * decided since. Long compared with the evaluation interval. */
constexpr milliseconds kPlacesLifetime = 3s;
/** A controller that sent no request for this long counts as never heard of. */
constexpr milliseconds kRequestMemory = 60s;
/** Weight of the newest batch in the moving average of a model's work. */
constexpr double kNewestBatchWeight = 0.3;

json::value
EncodeVersions(const std::map<std::string, std::int64_t>& aVersions)
{
  json::value object = json::object{};
  for (const auto& [model, version] : aVersions) {
    object.Set(model, version);
  }
  return object;
}

std::map<std::string, std::int64_t>
DecodeVersions(const json::value* aObject)
{
  std::map<std::string, std::int64_t> versions;
  if (aObject) {
    for (const auto& [model, version] : aObject->Members()) {
      versions[model] = version.IntegerOr(0);
    }
  }
  return versions;
}

void
AddToAverage(std::map<std::string, double>& aAverages,
             const std::string& aModel,
             std::int64_t aNewest)
{
  const auto newest = static_cast<double>(aNewest);
  const auto [average, isFirst] = aAverages.try_emplace(aModel, newest);
  if (!isFirst) {
    average->second += kNewestBatchWeight * (newest - average->second);
  }
}

} // namespace

assignments::assignments(assignment_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
  , mBurstTimer(mDependencies.mLoop)
{
}

void
assignments::HandleVersionAnnounced(const std::string& aModel,
                                    std::int64_t aVersion)
{
  auto& newest = mAnnounced[aModel];
  if (aVersion > newest) {
    newest = aVersion;
    // Only the entry that controllers ask writes the line, not the whole fleet.
    if (!mHeldRequests.empty()) {
      events::line("version_named")
        .With("model", aModel)
        .With("version", aVersion);
    }
    Refresh();
  }
}

void
assignments::Refresh()
{
  // Changes and requests come in bursts, and each evaluation visits all
  // servers.
  if (mHeldRequests.empty() || mIsEvaluationScheduled) {
    return;
  }
  mIsEvaluationScheduled = true;
  mBurstTimer.expires_after(kChangeDebounce);
  mBurstTimer.async_wait([this](const auto& aError) {
    mIsEvaluationScheduled = false;
    if (!aError) {
      Evaluate();
    }
  });
}

std::unordered_map<std::string, std::string>
assignments::ServersByAddress() const
{
  std::unordered_map<std::string, std::string> servers;
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    servers[row.mServer.mAddress.Text()] = id;
  }
  return servers;
}

void
assignments::HandleBatchSubmitted(const submitted_work& aWork)
{
  const auto& model = aWork.mSpeeds.mModel;
  AddToAverage(mWork, model, aWork.mExpectedTokens);
  AddToAverage(mLongWork, model, aWork.mLongItemTokens);
  RecordToldSpeeds(mSpeeds, aWork.mSpeeds, mPlaced, mDependencies.mDirectory);
  UpdateModelShares();
  // A larger difference means that the trainer has fallen behind, not that it
  // allows such a lag.
  constexpr std::int64_t kMaximumLag = 3;
  const auto announced = mAnnounced.find(model);
  if (announced != mAnnounced.end()) {
    // A batch may become known here before the version that was announced with
    // it; its lag then comes out too small. Hence the last two batches count.
    auto& [before, last] = mLags[model];
    before = last;
    last = std::clamp<std::int64_t>(
      announced->second - aWork.mMinimumVersion, 0, kMaximumLag);
  }
}

void
assignments::UpdateModelShares()
{
  if (auto shifted = UpdatedModelShares(mWork, mModelShares)) {
    mModelShares = std::move(*shifted);
    LogModelShares();
  }
  if (auto shifted = UpdatedLongShares(mWork, mLongWork, mLongShares)) {
    mLongShares = std::move(*shifted);
  }
}

void
assignments::LogModelShares() const
{
  if (mHeldRequests.empty()) {
    return;
  }
  for (const auto& [model, share] : mModelShares) {
    events::line("model_share")
      .With("model", model)
      .With("percent", std::lround(100 * share));
  }
}

std::vector<server_versions>
assignments::ServersOf(const std::string& aPool) const
{
  std::vector<server_versions> servers;
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    if (row.mServer.mPool != aPool ||
        !site::AcceptsWork(mDependencies.mDirectory, row.mServer)) {
      continue;
    }
    server_versions server{ id, row.mServer.mVersions };
    server.mSlots = row.mServer.mSlots;
    if (const auto reported = mReported.find(id); reported != mReported.end()) {
      for (const auto& [model, version] : reported->second) {
        server.mVersions[model] = std::max(server.mVersions[model], version);
      }
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

std::map<std::string, target_versions>
assignments::Decide(time_point aNow)
{
  std::map<std::string, target_versions> targets;
  if (!mDependencies.mConfiguration) {
    return targets;
  }
  ForgetOldPlaces(aNow);
  std::map<std::string, double> capacities;
  for (const auto& [name, pool] : mDependencies.mConfiguration->mPools) {
    if (!pool.mEngine || pool.mEngine->mModels.empty()) {
      continue;
    }
    auto servers = ServersOf(name);
    ApplySpeeds(servers);
    const auto placed = Place(servers, pool.mEngine->mModels);
    AddCapacities(servers, placed, capacities);
    const auto due = ServersDueToLoad(servers, pool.mEngine->mModels, placed);
    const std::set<std::string> dueIds(due.begin(), due.end());
    std::size_t loading = 0;
    for (const auto& server : servers) {
      if (dueIds.count(server.mId) == 0) {
        mLoadingSince.erase(server.mId);
      } else if (const auto since = mLoadingSince.find(server.mId);
                 since != mLoadingSince.end() &&
                 aNow - since->second < kLoadTime) {
        ++loading;
      }
    }
    const auto atOnce = MaximumConcurrentLoads(servers.size());
    for (const auto& id : due) {
      const auto& model = placed.at(id);
      const bool isLoading = mLoadingSince.count(id) > 0;
      if (!isLoading && loading >= atOnce) {
        continue;
      }
      if (!isLoading) {
        mLoadingSince[id] = aNow;
        ++loading;
      }
      targets[id][model] = mAnnounced.at(model);
    }
  }
  for (const auto& [model, capacity] : capacities) {
    if (mDependencies.mMetrics) {
      mDependencies.mMetrics->SetGauge(
        "lavender_model_capacity", { { "model", model } }, capacity);
    }
  }
  return targets;
}

void
assignments::ApplySpeeds(std::vector<server_versions>& aServers)
{
  std::vector<std::string> ids;
  for (const auto& server : aServers) {
    ids.push_back(server.mId);
  }
  UpdateRelativeSpeeds(mSpeeds, ids, mPlaced);
  for (auto& server : aServers) {
    if (const auto speed = mSpeeds.mRelative.find(server.mId);
        speed != mSpeeds.mRelative.end()) {
      server.mSpeed = speed->second;
    }
    if (const auto placed = mPlaced.find(server.mId); placed != mPlaced.end()) {
      server.mAssigned = placed->second;
    }
  }
}

model_placement
assignments::Place(const std::vector<server_versions>& aServers,
                   const std::vector<std::string>& aModels)
{
  auto placed =
    AssignModels(aServers, aModels, mAnnounced, mModelShares, mLongShares);
  const bool isByCapacity = DifferInSpeed(aServers);
  const bool hasLongItems =
    std::any_of(mLongShares.begin(), mLongShares.end(), [](const auto& aShare) {
      return aShare.second > 0;
    });
  for (const auto& server : aServers) {
    const auto& model = placed.at(server.mId);
    auto& before = mPlaced[server.mId];
    if (isByCapacity && !before.empty() && before != model) {
      events::line("model_assigned")
        .With("model", model)
        .With("before", before)
        .With("server", server.mId)
        .With("speed_percent", std::lround(100 * server.mSpeed))
        .With("reason",
              server.mSpeed >= kFastSpeed && hasLongItems ? "long_items"
                                                          : "work");
    }
    before = model;
  }
  return placed;
}

void
assignments::ForgetOldPlaces(time_point aNow)
{
  if (aNow - mPlacedAt > kPlacesLifetime) {
    mPlaced.clear();
  }
  mPlacedAt = aNow;
  ForgetGoneServers(mSpeeds, mDependencies.mDirectory);
  const auto& rows = mDependencies.mDirectory.mRows;
  for (auto place = mPlaced.begin(); place != mPlaced.end();) {
    place = rows.count(place->first) ? std::next(place) : mPlaced.erase(place);
  }
  for (auto report = mReported.begin(); report != mReported.end();) {
    report =
      rows.count(report->first) ? std::next(report) : mReported.erase(report);
  }
  for (auto asked = mLastRequestAt.begin(); asked != mLastRequestAt.end();) {
    asked = aNow - asked->second < kRequestMemory ? std::next(asked)
                                                  : mLastRequestAt.erase(asked);
  }
}

void
assignments::AddCapacities(const std::vector<server_versions>& aServers,
                           const model_placement& aPlaced,
                           std::map<std::string, double>& aCapacities) const
{
  std::vector<server_capacity> servers;
  for (const auto& server : aServers) {
    servers.push_back(
      { server.mId, server.mSpeed, server.mSlots, aPlaced.at(server.mId) });
  }
  for (const auto& [model, capacity] : CapacityPerModel(servers)) {
    aCapacities[model] += capacity;
  }
}

std::vector<std::string>
assignments::ServersDueToLoad(const std::vector<server_versions>& aServers,
                              const std::vector<std::string>& aModels,
                              const model_placement& aPlaced) const
{
  std::vector<std::string> due;
  for (const auto& model : aModels) {
    const auto announced = mAnnounced.find(model);
    if (announced == mAnnounced.end()) {
      continue;
    }
    std::vector<server_versions> share;
    for (const auto& server : aServers) {
      if (aPlaced.at(server.mId) == model) {
        share.push_back(server);
      }
    }
    const auto lags = mLags.find(model);
    const auto lag = lags == mLags.end()
                       ? 0
                       : std::max(lags->second.first, lags->second.second);
    const auto ids = ServersToLoad(share, model, announced->second, lag);
    due.insert(due.end(), ids.begin(), ids.end());
  }
  return due;
}

void
assignments::Serve(const edge::exchange_ptr& aExchange)
{
  const auto address = edge::ParseAddress(
    aExchange->mRequest.mTarget.substr(sizeof kAssignmentPath - 1));
  const auto body = json::Parse(aExchange->mRequest.mBody);
  if (!body || !address) {
    aExchange->Answer({ 400, {}, {} });
    return;
  }
  held_request request;
  request.mExchange = aExchange;
  request.mAddress = address->Text();
  request.mClaimName = ClaimName(*address);
  request.mClaim.mController = json::StringAt(*body, "giver", "");
  request.mClaim.mEpoch = json::IntegerAt(*body, "epoch", 0);
  request.mHeld = DecodeVersions(body->Find("held"));
  request.mKnown = DecodeVersions(body->Find("known"));
  request.mUntil = boot_clock::now() + kMaximumHold;
  if (IsSuperseded(mDependencies.mClaims, request.mClaimName, request.mClaim)) {
    aExchange->Answer({ kNotController, {}, {} });
    return;
  }
  mLastRequestAt[request.mClaimName] = boot_clock::now();
  mHeldRequests.push_back(std::move(request));
  Refresh();
  ScheduleEvaluation();
}

void
assignments::RejectSuperseded()
{
  std::vector<held_request> kept;
  for (auto& request : std::exchange(mHeldRequests, {})) {
    if (IsSuperseded(
          mDependencies.mClaims, request.mClaimName, request.mClaim)) {
      request.mExchange->Answer({ kNotController, {}, {} });
    } else {
      kept.push_back(std::move(request));
    }
  }
  mHeldRequests = std::move(kept);
}

std::optional<time_point>
assignments::LastRequestAt(const std::string& aClaimName) const
{
  const auto asked = mLastRequestAt.find(aClaimName);
  return asked == mLastRequestAt.end() ? std::nullopt
                                       : std::optional(asked->second);
}

std::optional<time_point>
assignments::LoadingSince(const std::string& aServerId) const
{
  const auto since = mLoadingSince.find(aServerId);
  return since == mLoadingSince.end() ? std::nullopt
                                      : std::optional(since->second);
}

void
assignments::Evaluate()
{
  const auto now = boot_clock::now();
  // The servers are looked up at each evaluation, because a controller may ask
  // before its server is known here.
  const auto servers = ServersByAddress();
  for (auto& request : mHeldRequests) {
    if (!request.mExchange->IsEnded()) {
      mLastRequestAt[request.mClaimName] = now;
    }
    const auto found = servers.find(request.mAddress);
    request.mServer = found == servers.end() ? std::string() : found->second;
    if (!request.mServer.empty()) {
      mReported[request.mServer] = request.mHeld;
    }
  }
  mTargetVersions = Decide(now);
  std::vector<held_request> kept;
  for (auto& request : mHeldRequests) {
    if (request.mExchange->IsEnded()) {
      continue;
    }
    const auto targets = mTargetVersions.find(request.mServer);
    const auto versions =
      targets == mTargetVersions.end() ? target_versions{} : targets->second;
    if ((!versions.empty() && versions != request.mKnown) ||
        now >= request.mUntil) {
      Answer(request, versions);
    } else {
      kept.push_back(std::move(request));
    }
  }
  mHeldRequests = std::move(kept);
}

void
assignments::RejectWaiting()
{
  const auto requests = std::move(mHeldRequests);
  mHeldRequests.clear();
  for (const auto& request : requests) {
    request.mExchange->Answer({ 503, {}, {} });
  }
}

void
assignments::ScheduleEvaluation()
{
  mTimer.expires_after(kEvaluationInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    Evaluate();
    if (!mHeldRequests.empty()) {
      ScheduleEvaluation();
    }
  });
}

void
assignments::Answer(const held_request& aHeldRequest,
                    const target_versions& aTargetVersions)
{
  edge::response answer{ 200, {}, {} };
  answer.mBody =
    json::Write(json::object{ { "wanted", EncodeVersions(aTargetVersions) } });
  aHeldRequest.mExchange->Answer(std::move(answer));
}

edge::request
EncodeAssignmentRequest(const assignment_request& aRequest)
{
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = kAssignmentPath + aRequest.mServer.Text();
  request.mBody =
    json::Write(json::object{ { "giver", aRequest.mClaim.mController },
                              { "epoch", aRequest.mClaim.mEpoch },
                              { "held", EncodeVersions(aRequest.mHeld) },
                              { "known", EncodeVersions(aRequest.mKnown) } });
  return request;
}

std::optional<target_versions>
DecodeAssignmentResponse(const edge::response& aResponse)
{
  const auto body = json::Parse(aResponse.mBody);
  if (aResponse.mStatus != 200 || !body || !body->Find("wanted")) {
    return std::nullopt;
  }
  return DecodeVersions(body->Find("wanted"));
}

} // namespace lavender::versions
