#include "Duties/Versions/Assignments.h"

#include "Libraries/EventLog/EventLog.h"
#include "Libraries/Json/Value.h"

#include <algorithm>
#include <cmath>

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

/** An agent's question is answered after this even if nothing has changed. */
constexpr milliseconds kLongestWait = 8s;
/** A load takes about a second, up to a few when runs go first; a server that
 * needs longer doesn't hold up the others. */
constexpr milliseconds kLoadTime = 3s;
constexpr milliseconds kLookEach = 500ms;
/** Short against a load of about a second. */
constexpr milliseconds kGatherChanges = 15ms;
/** Of the newest batch in a model's work. */
constexpr double kNewestWeight = 0.3;

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
  auto& newest = mNamed[aModel];
  if (aVersion > newest) {
    newest = aVersion;
    // Told by the entry that decides what follows.
    if (!mWaiters.empty()) {
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
  // Changes and questions come in bursts, and each look goes over all servers.
  if (mWaiters.empty() || mIsLookPlanned) {
    return;
  }
  mIsLookPlanned = true;
  mBurstTimer.expires_after(kGatherChanges);
  mBurstTimer.async_wait([this](const auto& aError) {
    mIsLookPlanned = false;
    if (!aError) {
      Look();
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
assignments::HandleBatchSubmitted(const std::string& aModel,
                                  std::int64_t aMinimumVersion,
                                  std::int64_t aExpectedTokens)
{
  auto& work = mWork[aModel];
  work = work == 0 ? static_cast<double>(aExpectedTokens)
                   : work + kNewestWeight *
                              (static_cast<double>(aExpectedTokens) - work);
  UpdateWeights();
  // More than a few versions would be a trainer that has fallen behind, not
  // one that allows it.
  constexpr std::int64_t kLargestLag = 3;
  const auto named = mNamed.find(aModel);
  if (named != mNamed.end()) {
    // The batch may be heard of before the version that it was asked for with;
    // then the difference comes out too small, so the last two count.
    auto& [before, last] = mLags[aModel];
    before = last;
    last =
      std::clamp<std::int64_t>(named->second - aMinimumVersion, 0, kLargestLag);
  }
}

void
assignments::UpdateWeights()
{
  if (auto shifted = UpdatedModelShares(mWork, mWeights)) {
    mWeights = std::move(*shifted);
    LogWeights();
  }
}

void
assignments::LogWeights() const
{
  if (mWaiters.empty()) {
    return;
  }
  for (const auto& [model, weight] : mWeights) {
    events::line("model_share")
      .With("model", model)
      .With("percent", std::lround(100 * weight));
  }
}

std::vector<server_versions>
assignments::ServersOf(const std::string& aPool) const
{
  std::vector<server_versions> servers;
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    if (row.mServer.mPool != aPool || row.mServer.mIsLeaving) {
      continue;
    }
    server_versions server{ id, row.mServer.mVersions };
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
  std::map<std::string, target_versions> wanted;
  if (!mDependencies.mConfiguration) {
    return wanted;
  }
  for (const auto& [name, pool] : mDependencies.mConfiguration->mPools) {
    if (!pool.mEngine || pool.mEngine->mModels.empty()) {
      continue;
    }
    const auto servers = ServersOf(name);
    const auto placed =
      AssignModels(servers, pool.mEngine->mModels, mNamed, mWeights);
    const auto due = DueOf(servers, pool.mEngine->mModels);
    std::size_t loading = 0;
    for (const auto& server : servers) {
      const bool isDue =
        std::find(due.begin(), due.end(), server.mId) != due.end();
      if (!isDue) {
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
      wanted[id][model] = mNamed.at(model);
    }
  }
  return wanted;
}

std::vector<std::string>
assignments::DueOf(const std::vector<server_versions>& aServers,
                   const std::vector<std::string>& aModels) const
{
  const auto placed = AssignModels(aServers, aModels, mNamed, mWeights);
  std::vector<std::string> due;
  for (const auto& model : aModels) {
    const auto named = mNamed.find(model);
    if (named == mNamed.end()) {
      continue;
    }
    std::vector<server_versions> share;
    for (const auto& server : aServers) {
      if (placed.at(server.mId) == model) {
        share.push_back(server);
      }
    }
    const auto lags = mLags.find(model);
    const auto lag = lags == mLags.end()
                       ? 0
                       : std::max(lags->second.first, lags->second.second);
    const auto ids = ServersToLoad(share, model, named->second, lag);
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
  waiter asked;
  asked.mExchange = aExchange;
  asked.mAddress = address->Text();
  asked.mClaimName = ClaimName(*address);
  asked.mClaim.mController = json::StringAt(*body, "giver", "");
  asked.mClaim.mEpoch = json::IntegerAt(*body, "epoch", 0);
  asked.mHeld = DecodeVersions(body->Find("held"));
  asked.mKnown = DecodeVersions(body->Find("known"));
  asked.mUntil = boot_clock::now() + kLongestWait;
  if (IsSuperseded(mDependencies.mClaims, asked.mClaimName, asked.mClaim)) {
    aExchange->Answer({ kNotController, {}, {} });
    return;
  }
  mLastAsked[asked.mClaimName] = boot_clock::now();
  mWaiters.push_back(std::move(asked));
  Refresh();
  PlanLook();
}

void
assignments::RejectSuperseded()
{
  std::vector<waiter> kept;
  for (auto& waiting : std::exchange(mWaiters, {})) {
    if (IsSuperseded(
          mDependencies.mClaims, waiting.mClaimName, waiting.mClaim)) {
      waiting.mExchange->Answer({ kNotController, {}, {} });
    } else {
      kept.push_back(std::move(waiting));
    }
  }
  mWaiters = std::move(kept);
}

std::optional<time_point>
assignments::LastAsked(const std::string& aClaimName) const
{
  for (const auto& waiting : mWaiters) {
    if (waiting.mClaimName == aClaimName && !waiting.mExchange->IsEnded()) {
      return boot_clock::now();
    }
  }
  const auto asked = mLastAsked.find(aClaimName);
  return asked == mLastAsked.end() ? std::nullopt
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
assignments::Look()
{
  const auto now = boot_clock::now();
  // Looked up each time: an agent may ask before its server's entry, or any,
  // is known here.
  const auto servers = ServersByAddress();
  for (auto& waiting : mWaiters) {
    const auto found = servers.find(waiting.mAddress);
    waiting.mServer = found == servers.end() ? std::string() : found->second;
    if (!waiting.mServer.empty()) {
      mReported[waiting.mServer] = waiting.mHeld;
    }
  }
  mWanted = Decide(now);
  std::vector<waiter> kept;
  for (auto& waiting : mWaiters) {
    if (waiting.mExchange->IsEnded()) {
      continue;
    }
    const auto wanted = mWanted.find(waiting.mServer);
    const auto versions =
      wanted == mWanted.end() ? target_versions{} : wanted->second;
    if ((!versions.empty() && versions != waiting.mKnown) ||
        now >= waiting.mUntil) {
      Answer(waiting, versions);
    } else {
      kept.push_back(std::move(waiting));
    }
  }
  mWaiters = std::move(kept);
}

void
assignments::RejectWaiting()
{
  const auto waiters = std::move(mWaiters);
  mWaiters.clear();
  for (const auto& waiting : waiters) {
    waiting.mExchange->Answer({ 503, {}, {} });
  }
}

void
assignments::PlanLook()
{
  mTimer.expires_after(kLookEach);
  mTimer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    Look();
    if (!mWaiters.empty()) {
      PlanLook();
    }
  });
}

void
assignments::Answer(const waiter& aWaiter, const target_versions& aWanted)
{
  edge::response answer{ 200, {}, {} };
  answer.mBody =
    json::Write(json::object{ { "wanted", EncodeVersions(aWanted) } });
  aWaiter.mExchange->Answer(std::move(answer));
}

edge::request
EncodeAssignmentRequest(const assignment_request& aQuestion)
{
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = kAssignmentPath + aQuestion.mServer.Text();
  request.mBody =
    json::Write(json::object{ { "giver", aQuestion.mClaim.mController },
                              { "epoch", aQuestion.mClaim.mEpoch },
                              { "held", EncodeVersions(aQuestion.mHeld) },
                              { "known", EncodeVersions(aQuestion.mKnown) } });
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
