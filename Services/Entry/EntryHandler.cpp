#include "Services/Entry/EntryHandler.h"

namespace lavender::entry {

entry_handler::entry_handler(std::string aIncarnation,
                             configuration::configuration_store& aConfiguration,
                             usage::usage_account& aUsage)
  : mIncarnation(std::move(aIncarnation))
  , mConfiguration(aConfiguration)
  , mUsage(aUsage)
{
}

void
entry_handler::Exchange(wire::peer_digest& aReply,
                        const wire::peer_digest& aDigest)
{
  aReply.echo = aDigest.echo;
  aReply.entry_incarnation = mIncarnation;
  aReply.configuration_revision = mConfiguration.Current()->mRevision;
  aReply.fresh_age_ms = mConfiguration.FreshAge().count();
}

void
entry_handler::FetchConfiguration(wire::configuration_copy& aReply,
                                  const std::string& aEcho)
{
  aReply.echo = aEcho;
  const auto [revision, objects] = mConfiguration.AllObjects();
  aReply.revision = revision;
  aReply.fresh_age_ms = mConfiguration.FreshAge().count();
  for (const auto& object : objects) {
    wire::object_record record;
    record.kind = object.mKind;
    record.name = object.mName;
    record.revision = object.mRevision;
    record.value = json::Write(object.mValue);
    aReply.objects.push_back(std::move(record));
  }
}

void
entry_handler::CollectUsage(wire::usage_reply& aReply,
                            const wire::usage_query& aQuery)
{
  aReply.echo = aQuery.echo;
  aReply.incarnation = mIncarnation;
  mUsage.Settle(aQuery.settled);
  aReply.buckets = mUsage.Buckets(aQuery.through_window);
}

} // namespace lavender::entry
