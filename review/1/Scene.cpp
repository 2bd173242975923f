#include "review/1/Scene.h"

#include "Libraries/Edge/RunAfter.h"
#include "Libraries/Json/Value.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <sstream>
#include <unistd.h>

namespace lavender::review {

namespace {

constexpr char kZone[] = "hall-malmo";
constexpr char kBatchPath[] = "/pufi791/";
constexpr char kSafePath[] = "/lohu930/";
constexpr milliseconds kStartTime{ 20000 };
constexpr milliseconds kReadinessInterval{ 200 };
constexpr milliseconds kLoadTime{ 900 };
constexpr milliseconds kPlainWork{ 25 };

std::shared_ptr<const edge::listener_limits>
Limits()
{
  return std::make_shared<edge::listener_limits>();
}

std::string
Local(unsigned short aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/** A port that was free a moment ago, outside the ephemeral range, so that no
 * outgoing connection takes it while its process is down. */
unsigned short
FreePort(boost::asio::io_context& aLoop)
{
  using boost::asio::ip::tcp;
  static unsigned short next = static_cast<unsigned short>(
    11000 + (static_cast<unsigned>(getpid()) * 50) % 19000);
  for (;;) {
    tcp::acceptor probe(aLoop);
    boost::system::error_code error;
    probe.open(tcp::v4(), error);
    probe.bind({ boost::asio::ip::address_v4::loopback(), ++next }, error);
    if (!error) {
      return next;
    }
  }
}

edge::request
TenantRequest(const char* aMethod,
              const std::string& aTarget,
              const char* aTenant)
{
  edge::request request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mHeaders.Add("Host", kHost);
  request.mHeaders.Add("Authorization",
                       "Token " + std::string(aTenant) + "-key");
  return request;
}

} // namespace

record::record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
}

record::~record()
{
  if (mFile) {
    std::fclose(mFile);
  }
}

void
record::Line(const std::string& aText)
{
  const std::chrono::duration<double> since = boot_clock::now() - mStart;
  if (mFile) {
    std::fprintf(mFile, "%8.3f %s\n", since.count(), aText.c_str());
    std::fflush(mFile);
  }
}

/** A connection of a caller. */
struct model_server::channel
{
  explicit channel(boost::asio::ip::tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  boost::asio::ip::tcp::socket mSocket;
  std::array<char, 8192> mPiece{};
  std::string mInput;
  std::string mOutput;
  std::string mWriting;
  bool mIsClosed = false;
  /** Whether a request has no complete response yet. */
  bool mIsBusy = false;
  std::weak_ptr<run> mRun;
  /** A response that is sent once more before the next one. */
  std::string mExtra;
};

/** One request for an item. */
struct model_server::run
{
  channel_ptr mChannel;
  std::string mItem;
  int mNext = 1;
  bool mIsOpen = true;
  /** All bytes of the response so far. */
  std::string mResponse;
};

model_server::model_server(boost::asio::io_context& aLoop,
                           record& aRecord,
                           std::string aId,
                           std::map<std::string, item_history>& aItems)
  : mEventsOf([](const auto&) { return 10; })
  , mLoop(aLoop)
  , mRecord(aRecord)
  , mId(std::move(aId))
  , mItems(aItems)
  , mAcceptor(aLoop, { boost::asio::ip::address_v4::loopback(), 0 })
{
  Accept();
}

std::string
model_server::Address() const
{
  return Local(mAcceptor.local_endpoint().port());
}

void
model_server::Accept()
{
  mAcceptor.async_accept([this](const auto& aError, auto aSocket) {
    if (!aError) {
      Read(std::make_shared<channel>(std::move(aSocket)));
      Accept();
    }
  });
}

void
model_server::Read(const channel_ptr& aChannel)
{
  aChannel->mSocket.async_read_some(
    boost::asio::buffer(aChannel->mPiece),
    [this, aChannel](const auto& aError, std::size_t aSize) {
      if (aError) {
        Close(aChannel);
        if (const auto open = aChannel->mRun.lock()) {
          EndRun(open, "left by its caller");
        }
        return;
      }
      aChannel->mInput.append(aChannel->mPiece.data(), aSize);
      HandleInput(aChannel);
      Read(aChannel);
    });
}

void
model_server::HandleInput(const channel_ptr& aChannel)
{
  const auto headEnd = aChannel->mInput.find("\r\n\r\n");
  if (aChannel->mIsBusy || headEnd == std::string::npos) {
    return;
  }
  edge::request request;
  std::istringstream head(aChannel->mInput.substr(0, headEnd));
  std::string line;
  std::getline(head, line);
  std::istringstream(line) >> request.mMethod >> request.mTarget;
  while (std::getline(head, line)) {
    line.erase(line.find_last_not_of('\r') + 1);
    const auto colon = line.find(':');
    const auto start =
      std::min(line.find_first_not_of(' ', colon + 1), line.size());
    request.mHeaders.Add(line.substr(0, colon), line.substr(start));
  }
  const auto bodyBytes = static_cast<std::size_t>(
    request.mHeaders.Integer("Content-Length").value_or(0));
  const auto bodyStart = headEnd + 4;
  if (aChannel->mInput.size() < bodyStart + bodyBytes) {
    return;
  }
  request.mBody = aChannel->mInput.substr(bodyStart, bodyBytes);
  aChannel->mInput.erase(0, bodyStart + bodyBytes);
  aChannel->mIsBusy = true;
  if (!aChannel->mExtra.empty()) {
    mRecord.Line(mId + " sends an extra response before the answer to " +
                 request.mHeaders.ValueOr("X-Attempt-Id", request.mTarget));
    Write(aChannel, std::exchange(aChannel->mExtra, {}));
  }
  Serve(aChannel, request);
}

void
model_server::Serve(const channel_ptr& aChannel, const edge::request& aRequest)
{
  if (aRequest.mHeaders.ValueOr("X-Expect-Instance", mId) != mId) {
    edge::response other{ 421, {}, {} };
    other.mHeaders.Add("X-Instance-Id", mId);
    Respond(aChannel, other);
  } else if (aRequest.mTarget == "/report") {
    edge::response response{ 200, {}, Report() };
    response.mHeaders.Add("Content-Type", "application/json");
    response.mHeaders.Add("X-Instance-Id", mId);
    Respond(aChannel, response);
  } else if (aRequest.mTarget == "/order") {
    ServeOrder(aChannel, aRequest);
  } else {
    StartRun(aChannel, aRequest);
  }
}

std::string
model_server::Report() const
{
  const json::value model = json::object{ { "name", kModel },
                                          { "version", mVersion },
                                          { "adapters", json::array{} } };
  return json::Write(json::object{ { "stage", "dual" },
                                   { "models", json::array{ model } },
                                   { "busy", false },
                                   { "seq", mAcceptedOrders },
                                   { "waiting", 0 },
                                   { "running", mRunning },
                                   { "kvUsed", 0 },
                                   { "kvTotal", 84434 },
                                   { "handles", 0 },
                                   { "born", 1 } });
}

void
model_server::ServeOrder(const channel_ptr& aChannel,
                         const edge::request& aRequest)
{
  const auto order = json::Parse(aRequest.mBody);
  if (!order) {
    Respond(aChannel, { 400, {}, {} });
    return;
  }
  if (json::IntegerAt(*order, "expect", mAcceptedOrders) != mAcceptedOrders) {
    Respond(aChannel, { 409, {}, {} });
    return;
  }
  ++mAcceptedOrders;
  edge::RunAfter(
    mLoop, kLoadTime, [this, version = json::IntegerAt(*order, "version", 1)] {
      mVersion = version;
    });
  Respond(aChannel, { 202, {}, {} });
}

void
model_server::StartRun(const channel_ptr& aChannel,
                       const edge::request& aRequest)
{
  const auto item = aRequest.mHeaders.ValueOr("X-Attempt-Id", "");
  if (mRunning >= mSlots) {
    edge::response full{ 503, {}, {} };
    full.mHeaders.Add("X-Attempt-Id", item);
    full.mHeaders.Add("X-Not-Executed", "1");
    Respond(aChannel, full);
    return;
  }
  const auto after = aRequest.mHeaders.Integer("Last-Event-Id").value_or(0);
  mRecord.Line(mId + " begins item " + item + " after event " +
               std::to_string(after));
  ++mRunning;
  mItems[item].mRuns.push_back(boot_clock::now());
  const auto started = std::make_shared<run>();
  started->mChannel = aChannel;
  started->mItem = item;
  started->mNext = static_cast<int>(after) + 1;
  aChannel->mRun = started;
  started->mResponse =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + item + "\r\nX-Instance-Id: " + mId +
    "\r\nContent-Type: text/event-stream" +
    "\r\nX-Weight-Versions: " + std::to_string(mVersion) +
    "\r\nX-Server-Load: " + std::to_string(mRunning) + ",0," +
    std::to_string(mSlots) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  Write(aChannel, started->mResponse);
  WriteNext(started);
}

void
model_server::WriteNext(const std::shared_ptr<run>& aRun)
{
  if (!aRun->mIsOpen) {
    return;
  }
  if (aRun->mNext > mEventsOf(aRun->mItem)) {
    Finish(aRun);
    return;
  }
  const auto number = std::to_string(aRun->mNext++);
  const auto event =
    "id: " + number + "\ndata: " + aRun->mItem + "-" + number + "\n\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", event.size());
  const auto bytes = size + event + "\r\n";
  aRun->mResponse += bytes;
  Write(aRun->mChannel, bytes);
  edge::RunAfter(mLoop, mEventTime, [this, aRun] { WriteNext(aRun); });
}

void
model_server::Finish(const std::shared_ptr<run>& aRun)
{
  const std::string end = "0\r\n\r\n";
  ++mAnswers;
  if (mExtraInterval > 0 && mAnswers % mExtraInterval == 0) {
    aRun->mChannel->mExtra = aRun->mResponse + end;
  }
  Write(aRun->mChannel, end);
  EndRun(aRun, "finished");
}

void
model_server::EndRun(const std::shared_ptr<run>& aRun, const char* aOutcome)
{
  if (!aRun->mIsOpen) {
    return;
  }
  aRun->mIsOpen = false;
  --mRunning;
  mRecord.Line(mId + " item " + aRun->mItem + " " + aOutcome);
  aRun->mChannel->mIsBusy = false;
  HandleInput(aRun->mChannel);
}

void
model_server::Respond(const channel_ptr& aChannel,
                      const edge::response& aResponse)
{
  auto bytes = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + " " +
               std::string(edge::ReasonPhrase(aResponse.mStatus)) + "\r\n";
  for (const auto& [name, value] : aResponse.mHeaders.mFields) {
    bytes += name + ": " + value + "\r\n";
  }
  bytes += "Content-Length: " + std::to_string(aResponse.mBody.size()) +
           "\r\n\r\n" + aResponse.mBody;
  Write(aChannel, bytes);
  aChannel->mIsBusy = false;
}

void
model_server::Write(const channel_ptr& aChannel, const std::string& aBytes)
{
  aChannel->mOutput += aBytes;
  if (aChannel->mWriting.empty()) {
    Flush(aChannel);
  }
}

void
model_server::Flush(const channel_ptr& aChannel)
{
  if (aChannel->mOutput.empty() || aChannel->mIsClosed) {
    return;
  }
  aChannel->mWriting.swap(aChannel->mOutput);
  boost::asio::async_write(aChannel->mSocket,
                           boost::asio::buffer(aChannel->mWriting),
                           [aChannel](const auto& aError, std::size_t) {
                             aChannel->mWriting.clear();
                             if (aError) {
                               Close(aChannel);
                             } else {
                               Flush(aChannel);
                             }
                           });
}

void
model_server::Close(const channel_ptr& aChannel)
{
  boost::system::error_code ignored;
  aChannel->mIsClosed = true;
  aChannel->mSocket.close(ignored);
}

plain_server::plain_server(boost::asio::io_context& aLoop, std::string aId)
  : mId(std::move(aId))
  , mListener(aLoop, Limits(), [&aLoop](const edge::exchange_ptr& aExchange) {
    edge::RunAfter(aLoop, kPlainWork, [aExchange] {
      const auto id = aExchange->mRequest.mHeaders.ValueOr("X-Attempt-Id", "");
      edge::response response{ 200, {}, "answer to " + id };
      response.mHeaders.Add("X-Attempt-Id", id);
      response.mHeaders.Add("X-Server-Seal", "seal-" + id);
      aExchange->Answer(std::move(response));
    });
  })
{
  mListener.Open({ "127.0.0.1", 0 });
}

std::string
plain_server::Address() const
{
  return Local(mListener.Port());
}

std::string
ToString(const answer& aAnswer)
{
  return aAnswer.mEnd == edge::call_end::Complete
           ? std::to_string(aAnswer.mStatus)
           : std::string("no answer (") + edge::ToString(aAnswer.mEnd) + ")";
}

scene::scene(const std::string& aFolder, std::string aTemporary)
  : mRecord(aFolder + "/record.txt")
  , mTemporary(std::move(aTemporary))
  , mStore(mLoop, mStoreState)
  , mReports(mLoop,
             Limits(),
             [](const edge::exchange_ptr& aExchange) {
               aExchange->Answer({ 200, {}, {} });
             })
  , mHeartbeat(mLoop)
  , mClients(std::make_shared<edge::client_pool>(mLoop))
{
  mStoreState.mLatency = milliseconds(4);
  mStoreAddress = Local(mStore.Open());
  mReports.Open({ "127.0.0.1", 0 });
}

bool
scene::Start(int aEntries, int aModelServers, int aSlots, int aPlainServers)
{
  for (int i = 1; i <= aModelServers; ++i) {
    mModelServers.push_back(std::make_unique<model_server>(
      mLoop, mRecord, "model-" + std::to_string(i), mItems));
    mModelServers.back()->mSlots = aSlots;
  }
  for (int i = 1; i <= aPlainServers; ++i) {
    mPlainServers.push_back(
      std::make_unique<plain_server>(mLoop, "portal-" + std::to_string(i)));
  }
  WriteConfiguration();
  WriteServers();
  ScheduleHeartbeat();
  for (int i = 1; i <= aEntries; ++i) {
    AddEntry(i);
  }
  for (const auto& server : mModelServers) {
    AddAgent("side-" + server->Id(), server->Address());
  }
  AddAgent("store-1", "");
  const auto limit = boot_clock::now() + kStartTime;
  for (const auto& entry : mEntries) {
    while (!IsReady(*entry)) {
      if (boot_clock::now() > limit) {
        mRecord.Line(entry->mName + " isn't ready: the case can't run");
        return false;
      }
      RunFor(kReadinessInterval);
    }
    mRecord.Line(entry->mName + " is ready");
  }
  RunFor(kStableTime);
  return true;
}

void
scene::WriteConfiguration()
{
  std::string tenants;
  for (const std::string name : kTenants) {
    tenants += (tenants.empty() ? "" : ",") + (R"({"name":")" + name) +
               R"(","apiKeys":[")" + name + R"(-key"]})";
  }
  standin::PutDirectly(mStoreState,
                       "config",
                       "main",
                       R"({"version":7,"routes":[
      {"name":"batches","host":"train.example","pathPrefix":"/pufi791/",
       "kind":"rollout","timeoutMs":10000,"targetLatencyMs":400,"priority":0,
       "service":"modellflotta","maxAttempts":3,"maxQueueS":40.0,
       "dueMs":7500,"singleVersion":false,"authExempt":false,"sticky":true,
       "resumable":true},
      {"name":"drafts","host":"train.example","pathPrefix":"/lohu930/",
       "kind":"safe","timeoutMs":800,"targetLatencyMs":150,"priority":2,
       "service":"sekr-portal","maxAttempts":2,"authExempt":false}],
     "services":[
      {"name":"modellflotta","healthPath":"/health","maxConnections":150,
       "protocol":"h1","tls":false,
       "engine":{"slots":12,"kvCapacityTokens":84434,"kvTokenBytes":35136,
        "linkMbps":5900000.0,"moves":true,"backups":true,"stride":51,
        "most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
        "models":[{"name":"minutes"}]}},
      {"name":"sekr-portal","healthPath":"/health","maxConnections":100,
       "protocol":"h1","tls":false}],
     "limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,
      "headerTimeoutMs":3000,"idleTimeoutMs":15000},
     "tenants":[)" + tenants +
                         "]}");
}

/** Writes each server's entry, as the servers do at each heartbeat. */
void
scene::WriteServers()
{
  const auto beat = std::to_string(++mBeats);
  const auto put = [&](const std::string& aId,
                       const std::string& aAddress,
                       const std::string& aService,
                       int aSlots,
                       const std::string& aMore) {
    standin::PutDirectly(
      mStoreState,
      "servers",
      aId,
      R"({"service":")" + aService + R"(","address":")" + aAddress +
        R"(","zone":"hall-malmo","version":"v1","slots":)" +
        std::to_string(aSlots) + R"(,"state":"ready","coldRemainingMs":0,)" +
        aMore + R"("born":1,"seq":)" + beat + "}");
  };
  for (const auto& server : mModelServers) {
    put(server->Id(),
        server->Address(),
        "modellflotta",
        server->mSlots,
        R"("stage":"dual","models":[{"name":"minutes","version":1,)"
        R"("adapters":[]}],)");
  }
  for (const auto& server : mPlainServers) {
    put(server->Id(), server->Address(), "sekr-portal", 6, "");
  }
}

void
scene::ScheduleHeartbeat()
{
  mHeartbeat.expires_after(kHeartbeat);
  mHeartbeat.async_wait([this](const auto& aError) {
    if (!aError) {
      WriteServers();
      ScheduleHeartbeat();
    }
  });
}

void
scene::AddEntry(int aNumber)
{
  auto entry = std::make_unique<entry_program>();
  entry->mName = "front-" + std::to_string(aNumber);
  entry->mCallers = { "127.0.0.1", FreePort(mLoop) };
  entry->mReadiness = { "127.0.0.1", FreePort(mLoop) };
  entry->mCommand = { "target/Services/Entry/lavender-entry",
                      "site",
                      "--name",
                      entry->mName,
                      "--zone",
                      kZone,
                      "--regions",
                      "hall-malmo=sverige-syd",
                      "--caller-listen",
                      entry->mCallers.Text(),
                      "--ready-listen",
                      entry->mReadiness.Text(),
                      "--peer-listen",
                      Local(FreePort(mLoop)),
                      "--store",
                      mStoreAddress,
                      "--reports",
                      Local(mReports.Port()),
                      "--metrics-listen",
                      Local(FreePort(mLoop)),
                      "--usage-window",
                      "5",
                      "--lease-duration",
                      "3000",
                      "--keep-results",
                      "120",
                      "--grace",
                      "8",
                      "--processor-share",
                      "0.19",
                      "--memory",
                      "260",
                      "--descriptors",
                      "4100" };
  StartProgram(*entry);
  mEntries.push_back(std::move(entry));
}

void
scene::AddAgent(const std::string& aName, const std::string& aServer)
{
  auto agent = std::make_unique<program>();
  agent->mName = aName;
  agent->mCommand = { "target/Services/Agent/lavender-agent",
                      "site",
                      "--name",
                      aName,
                      "--zone",
                      kZone,
                      "--store",
                      mStoreAddress };
  if (!aServer.empty()) {
    agent->mCommand.push_back("--server");
    agent->mCommand.push_back(aServer);
  }
  StartProgram(*agent);
  mAgents.push_back(std::move(agent));
}

void
scene::StartProgram(program& aProgram)
{
  mRecord.Line(aProgram.mName + " is started");
  aProgram.mProcess.Start(aProgram.mCommand,
                          mTemporary + "/" + aProgram.mName + ".log");
}

void
scene::RunFor(milliseconds aTime)
{
  mLoop.restart();
  mLoop.run_for(aTime);
}

answer
scene::Send(const edge::endpoint& aEntry,
            edge::request aRequest,
            milliseconds aTimeout)
{
  if (!aRequest.mHeaders.Find("X-Attempt-Id")) {
    aRequest.mHeaders.Add("X-Attempt-Id", "call" + std::to_string(++mAttempts));
  }
  aRequest.mHeaders.Add("X-Deadline-Ms", std::to_string(aTimeout.count()));
  edge::call_options options;
  options.mConnectTimeout = milliseconds(1000);
  options.mSilenceTimeout = aTimeout;
  options.mMayReuse = false;
  const auto received = std::make_shared<std::optional<answer>>();
  edge::FetchWhole(
    *mClients,
    mLoop,
    aEntry,
    aRequest,
    options,
    aTimeout,
    16 << 20,
    [received](edge::call_end aEnd, edge::response aResponse) {
      *received = answer{ aEnd, aResponse.mStatus, aResponse.mBody };
    });
  while (!*received) {
    RunFor(milliseconds(5));
  }
  return **received;
}

bool
scene::IsReady(const entry_program& aEntry)
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/readiness";
  return Send(aEntry.mReadiness, request, milliseconds(1000)).Is(200);
}

answer
scene::Submit(const entry_program& aEntry,
              const std::string& aBatch,
              int aTargetGroups,
              const std::vector<submitted_item>& aItems,
              const char* aTenant)
{
  json::array items;
  for (const auto& item : aItems) {
    items.push_back(json::object{
      { "id", item.mId },
      { "path", std::string(kBatchPath) + "3/" + item.mId },
      { "headers",
        json::object{ { "X-Model", kModel },
                      { "X-Token-Counts", "540,400" },
                      { "X-Prompt-Prefix", "9c2e41:300,5d07b8:240" } } },
      { "body", "q83vEjRWeJA=" },
      { "tokens", 940 },
      { "group", item.mGroup } });
  }
  auto request = TenantRequest("POST", kBatchPath + aBatch, aTenant);
  request.mHeaders.Add("X-Attempt-Id", aBatch);
  request.mHeaders.Add("Content-Type", "application/json");
  request.mBody = json::Write(json::object{ { "step", 0 },
                                            { "model", kModel },
                                            { "minVersion", 1 },
                                            { "targetGroups", aTargetGroups },
                                            { "items", items } });
  const auto result = Send(aEntry.mCallers, request, milliseconds(4000));
  mRecord.Line("batch " + aBatch + " with " + std::to_string(aItems.size()) +
               " items submitted to " + aEntry.mName + ": " + ToString(result));
  return result;
}

answer
scene::Read(const entry_program& aEntry,
            const std::string& aBatch,
            std::size_t aAfter,
            const char* aTenant)
{
  auto request = TenantRequest(
    "GET", "/lots/" + aBatch + "?after=" + std::to_string(aAfter), aTenant);
  request.mHeaders.Add("X-Wait-Ms", "500");
  return Send(aEntry.mCallers, request, milliseconds(2500));
}

answer
scene::End(const entry_program& aEntry,
           const std::string& aBatch,
           const char* aTenant)
{
  const auto result = Send(aEntry.mCallers,
                           TenantRequest("DELETE", "/lots/" + aBatch, aTenant),
                           milliseconds(6000));
  mRecord.Line("end of batch " + aBatch + " sent to " + aEntry.mName + ": " +
               ToString(result));
  return result;
}

answer
scene::SendSafe(const entry_program& aEntry, const std::string& aId)
{
  auto request =
    TenantRequest("POST", std::string(kSafePath) + "2f", kTenants[0]);
  request.mHeaders.Add("X-Attempt-Id", aId);
  request.mBody = "minutes to summarise";
  return Send(aEntry.mCallers, request, milliseconds(800));
}

std::string
scene::OwnerOf(const std::string& aBatch) const
{
  const auto kind = mStoreState.mKinds.find("batches");
  if (kind == mStoreState.mKinds.end()) {
    return {};
  }
  const auto found = kind->second.find(aBatch);
  return found == kind->second.end()
           ? std::string()
           : json::StringAt(found->second.mStatus,
                            "owner",
                            json::StringAt(found->second.mSpec, "owner", ""));
}

entry_program*
scene::FindEntry(const std::string& aName)
{
  for (const auto& entry : mEntries) {
    if (entry->mName == aName) {
      return entry.get();
    }
  }
  return nullptr;
}

std::map<std::string, item_result>
ResultsOf(const answer& aPage)
{
  std::map<std::string, item_result> listed;
  const auto page = json::Parse(aPage.mBody);
  if (const auto* results = page ? page->Find("results") : nullptr) {
    for (const auto& result : results->Elements()) {
      listed[json::StringAt(result, "id", "")] = {
        json::StringAt(result, "state", ""), json::StringAt(result, "text", "")
      };
    }
  }
  return listed;
}

std::string
WholeText(const std::string& aItem, int aEvents)
{
  std::string text;
  for (int i = 1; i <= aEvents; ++i) {
    text += (i > 1 ? "\n" : "") + aItem + "-" + std::to_string(i);
  }
  return text;
}

bool
IsUndisturbed()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble && std::string(trouble) == "0";
}

} // namespace lavender::review
