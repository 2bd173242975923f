#include "Tests/Soak/Site.h"

#include "Duties/Batches/Records.h"
#include "Tests/Site/Support/OddNames.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace lavender::soak {

using boost::asio::ip::tcp;

namespace {

/** Time until a model server that ended is back. */
constexpr milliseconds kRestartTime{ 400 };

/** Returns a free port outside the system's ephemeral range: a port of that
 * range could be given to another program before the entry that is to listen on
 * it has started. Each soak process starts its search at another port. */
unsigned short
FreePort(boost::asio::io_context& aLoop)
{
  constexpr int kFirst = 10000;
  constexpr int kLast = 32000;
  constexpr int kEachProcess = 40;
  static int next =
    kFirst + (static_cast<int>(getpid()) * kEachProcess) % (kLast - kFirst);
  for (;;) {
    next = next >= kLast ? kFirst : next + 1;
    tcp::acceptor probe(aLoop);
    const tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                static_cast<unsigned short>(next));
    boost::system::error_code error;
    probe.open(tcp::v4(), error);
    probe.bind(address, error);
    if (!error) {
      return address.port();
    }
  }
}

std::string
Local(unsigned short aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string
Program(const char* aName)
{
  return std::string(LAVENDER_BUILD) + "/Services/" + aName;
}

/** Model servers of a site differ in speed. */
milliseconds
EventPauseOf(int aServer)
{
  return milliseconds(aServer % 2 == 0 ? 25 : 12);
}

std::string
OddName(std::size_t aIndex)
{
  static const auto names = tests::OddNames();
  return names.at(aIndex);
}

/** What stands for an odd spec until the store's listener sends it. */
std::string
PlaceholderOf(std::size_t aIndex)
{
  return "odd spec " + std::to_string(aIndex);
}

/** Specs that another writer leaves, under odd names, among the servers and the
 * versions. Each bears the fields of a server, so that only what is odd keeps
 * it from use. */
std::vector<std::string>
OddSpecs()
{
  constexpr std::size_t kDeep = 100'000;
  const auto odd = [](const std::string& aAddress,
                      const std::string& aSlots,
                      const std::string& aMore = "") {
    return R"({"service":"models","zone":"zone","state":"ready","address":")" +
           aAddress + R"(","slots":)" + aSlots + aMore + "}";
  };
  const std::string address = "127.0.0.1:9";
  const auto nested = std::string(kDeep, '[') + std::string(kDeep, ']');
  return { nested,
           odd(address, "8", ",\"x\":" + nested),
           odd(address, "1e999"),
           odd(address, "99999999999999999999"),
           odd(address, "4294967304"),
           odd(address, "2147483648"),
           odd(address, "\"8\""),
           odd(address, "8", R"(,"coldRemainingMs":9223372036854775807)"),
           odd(address, "8", ",\"x\":\"\xff\xfe\""),
           odd("127.0.0.1:0", "8"),
           odd("127.0.0.1:70000", "8"),
           odd("127.0.0.1:-1", "8"),
           odd("127.0.0.1:99999999999999999999", "8"),
           odd("::::", "8") };
}

} // namespace

int
EventsOf(const std::string& aItem)
{
  constexpr int kEvents = 6;
  constexpr int kLongTimes = 5;
  constexpr std::size_t kLongInterval = 12;
  const bool isLong = std::hash<std::string>()(aItem) % kLongInterval == 0;
  return isLong ? kLongTimes * kEvents : kEvents;
}

std::string
TrainerName(int aTrainer)
{
  return "trainer-" + std::to_string(aTrainer);
}

plain_server::plain_server(boost::asio::io_context& aLoop)
  : mLoop(aLoop)
  , mListener(aLoop,
              std::make_shared<edge::listener_limits>(),
              [this](const auto& aExchange) { Serve(aExchange); })
{
  mListener.Open({ "127.0.0.1", 0 });
}

void
plain_server::Serve(const edge::exchange_ptr& aExchange)
{
  const auto id = aExchange->mRequest.mHeaders.ValueOr("X-Attempt-Id", "");
  ++mRuns[id];
  if (std::uniform_real_distribution<>(0, 1)(mRandom) < mLostResponseShare) {
    aExchange->Abort();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(mLoop);
  timer->expires_after(milliseconds(5));
  timer->async_wait([this, aExchange, id, timer](const auto& aError) {
    if (!aError) {
      edge::response answer{ 200, {}, "answer to " + id };
      answer.mBody.resize(std::max(answer.mBody.size(), mAnswerBytes), '.');
      answer.mHeaders.Add("X-Attempt-Id", id);
      answer.mHeaders.Add("X-Server-Seal", "seal-" + id);
      aExchange->Answer(std::move(answer));
    }
  });
}

soak_site::soak_site(boost::asio::io_context& aLoop, site_options aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mStore(aLoop, mState)
  , mPlain(aLoop)
  , mRewards(aLoop)
  , mReportListener(aLoop,
                    std::make_shared<edge::listener_limits>(),
                    [this](const auto& aExchange) { ServeReports(aExchange); })
{
  const auto storePort = mStore.Open();
  mReportListener.Open({ "127.0.0.1", 0 });
  for (int i = 0; i < mOptions.mEntries; ++i) {
    auto entry = std::make_unique<entry_instance>();
    entry->mName = "entry-" + std::to_string(i);
    entry->mCallers = FreePort(aLoop);
    entry->mReadiness = FreePort(aLoop);
    entry->mPeers = FreePort(aLoop);
    entry->mMetrics = FreePort(aLoop);
    entry->mStoreLink = std::make_unique<fault_proxy>(aLoop, storePort);
    mEntries.push_back(std::move(entry));
  }
  for (int i = 0; i < mOptions.mAgents; ++i) {
    auto agent = std::make_unique<agent_instance>();
    agent->mName = "agent-" + std::to_string(i);
    agent->mServer = std::make_unique<tests::model_server>(
      aLoop, "server-" + std::to_string(i));
    agent->mServer->mEventsOf = mOptions.mEventsOf;
    agent->mServer->mEventPause =
      mOptions.mEventPause.value_or(EventPauseOf(i));
    agent->mServer->mSlots = mOptions.mSlots;
    agent->mServer->mKeepsToSlots = mOptions.mKeepsToSlots;
    agent->mServer->mToldSlowdown = kUsualSpeed;
    agent->mServer->mStartedAt = 1;
    agent->mServer->mRestartsAfter = kRestartTime;
    agent->mServer->mEndsUnder = [this](const std::string& aItem) {
      if (mMarksNext) {
        mMarksNext = false;
        mMarkedItems.insert(aItem);
      }
      return mMarkedItems.count(aItem) > 0;
    };
    agent->mServerLink =
      std::make_unique<fault_proxy>(aLoop, agent->mServer->Port());
    if (mOptions.mFreesPorts) {
      auto& link = *agent->mServerLink;
      agent->mServer->mOnEnd = [&link] { link.SetFault(link_fault::Refuse); };
      agent->mServer->mOnStartAgain = [&link] {
        link.SetFault(link_fault::None);
      };
    }
    mAgents.push_back(std::move(agent));
  }
  mOddSpecs = OddSpecs();
  for (std::size_t i = 0; i < mOddSpecs.size(); ++i) {
    mState.mRawSpecs[PlaceholderOf(i)] = mOddSpecs[i];
    mState.mPageEnds.insert(OddName(i));
  }
  WriteConfiguration();
  WriteServers();
}

void
soak_site::WriteOddObject(std::size_t aIndex)
{
  for (const auto* kind : { "servers", "versions" }) {
    standin::PutDirectly(
      mState, kind, OddName(aIndex), json::Write(PlaceholderOf(aIndex)));
  }
}

void
soak_site::RemoveOddObjects()
{
  for (std::size_t i = 0; i < mOddSpecs.size(); ++i) {
    for (const auto* kind : { "servers", "versions" }) {
      standin::RemoveDirectly(mState, kind, OddName(i));
    }
  }
}

void
soak_site::NoteOwners()
{
  for (const auto& [id, object] : mState.mKinds[batches::kBatchMetadataKind]) {
    const auto metadata = batches::DecodeMetadata(object);
    if (!metadata) {
      continue;
    }
    auto& owner = mOwners[id];
    mLostOwners[id] += !owner.empty() && owner != metadata->mOwner ? 1 : 0;
    owner = metadata->mOwner;
  }
}

std::string
soak_site::OwnerOf(const std::string& aBatchId) const
{
  const auto batches = mState.mKinds.find(batches::kBatchMetadataKind);
  if (batches == mState.mKinds.end()) {
    return {};
  }
  const auto batch = batches->second.find(aBatchId);
  if (batch == batches->second.end()) {
    return {};
  }
  const auto metadata = batches::DecodeMetadata(batch->second);
  return metadata ? metadata->mOwner : std::string();
}

void
soak_site::NoteLostEntry(const std::string& aName)
{
  for (const auto& [id, owner] : mOwners) {
    mLostOwners[id] += owner == aName ? 1 : 0;
  }
}

std::map<std::size_t, batches::run_ledger>
soak_site::StoredLedgers(const std::string& aBatchId) const
{
  std::map<std::size_t, batches::run_ledger> ledgers;
  const auto blocks = mState.mKinds.find(batches::kBatchResultsKind);
  if (blocks == mState.mKinds.end()) {
    return ledgers;
  }
  const auto prefix = aBatchId + ".";
  for (auto block = blocks->second.lower_bound(prefix);
       block != blocks->second.end() &&
       block->first.compare(0, prefix.size(), prefix) == 0;
       ++block) {
    if (const auto decoded = batches::DecodeBlock(block->second)) {
      for (const auto& run : decoded->mRuns) {
        ApplyStored(ledgers[run.mItem], run);
      }
    }
  }
  return ledgers;
}

bool
soak_site::HasEnded(const site::server_start& aServer) const
{
  const auto* server = FindServer(aServer.mId);
  return server &&
         (server->HasEnded() || server->mStartedAt > aServer.mStartedAt);
}

const tests::model_server*
soak_site::FindServer(const std::string& aId) const
{
  for (const auto& agent : mAgents) {
    if (agent->mServer->Id() == aId) {
      return agent->mServer.get();
    }
  }
  return nullptr;
}

int
soak_site::EndsUnder(const std::string& aItem) const
{
  int ends = 0;
  for (const auto& agent : mAgents) {
    const auto& items = agent->mServer->ItemsAtEnd();
    ends += static_cast<int>(std::count(items.begin(), items.end(), aItem));
  }
  return ends;
}

std::string
soak_site::NewestPath() const
{
  return "/version-" + std::to_string(mConfigurationVersion) + "/";
}

void
soak_site::WriteConfiguration()
{
  std::string customers = R"({"name":"customer","apiKeys":["key"]})";
  for (int i = 0; i < kMaximumTrainers; ++i) {
    const auto name = TrainerName(i);
    customers += R"(,{"name":")" + name + R"(","apiKeys":[")" + name + "\"]}";
  }
  const std::string spec =
    R"({"version":)" + std::to_string(mConfigurationVersion) + R"(,
    "routes":[
      {"name":"batch","host":"train.example","pathPrefix":"/r/",
       "kind":"rollout","service":"models","maxAttempts":3,"maxQueueS":600,
       "dueMs":8000,"resumable":true},
      {"name":"safe","host":"desk.example","pathPrefix":"/safe/",
       "kind":"safe","service":"desk","maxAttempts":2,"timeoutMs":3000},
      {"name":"once","host":"desk.example","pathPrefix":"/once/",
       "kind":"non_idempotent","service":"desk","maxAttempts":2,
       "timeoutMs":3000},
      {"name":"newest","host":"desk.example","pathPrefix":")" +
    NewestPath() + R"(","kind":"safe","service":"desk","maxAttempts":2,
       "timeoutMs":3000},
      {"name":"reward","host":"score.example","pathPrefix":"/score/",
       "kind":"safe","service":"judges","maxAttempts":4,"timeoutMs":3000,
       "targetLatencyMs":300,"authExempt":true}],
    "services":[
      {"name":"models","engine":{"slots":)" +
    std::to_string(mOptions.mSlots) +
    R"(,"stride":1,"models":[{"name":"model"}]}},
      {"name":"desk"},
      {"name":"judges"}],
    "tenants":[)" +
    customers + "]}";
  standin::PutDirectly(mState, "config", "main", spec);
}

void
soak_site::WriteModelServer(const agent_instance& aAgent)
{
  constexpr int kLifetime = 3;
  const auto& server = *aAgent.mServer;
  auto& last = mHeartbeats[server.Id()];
  std::string sequence;
  if (mOptions.mHeartbeat) {
    const auto now = boot_clock::now();
    const auto since = now - last.mAt;
    if (server.HasEnded() || server.IsSilent()) {
      if (since > kLifetime * *mOptions.mHeartbeat) {
        standin::RemoveDirectly(mState, "servers", server.Id());
      }
      return;
    }
    if (last.mStartedAt == server.mStartedAt && since < *mOptions.mHeartbeat) {
      return;
    }
    last = { last.mSequence + 1, server.mStartedAt, now };
    sequence = R"("seq":)" + std::to_string(last.mSequence) + ",";
  }
  standin::PutDirectly(
    mState,
    "servers",
    server.Id(),
    "{" + sequence + R"("service":"models","address":")" +
      Local(aAgent.mServerLink->Port()) + R"(","zone":"zone","slots":)" +
      std::to_string(server.mSlots) + R"(,"state":"ready","born":)" +
      std::to_string(server.mStartedAt) +
      R"(,"models":[{"name":"model","version":)" +
      std::to_string(server.mVersion) + "}]}");
}

void
soak_site::WriteServers()
{
  for (const auto& agent : mAgents) {
    WriteModelServer(*agent);
  }
  const auto putPlain = [this](const std::string& aId,
                               const std::string& aService,
                               unsigned short aPort) {
    standin::PutDirectly(mState,
                         "servers",
                         aId,
                         R"({"service":")" + aService + R"(","address":")" +
                           Local(aPort) +
                           R"(","zone":"zone","slots":8,"state":"ready"})");
  };
  // The plain servers' records don't change.
  if (mOptions.mHeartbeat && mState.mKinds["servers"].count("judge-1") > 0) {
    return;
  }
  putPlain("desk-1", "desk", mPlain.Port());
  putPlain("judge-1", "judges", mRewards.Port());
}

void
soak_site::ServeReports(const edge::exchange_ptr& aExchange)
{
  const auto body = json::Parse(aExchange->mRequest.mBody);
  if (body && body->Find("counts")) {
    mReports[json::IntegerAt(*body, "window", 0)].insert(
      json::Write(*body->Find("counts")));
  }
  aExchange->Answer({ 200, {}, {} });
}

std::string
soak_site::LogPath(const site_options& aOptions, const std::string& aName)
{
  return aOptions.mLogFolder + "/" + aName + ".log";
}

void
soak_site::StartAll()
{
  for (auto& entry : mEntries) {
    StartEntry(*entry);
  }
  for (auto& agent : mAgents) {
    StartAgent(*agent);
  }
}

void
soak_site::StartEntry(entry_instance& aEntry)
{
  aEntry.mIsEndExpected = false;
  aEntry.mIsPaused = false;
  std::vector<std::string> command{ Program("Entry/lavender-entry"),
                                    "site",
                                    "--name",
                                    aEntry.mName,
                                    "--zone",
                                    "zone",
                                    "--caller-listen",
                                    Local(aEntry.mCallers),
                                    "--ready-listen",
                                    Local(aEntry.mReadiness),
                                    "--peer-listen",
                                    Local(aEntry.mPeers),
                                    "--metrics-listen",
                                    Local(aEntry.mMetrics),
                                    "--store",
                                    Local(aEntry.mStoreLink->Port()),
                                    "--reports",
                                    Local(mReportListener.Port()),
                                    "--usage-window",
                                    "2",
                                    "--grace",
                                    "5" };
  command.insert(command.end(),
                 mOptions.mEntryArguments.begin(),
                 mOptions.mEntryArguments.end());
  const bool isStarted =
    aEntry.mProcess.Start(command, LogPath(mOptions, aEntry.mName));
  if (!isStarted) {
    mFindings.push_back(aEntry.mName + " can't be started");
  }
}

void
soak_site::StartAgent(agent_instance& aAgent)
{
  // The agent reaches its server through the proxy whose address the server
  // list has, and the store through the first entry's proxy.
  aAgent.mProcess.Start({ Program("Agent/lavender-agent"),
                          "site",
                          "--name",
                          aAgent.mName,
                          "--zone",
                          "zone",
                          "--store",
                          Local(mEntries.front()->mStoreLink->Port()),
                          "--server",
                          Local(aAgent.mServerLink->Port()) },
                        LogPath(mOptions, aAgent.mName));
}

void
soak_site::RestartEnded()
{
  WriteServers();
  NoteOwners();
  for (auto& entry : mEntries) {
    if (entry->mProcess.HasEnded()) {
      const int ending = entry->mProcess.ExitStatus();
      if (!entry->mIsEndExpected) {
        mFindings.push_back(entry->mName + " ended unexpectedly with status " +
                            std::to_string(ending));
      }
      NoteLostEntry(entry->mName);
      StartEntry(*entry);
    }
  }
  for (auto& agent : mAgents) {
    if (agent->mProcess.HasEnded()) {
      if (agent->mProcess.ExitStatus() != -SIGKILL) {
        mFindings.push_back(agent->mName + " ended unexpectedly with status " +
                            std::to_string(agent->mProcess.ExitStatus()));
      }
      StartAgent(*agent);
    }
  }
}

void
soak_site::PublishVersion()
{
  ++mVersion;
  standin::PutDirectly(mState,
                       "versions",
                       "model",
                       R"({"model":"model","version":)" +
                         std::to_string(mVersion) + "}");
}

void
soak_site::ChangeConfiguration()
{
  mConfigurationVersion += 3;
  WriteConfiguration();
}

void
soak_site::ClearFaults()
{
  mState.mFault = standin::store_fault::None;
  mState.mLatency = standin::memory_store_state().mLatency;
  mPlain.mLostResponseShare = 0;
  mRewards.mFaultShare = 0;
  mMarksNext = false;
  for (auto& entry : mEntries) {
    entry->mStoreLink->SetFault(link_fault::None);
    entry->mProcess.Signal(SIGCONT);
    entry->mIsPaused = false;
  }
  for (auto& agent : mAgents) {
    if (!mOptions.mFreesPorts || !agent->mServer->HasEnded()) {
      agent->mServerLink->SetFault(link_fault::None);
    }
    agent->mServer->mBreakAfter = 0;
    agent->SetSpeed(1, kUsualSpeed);
    agent->mProcess.Signal(SIGCONT);
  }
}

} // namespace lavender::soak
