#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Duties/Usage/UsageAccount.h"
#include "Libraries/Wire/Generated/entry_service.h"

#include <string>

namespace lavender::entry {

struct entry_identity
{
  std::string mName;
  std::string mIncarnation;
};

/** Serves the wire calls of other entries from this entry's configuration and
 * usage account. */
class entry_handler : public wire::entry_serviceIf
{
public:
  entry_handler(entry_identity aIdentity,
                configuration::configuration_store& aConfiguration,
                usage::usage_account& aUsage);

  void Exchange(wire::peer_digest& aReply,
                const wire::peer_digest& aDigest) override;
  void FetchConfiguration(wire::configuration_copy& aReply,
                          const std::string& aEcho) override;
  void CollectUsage(wire::usage_reply& aReply,
                    const wire::usage_query& aQuery) override;

private:
  const entry_identity mIdentity;
  configuration::configuration_store& mConfiguration;
  usage::usage_account& mUsage;
};

} // namespace lavender::entry
