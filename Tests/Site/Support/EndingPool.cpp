#include "Tests/Site/Support/EndingPool.h"

#include "Libraries/Edge/RunAfter.h"

namespace lavender::tests {

namespace {

/** Time for which the record of a server that ended is still listed. */
constexpr milliseconds kRecordLifetime{ 60 };
constexpr int kSlots = 12;

} // namespace

ending_pool::ending_pool(batch_site& aSite,
                         int aServers,
                         std::function<void(model_server&)> aPrepare)
  : mSite(aSite)
  , mPrepare(std::move(aPrepare))
{
  for (int i = 0; i < aServers; ++i) {
    AddServer();
  }
}

void
ending_pool::AddServer()
{
  const auto number = mServers.size() + 1;
  mServers.push_back(std::make_unique<model_server>(
    mSite.mLoop.mLoop, "s" + std::to_string(number)));
  auto& server = *mServers.back();
  server.mSlots = kSlots;
  server.mStartedAt = static_cast<std::int64_t>(number);
  mPrepare(server);
  server.mOnEnd = [this, id = server.Id()] {
    edge::RunAfter(mSite.mLoop.mLoop, kRecordLifetime, [this, id] {
      site::ApplyRemoval(mSite.mDirectory, id, boot_clock::now());
      AddServer();
    });
  };
  mSite.Add(server);
}

int
ending_pool::EndsUnder(const std::string& aItem) const
{
  int ends = 0;
  for (const auto& server : mServers) {
    const auto& items = server->ItemsAtEnd();
    ends += std::count(items.begin(), items.end(), aItem) > 0 ? 1 : 0;
  }
  return ends;
}

int
ending_pool::RunsOf(const std::string& aItem) const
{
  int runs = 0;
  for (const auto& server : mServers) {
    const auto found = server->mRuns.find(aItem);
    runs += found == server->mRuns.end() ? 0 : found->second;
  }
  return runs;
}

int
ending_pool::Ended() const
{
  return static_cast<int>(
    std::count_if(mServers.begin(), mServers.end(), [](const auto& aServer) {
      return aServer->HasEnded();
    }));
}

void
ending_pool::EndOne()
{
  const auto busiest =
    std::max_element(mServers.begin(),
                     mServers.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       const auto runs = [](const model_server& aServer) {
                         return aServer.HasEnded() ? -1 : aServer.mOpenRuns;
                       };
                       return runs(*aLeft) < runs(*aRight);
                     });
  if (!(*busiest)->HasEnded()) {
    (*busiest)->End();
  }
}

int
ending_pool::MostEnds() const
{
  std::set<std::string> items;
  for (const auto& server : mServers) {
    items.insert(server->ItemsAtEnd().begin(), server->ItemsAtEnd().end());
  }
  int most = 0;
  for (const auto& item : items) {
    most = std::max(most, EndsUnder(item));
  }
  return most;
}

} // namespace lavender::tests
