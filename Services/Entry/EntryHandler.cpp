#include "Services/Entry/EntryHandler.h"

namespace lavender::entry {

entry_handler::entry_handler(entry_identity aIdentity,
                             configuration::configuration_store& aConfiguration,
                             usage::usage_account& aUsage)
  : mIdentity(std::move(aIdentity))
  , mConfiguration(aConfiguration)
  , mUsage(aUsage)
{
}

void
entry_handler::Exchange(wire::peer_digest& aReply,
                        const wire::peer_digest& aDigest)
{
  const auto ownDigest = mConfiguration.Digest();
  aReply.echo = aDigest.echo;
  aReply.entry_incarnation = mIdentity.mIncarnation;
  aReply.name = mIdentity.mName;
  aReply.configuration_revision = ownDigest.mKnownRevision;
  aReply.changed_revision = ownDigest.mChangedRevision;
  aReply.fresh_age_ms =
    configuration::AgeOf(ownDigest.mVerifiedAt, boot_clock::now()).count();
}

void
entry_handler::FetchConfiguration(wire::configuration_copy& aReply,
                                  const std::string& aEcho)
{
  aReply = configuration::ToMessage(mConfiguration.Copy(), boot_clock::now());
  aReply.echo = aEcho;
}

void
entry_handler::CollectUsage(wire::usage_reply& aReply,
                            const wire::usage_query& aQuery)
{
  aReply.echo = aQuery.echo;
  aReply.incarnation = mIdentity.mIncarnation;
  mUsage.Settle(aQuery.settled);
  aReply.buckets = mUsage.Buckets(aQuery.through_window);
  aReply.superseded = mUsage.Superseded();
}

} // namespace lavender::entry
