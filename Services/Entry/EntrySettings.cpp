#include "Services/Entry/EntrySettings.h"

#include "Libraries/Wire/SecuritySettings.h"

namespace lavender::entry {
namespace {

using settings::setting;
using settings::setting_kind;

setting
Listener(std::string aFlag, std::string aDescription)
{
  return { std::move(aFlag),
           std::move(aDescription),
           "",
           "127.0.0.1:0",
           setting_kind::Endpoint,
           0,
           0,
           {},
           false };
}

setting
Number(std::string aFlag,
       std::string aDescription,
       std::string aUnit,
       std::int64_t aDefault,
       std::int64_t aMinimum,
       std::int64_t aMaximum)
{
  return { std::move(aFlag),
           std::move(aDescription),
           std::move(aUnit),
           std::to_string(aDefault),
           setting_kind::Integer,
           aMinimum,
           aMaximum,
           {},
           false };
}

} // namespace

std::vector<setting>
DeclareSettings()
{
  std::vector<settings::setting> declared = {
    { "name",
      "Name of this instance in the platform's list.",
      "",
      "",
      setting_kind::Text,
      0,
      0,
      {},
      true },
    { "zone",
      "Availability zone of this instance.",
      "",
      "",
      setting_kind::Text,
      0,
      0,
      {},
      true },
    { "platform",
      "Address of the platform's interfaces.",
      "",
      "",
      setting_kind::Endpoint,
      0,
      0,
      {},
      true },
    { "operator-key-hash",
      "SHA-256 of the operators' bearer key in hexadecimal. Without it the "
      "operators' listener must be on loopback.",
      "",
      "",
      setting_kind::Text,
      0,
      0,
      {},
      false },
    Number("platform-reads",
           "Reads and watches that this process may send to the platform; "
           "more are refused at once.",
           "calls/s",
           600,
           1,
           100000),
    Number("platform-writes",
           "Writes that this process may send to the platform; more are "
           "refused at once.",
           "calls/s",
           300,
           1,
           100000),
    { "data-folder",
      "Folder on a disk that keeps the last configuration, for a start while "
      "the platform is down. Without it nothing is kept.",
      "",
      "",
      setting_kind::Text,
      0,
      0,
      {},
      false },
    Listener("caller-listen", "Address for callers and trainers."),
    Listener("operator-listen", "Address of the operators' resource API."),
    Listener("health-listen", "Address for health, readiness and metrics."),
    Listener("wire-listen", "Address for other entries."),
    Number("maximum-body",
           "Maximum size of a request body.",
           "bytes",
           1 << 20,
           1,
           1 << 26),
    Number("request-memory",
           "Maximum memory of callers' connections and requests until it is "
           "freed; beyond it connections end. Operators and health checks have "
           "an eighth of as much each.",
           "MB",
           256,
           1,
           1 << 20),
    Number("maximum-requests",
           "Maximum number of requests in flight; more are refused.",
           "requests",
           512,
           1,
           10000),
    Number("default-deadline",
           "Deadline of a request without an X-Deadline-Ms header.",
           "ms",
           60000,
           1,
           3600000),
    Number("drain-deadline",
           "Maximum duration of a drain.",
           "ms",
           30000,
           0,
           3600000),
    Number("call-record-keep",
           "How long the Idempotency-Key of a non-repeatable call is stored.",
           "s",
           3600,
           1,
           604800),
    Number("samples-side-by-side",
           "Maximum number of samples that this entry runs concurrently.",
           "samples",
           64,
           1,
           1024),
    Number("swaps-side-by-side",
           "Maximum number of servers of a pool that change weights "
           "concurrently; 0 for all.",
           "servers",
           0,
           0,
           100000),
    Number("batch-take-over",
           "Time without an update from the entry that owns a batch, after "
           "which another entry takes the batch over.",
           "ms",
           10000,
           1500,
           3600000),
    Number("usage-window",
           "Length of a usage window; must be the same in all processes.",
           "s",
           60,
           1,
           86400),
    Number("server-start-time",
           "Time from a start order until the server accepts its first "
           "request.",
           "ms",
           60000,
           50,
           3600000),
    Number("server-idle-time",
           "How long a zone must be idle before a server is stopped.",
           "ms",
           60000,
           50,
           3600000),
    Number("lease-duration",
           "Duration of a lease; must be the same in all processes.",
           "ms",
           9000,
           500,
           600000),
    Number("lease-late-bytes",
           "Maximum time that bytes sent to the platform stay in transit.",
           "ms",
           3000,
           100,
           600000),
    Number("load-poll",
           "Interval at which each agent is polled for its load.",
           "ms",
           500,
           50,
           1000),
    { "routing-policy",
      "Policy that selects a server. All but \"two-choices\" are meant only "
      "for comparison.",
      "",
      "two-choices",
      setting_kind::Choice,
      0,
      0,
      { "two-choices", "random", "round-robin" },
      false },
    { "log-level",
      "Minimum level of logged messages.",
      "",
      "info",
      setting_kind::Choice,
      0,
      0,
      { "debug", "info", "warning", "error" },
      false },
  };
  for (auto& setting : wire::DeclareSecurity()) {
    declared.push_back(std::move(setting));
  }
  return declared;
}

void
CheckSettings(const settings::values& aValues, findings& aFindings)
{
  constexpr std::size_t kHashLength = 64;
  const auto& hash = aValues.Text("operator-key-hash");
  const bool isHash =
    hash.size() == kHashLength &&
    hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!hash.empty() && !isHash) {
    aFindings.Add("--operator-key-hash",
                  "must be a SHA-256 hash: 64 lower-case hexadecimal digits");
  }
  const auto& listen = aValues.Text("operator-listen");
  if (hash.empty() && listen.rfind("127.", 0) != 0) {
    aFindings.Add("--operator-listen",
                  "must be on loopback while --operator-key-hash is empty");
  }
}

} // namespace lavender::entry
