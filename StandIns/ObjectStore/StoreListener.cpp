#include "StandIns/ObjectStore/StoreListener.h"

#include "Libraries/Edge/LoopScheduler.h"

#include <map>

namespace lavender::standin {

using objects::store_outcome;

namespace {

/** The parsed path and query of a request. */
struct store_call
{
  std::string mKind;
  std::string mName;
  bool mIsStatus = false;
  std::map<std::string, std::string> mQuery;
};

store_call
ParseCall(const std::string& aTarget)
{
  store_call call;
  const auto queryStart = aTarget.find('?');
  std::vector<std::string> parts;
  const auto path = aTarget.substr(0, queryStart);
  for (std::size_t start = 0; start < path.size();) {
    const auto end = path.find('/', start + 1);
    parts.push_back(path.substr(start + 1, end - start - 1));
    start = end;
  }
  call.mKind = parts.size() > 1 ? parts[1] : "";
  call.mName = parts.size() > 2 ? parts[2] : "";
  call.mIsStatus = parts.size() > 3 && parts[3] == "status";
  for (auto start = queryStart; start != std::string::npos;) {
    const auto end = aTarget.find('&', start + 1);
    const auto part = aTarget.substr(start + 1, end - start - 1);
    const auto equals = part.find('=');
    call.mQuery[part.substr(0, equals)] =
      equals == std::string::npos ? "" : part.substr(equals + 1);
    start = end;
  }
  return call;
}

std::int64_t
IntegerInQuery(const store_call& aCall,
               const char* aName,
               std::int64_t aFallback)
{
  const auto found = aCall.mQuery.find(aName);
  return found == aCall.mQuery.end()
           ? aFallback
           : edge::ParseInteger(found->second).value_or(aFallback);
}

json::value
Encode(const objects::stored_object& aObject)
{
  return json::object{
    { "metadata",
      json::object{ { "name", aObject.mName },
                    { "revision", aObject.mRevision },
                    { "createRev", aObject.mCreatedAt },
                    { "finalizers", json::array{} },
                    { "deleting", false } } },
    { "spec", aObject.mSpec },
    { "status", aObject.mStatus },
  };
}

/** Returns false if the connection is to be aborted without a response. */
bool
HasResponse(store_outcome aOutcome)
{
  return aOutcome != store_outcome::Unknown;
}

unsigned
StatusOf(store_outcome aOutcome)
{
  switch (aOutcome) {
    case store_outcome::Done:
      return 200;
    case store_outcome::Conflict:
      return 409;
    case store_outcome::NotFound:
      return 404;
    case store_outcome::HistoryGone:
      return 410;
    default:
      return 503;
  }
}

std::string
WriteWithRawSpecs(const memory_store_state& aState, const json::value& aBody)
{
  auto text = json::Write(aBody);
  for (const auto& [name, raw] : aState.mRawSpecs) {
    const auto spec = json::Write(name);
    for (auto at = text.find(spec); at != std::string::npos;
         at = text.find(spec, at + raw.size())) {
      text.replace(at, spec.size(), raw);
    }
  }
  return text;
}

void
Respond(const memory_store_state& aState,
        const edge::exchange_ptr& aExchange,
        store_outcome aOutcome,
        const json::value& aBody)
{
  if (!HasResponse(aOutcome)) {
    aExchange->Abort();
    return;
  }
  edge::response response{ StatusOf(aOutcome),
                           {},
                           WriteWithRawSpecs(aState, aBody) };
  response.mHeaders.Add("Content-Type", "application/json");
  aExchange->Answer(std::move(response));
}

objects::object_done
RespondWithObject(const memory_store_state& aState,
                  const edge::exchange_ptr& aExchange)
{
  return [&aState, aExchange](const objects::object_reply& aReply) {
    Respond(aState, aExchange, aReply.mOutcome, Encode(aReply.mObject));
  };
}

objects::list_done
RespondWithList(const memory_store_state& aState,
                const edge::exchange_ptr& aExchange)
{
  return [&aState, aExchange](const objects::list_reply& aReply) {
    json::array items;
    for (const auto& object : aReply.mObjects) {
      items.push_back(Encode(object));
    }
    Respond(aState,
            aExchange,
            aReply.mOutcome,
            json::object{ { "items", std::move(items) },
                          { "hasMore", aReply.mHasMore },
                          { "storeRevision", aReply.mStoreRevision } });
  };
}

objects::watch_done
RespondWithEvents(const memory_store_state& aState,
                  const edge::exchange_ptr& aExchange)
{
  return [&aState, aExchange](const objects::watch_reply& aReply) {
    json::array events;
    for (const auto& event : aReply.mEvents) {
      events.push_back(json::object{ { "object", Encode(event.mObject) },
                                     { "deleted", event.mIsDeleted } });
    }
    Respond(aState,
            aExchange,
            aReply.mOutcome,
            json::object{ { "events", std::move(events) },
                          { "storeRevision", aReply.mStoreRevision } });
  };
}

std::string
Member(const json::value& aObject, const char* aName)
{
  const auto* member = aObject.Find(aName);
  return member ? json::Write(*member) : "null";
}

} // namespace

store_listener::store_listener(boost::asio::io_context& aLoop,
                               memory_store_state& aState)
  : mState(aState)
  , mStore(MakeMemoryStore(edge::LoopScheduler(aLoop), aState))
  , mListener(aLoop,
              std::make_shared<edge::listener_limits>(),
              [this](const auto& aExchange) { Serve(aExchange); })
{
}

unsigned short
store_listener::Open()
{
  mListener.Open({ "127.0.0.1", 0 });
  return mListener.Port();
}

void
store_listener::Serve(const edge::exchange_ptr& aExchange)
{
  const auto& request = aExchange->mRequest;
  const auto call = ParseCall(request.mTarget);
  if (request.mMethod == "GET") {
    if (!call.mName.empty()) {
      mStore.mGet(call.mKind,
                  call.mName,
                  objects::freshness::Linearizable,
                  RespondWithObject(mState, aExchange));
    } else if (call.mQuery.count("watch") > 0) {
      mStore.mWatch(call.mKind,
                    IntegerInQuery(call, "watch", 0),
                    milliseconds(IntegerInQuery(call, "waitMs", 0)),
                    RespondWithEvents(mState, aExchange));
    } else {
      const auto after = call.mQuery.find("after");
      mStore.mList(call.mKind,
                   after == call.mQuery.end() ? "" : after->second,
                   objects::freshness::Linearizable,
                   RespondWithList(mState, aExchange));
    }
    return;
  }
  if (request.mMethod == "DELETE") {
    mStore.mDelete(
      call.mKind, call.mName, RespondWithObject(mState, aExchange));
    return;
  }
  const auto body = json::Parse(request.mBody);
  const auto* metadata = body ? body->Find("metadata") : nullptr;
  if (!metadata) {
    aExchange->Answer({ 400, {}, {} });
    return;
  }
  const auto expected = json::IntegerAt(*metadata, "revision", 0);
  if (request.mMethod == "POST") {
    mStore.mCreate(call.mKind,
                   json::StringAt(*metadata, "name", ""),
                   Member(*body, "spec"),
                   RespondWithObject(mState, aExchange));
  } else if (call.mIsStatus) {
    mStore.mReplaceStatus(call.mKind,
                          call.mName,
                          expected,
                          Member(*body, "status"),
                          RespondWithObject(mState, aExchange));
  } else {
    mStore.mReplace(call.mKind,
                    call.mName,
                    expected,
                    Member(*body, "spec"),
                    RespondWithObject(mState, aExchange));
  }
}

} // namespace lavender::standin
