#include "StandIns/ObjectStore/StoreListener.h"

#include "Libraries/Core/UrlEncoding.h"
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

/** The parts of a text between separators; one empty part for no text. */
std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  for (;;) {
    const auto end = aText.find(aSeparator);
    parts.push_back(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(end + 1);
  }
}

/** The decoded segments of a path, without dot segments (RFC 3986,
 * section 5.2.4). */
std::vector<std::string>
SegmentsOf(std::string_view aPath)
{
  std::vector<std::string> segments;
  for (const auto part : Split(aPath, '/')) {
    auto segment = DecodeUrlPath(part);
    if (segment == ".." && !segments.empty()) {
      segments.pop_back();
    } else if (segment != "." && segment != ".." && !segment.empty()) {
      segments.push_back(std::move(segment));
    }
  }
  return segments;
}

store_call
ParseCall(std::string_view aTarget)
{
  // A fragment isn't a part of what is asked for.
  const auto target = aTarget.substr(0, aTarget.find('#'));
  const auto queryStart = target.find('?');
  const auto segments = SegmentsOf(target.substr(0, queryStart));
  store_call call;
  call.mKind = segments.size() > 1 ? segments[1] : "";
  call.mName = segments.size() > 2 ? segments[2] : "";
  call.mIsStatus = segments.size() > 3 && segments[3] == "status";
  if (queryStart != std::string_view::npos) {
    for (const auto part : Split(target.substr(queryStart + 1), '&')) {
      const auto equals = part.find('=');
      call.mQuery[DecodeUrlQuery(part.substr(0, equals))] =
        equals == std::string_view::npos
          ? ""
          : DecodeUrlQuery(part.substr(equals + 1));
    }
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
    case store_outcome::TooLarge:
      return 413;
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
