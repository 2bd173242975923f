#include "Tests/Soak/Clients.h"

namespace lavender::soak {

namespace {

constexpr milliseconds kPatience{ 2500 };
constexpr int kMostTries = 8;
/** Batches that are open at once. */
constexpr int kOpenBatches = 4;

edge::request
Request(const char* aMethod,
        const std::string& aTarget,
        const char* aHost,
        const std::string& aId)
{
  edge::request request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mHeaders.Add("Host", aHost);
  request.mHeaders.Add("Authorization", "Token key");
  if (!aId.empty()) {
    request.mHeaders.Add("X-Attempt-Id", aId);
  }
  request.mHeaders.Add("X-Deadline-Ms", std::to_string(kPatience.count()));
  return request;
}

std::string
ExpectedText(const std::string& aItem, int aEvents)
{
  std::string text;
  for (int i = 1; i <= aEvents; ++i) {
    text += (i > 1 ? "\n" : "") + aItem + "-" + std::to_string(i);
  }
  return text;
}

} // namespace

soak_clients::soak_clients(soak_site& aSite, std::uint64_t aSeed)
  : mSite(aSite)
  , mRandom(aSeed)
  , mClients(std::make_shared<edge::client_pool>(aSite.mLoop))
{
}

void
soak_clients::Find(std::string aFinding)
{
  mSite.mFindings.push_back(std::move(aFinding));
}

entry_instance&
soak_clients::AnyEntry()
{
  return *mSite.mEntries[std::uniform_int_distribution<std::size_t>(
    0, mSite.mEntries.size() - 1)(mRandom)];
}

void
soak_clients::Step(bool aMaySubmit)
{
  SendPlain(true);
  SendPlain(false);
  int open = 0;
  for (const auto& batch : mBatches) {
    open += batch->mIsEnded ? 0 : 1;
    if (batch->mIsAccepted && !batch->mIsReading) {
      Read(batch);
    }
  }
  if (aMaySubmit && open < kOpenBatches) {
    auto batch = std::make_shared<submitted_batch>();
    batch->mId = "b" + std::to_string(mNext++);
    batch->mItems = std::uniform_int_distribution<int>(1, 24)(mRandom);
    batch->mIsScored = std::uniform_int_distribution<int>(0, 1)(mRandom) == 1;
    batch->mMinimumVersion = std::max<std::int64_t>(1, mSite.mVersion - 1);
    mBatches.push_back(batch);
    Submit(batch);
  }
}

void
soak_clients::SendPlain(bool aIsSafe)
{
  const auto id = "p" + std::to_string(mNext++);
  ++mSent;
  edge::FetchWhole(
    *mClients,
    mSite.mLoop,
    { "127.0.0.1", AnyEntry().mCallers },
    Request("POST", aIsSafe ? "/safe/x" : "/once/x", "desk.example", id),
    {},
    kPatience,
    1 << 20,
    [this, id, aIsSafe](edge::call_end aEnd, const edge::response& aAnswer) {
      const bool isWhole = aEnd == edge::call_end::Complete;
      if (isWhole && aAnswer.mStatus == 200) {
        ++mServed;
        if (aAnswer.mBody != "answer to " + id ||
            aAnswer.mHeaders.ValueOr("X-Server-Seal", "") != "seal-" + id) {
          Find("request " + id + " got another answer: " + aAnswer.mBody);
        }
      }
      if (isWhole && (aAnswer.mStatus == 401 || aAnswer.mStatus == 404)) {
        Find("request " + id + " was denied with " +
             std::to_string(aAnswer.mStatus));
      }
      if (!aIsSafe) {
        mOnceAnswers[id] = isWhole ? aAnswer.mStatus : 0;
      }
    });
}

void
soak_clients::AskForNewest()
{
  for (const auto& entry : mSite.mEntries) {
    if (mServeNewest.count(entry->mName) > 0) {
      continue;
    }
    edge::FetchWhole(
      *mClients,
      mSite.mLoop,
      { "127.0.0.1", entry->mCallers },
      Request("GET",
              mSite.NewestPath(),
              "desk.example",
              "n" + std::to_string(mNext++)),
      {},
      kPatience,
      1 << 20,
      [this, name = entry->mName](edge::call_end aEnd,
                                  const edge::response& aAnswer) {
        if (aEnd == edge::call_end::Complete && aAnswer.mStatus == 200) {
          mServeNewest.insert(name);
        }
      });
  }
}

std::set<std::string>
soak_clients::LackingNewest() const
{
  std::set<std::string> lacking;
  for (const auto& entry : mSite.mEntries) {
    if (mServeNewest.count(entry->mName) == 0) {
      lacking.insert(entry->mName);
    }
  }
  return lacking;
}

void
soak_clients::Submit(const std::shared_ptr<submitted_batch>& aBatch)
{
  json::array items;
  for (int i = 0; i < aBatch->mItems; ++i) {
    const auto id = aBatch->mId + "i" + std::to_string(i);
    json::value item = json::object{ { "id", id },
                                     { "path", "/r/x" },
                                     { "headers", json::object{} },
                                     { "body", "aGVsbG8=" },
                                     { "group", "g" + std::to_string(i / 4) } };
    if (aBatch->mIsScored) {
      item.Set("scorer",
               json::object{ { "id", "r" + id },
                             { "host", "score.example" },
                             { "path", "/score/x" },
                             { "body", "aGk=" } });
    }
    items.push_back(std::move(item));
  }
  auto request =
    Request("POST", "/r/" + aBatch->mId, "train.example", aBatch->mId);
  request.mBody =
    json::Write(json::object{ { "model", "model" },
                              { "minVersion", aBatch->mMinimumVersion },
                              { "targetGroups", 1 },
                              { "items", items } });
  ++aBatch->mTries;
  edge::FetchWhole(
    *mClients,
    mSite.mLoop,
    { "127.0.0.1", AnyEntry().mCallers },
    request,
    {},
    kPatience,
    1 << 20,
    [this, aBatch](edge::call_end aEnd, const edge::response& aAnswer) {
      const bool isWhole = aEnd == edge::call_end::Complete;
      const bool isRefusal =
        (isWhole && (aAnswer.mStatus == 503 || aAnswer.mStatus == 429)) ||
        aEnd == edge::call_end::NotSent;
      aBatch->mIsRefused = aBatch->mIsRefused && isRefusal;
      if (isWhole && aAnswer.mStatus == 202) {
        aBatch->mIsAccepted = aBatch->mIsSettled = true;
      } else if (aBatch->mTries < kMostTries) {
        Submit(aBatch);
      } else {
        aBatch->mIsSettled = aBatch->mIsEnded = true;
      }
    });
}

void
soak_clients::Read(const std::shared_ptr<submitted_batch>& aBatch)
{
  // Now and then from the start, to see that nothing has moved.
  const bool again = std::uniform_int_distribution<int>(0, 3)(mRandom) == 0;
  const auto after = again ? 0 : aBatch->mResults.size();
  aBatch->mIsReading = true;
  auto request =
    Request("GET",
            "/lots/" + aBatch->mId + "?after=" + std::to_string(after),
            "train.example",
            "");
  edge::FetchWhole(
    *mClients,
    mSite.mLoop,
    { "127.0.0.1", AnyEntry().mCallers },
    request,
    {},
    kPatience,
    64 << 20,
    [this, aBatch, after](edge::call_end aEnd, const edge::response& aAnswer) {
      aBatch->mIsReading = false;
      if (aEnd == edge::call_end::Complete && aAnswer.mStatus == 404) {
        Find("accepted batch " + aBatch->mId + " is unknown to an entry");
      }
      if (aEnd == edge::call_end::Complete && aAnswer.mStatus == 200) {
        TakePage(aBatch, after, aAnswer);
      }
    });
}

void
soak_clients::TakePage(const std::shared_ptr<submitted_batch>& aBatch,
                       std::size_t aAfter,
                       const edge::response& aAnswer)
{
  const auto page = json::Parse(aAnswer.mBody);
  const auto* results = page ? page->Find("results") : nullptr;
  if (!results) {
    Find("batch " + aBatch->mId + ": a page can't be read");
    return;
  }
  if (json::IntegerAt(*page, "total", -1) != aBatch->mItems) {
    Find("batch " + aBatch->mId + ": the total is wrong");
  }
  auto position = aAfter;
  for (const auto& result : results->Elements()) {
    const auto text = json::Write(result);
    if (position < aBatch->mResults.size()) {
      if (aBatch->mResults[position] != text) {
        Find("batch " + aBatch->mId + ": position " + std::to_string(position) +
             " changed");
      }
    } else if (position == aBatch->mResults.size()) {
      aBatch->mResults.push_back(text);
      CheckResult(*aBatch, result);
    }
    ++position;
  }
  aBatch->mIsEnded =
    static_cast<int>(aBatch->mResults.size()) == aBatch->mItems;
}

void
soak_clients::CheckResult(const submitted_batch& aBatch,
                          const json::value& aResult)
{
  const auto id = json::StringAt(aResult, "id", "");
  const auto events = mSite.mAgents.front()->mServer->mEvents;
  int listed = 0;
  for (const auto& known : aBatch.mResults) {
    listed += known.find("\"" + id + "\"") != std::string::npos ? 1 : 0;
  }
  if (listed != 1 || id.compare(0, aBatch.mId.size(), aBatch.mId) != 0) {
    Find("item " + id + " stands " + std::to_string(listed) + " times in " +
         aBatch.mId);
  }
  if (json::StringAt(aResult, "state", "") == "completed" &&
      json::StringAt(aResult, "text", "") != ExpectedText(id, events)) {
    Find("item " + id + ": its text isn't whole");
  }
  if (aBatch.mIsScored) {
    CheckScore(aResult);
  }
  if (const auto* versions = aResult.Find("versions")) {
    for (const auto& version : versions->Elements()) {
      if (version.IntegerOr(0) < aBatch.mMinimumVersion) {
        Find("item " + id + " came from too old weights");
      }
    }
  }
}

void
soak_clients::CheckScore(const json::value& aResult)
{
  const auto id = json::StringAt(aResult, "id", "");
  const auto call = "r" + id;
  const auto& server = mSite.mRewards;
  if (json::StringAt(aResult, "state", "") != "completed") {
    constexpr int kAttempts = 4;
    const auto errors = server.mErrors.find(call);
    if (errors == server.mErrors.end() || errors->second < kAttempts) {
      Find("item " + id + " was given up before its reward call had failed");
    }
    return;
  }
  if (json::StringAt(aResult, "score", "") != "seal-" + call ||
      server.mScored.count(call) == 0) {
    Find("item " + id + " is listed without the score of its reward call");
  }
}

bool
soak_clients::AreBatchesWhole() const
{
  for (const auto& batch : mBatches) {
    if (!batch->mIsSettled || !batch->mIsEnded) {
      return false;
    }
  }
  return true;
}

void
soak_clients::CheckRuns()
{
  for (const auto& [id, status] : mOnceAnswers) {
    const auto runs = mSite.mPlain.mRuns.find(id);
    const int count = runs == mSite.mPlain.mRuns.end() ? 0 : runs->second;
    if (count > 1) {
      Find("request " + id + " may run once and ran " + std::to_string(count) +
           " times");
    }
    if (count > 0 && (status == 503 || status == 429)) {
      Find("request " + id + " was refused and ran");
    }
  }
  for (const auto& batch : mBatches) {
    for (const auto& agent : mSite.mAgents) {
      const bool hasRun = agent->mServer->mRuns.count(batch->mId + "i0") > 0;
      if (hasRun && batch->mIsRefused && !batch->mIsAccepted) {
        Find("batch " + batch->mId + " was refused at every try and ran");
      }
    }
  }
  for (const auto& agent : mSite.mAgents) {
    std::int64_t highest = 0;
    for (const auto& [epoch, holder] : agent->mServer->mOrders) {
      if (epoch < highest || holder != agent->mName) {
        Find(agent->mName + ": an order came with an older epoch");
      }
      highest = std::max(highest, epoch);
    }
  }
  for (const auto& [window, counts] : mSite.mReports) {
    if (counts.size() > 1) {
      Find("usage window " + std::to_string(window) +
           " was reported with different counts");
    }
  }
}

std::string
soak_clients::Summary() const
{
  int accepted = 0;
  for (const auto& batch : mBatches) {
    accepted += batch->mIsAccepted ? 1 : 0;
  }
  return std::to_string(mSent) + " requests, " + std::to_string(mServed) +
         " served, " + std::to_string(mBatches.size()) + " batches, " +
         std::to_string(accepted) + " accepted, " +
         std::to_string(mSite.mReports.size()) + " usage windows";
}

} // namespace lavender::soak
