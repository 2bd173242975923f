// Messages between the system's own processes. Regenerate the C++ with
// Meta/regenerate-thrift after a change; the generated code is committed.
//
// Every response carries the id of its request in the field "echo", because a
// generated client doesn't compare sequence numbers: after a timeout, the next
// call on the same transport would read the response to the earlier call.
namespace cpp lavender.wire

// State of a request in an agent's ledger.
enum run_state {
  UNKNOWN_ID = 0,
  QUEUED = 1,
  RUNNING = 2,
  FINISHED = 3,
  // The run wasn't started and never will be.
  NOT_RUN = 4,
  // The run was started; whether it was completed can't be determined.
  OUTCOME_UNKNOWN = 5
}

struct dispatch_order {
  1: string request_id,
  // Incarnation that the order is addressed to; another incarnation refuses it.
  2: string agent_incarnation,
  3: string entry_incarnation,
  4: string customer,
  // Name of the key's record, never the key itself.
  5: string key_id,
  6: string operation,
  7: string payload,
  // Fair-queue weight and estimated cost in tokens.
  8: double weight = 1.0,
  9: i64 cost_tokens = 1,
  // Milliseconds until the caller's deadline.
  10: i64 deadline_left_ms,
  11: bool repeatable = true,
  12: i32 priority = 0,
  // For samples: oldest acceptable weight version, 0 for none.
  13: i64 oldest_weight_version = 0,
  14: string method,
  15: string path,
  // Time of the attempt in milliseconds of the agent's clock, as estimated by
  // the entry. The agent refuses an order that is too old, so that it can
  // remove tombstones after a bounded time.
  16: i64 issued_at_ms = 0
}

struct load_figures {
  1: i32 queued,
  2: i32 running,
  3: i32 slots,
  4: double tokens_per_second,
  // Age of the backend server's report in milliseconds.
  5: i64 age_ms,
  6: double queue_delay_ms,
  7: double fail_share,
  // Hashes of prompt prefixes that are presumed to be cached.
  8: list<i64> cached_prefixes
}

struct weight_part {
  1: i64 version,
  2: i64 tokens
}

struct run_result {
  1: i32 http_status,
  2: string content_type,
  3: string body,
  4: i64 prompt_tokens,
  5: i64 completion_tokens,
  // Weight versions that generated the output, in order; empty when not known.
  6: list<weight_part> versions,
  // Usage window in which the run is billed.
  7: i64 usage_window,
  // Model of the versions.
  8: string model,
  // Why the versions aren't known.
  9: string version_reason
}

struct dispatch_reply {
  1: string echo,
  2: string agent_incarnation,
  3: run_state state,
  4: string reason,
  5: i64 retry_after_ms,
  6: optional run_result result,
  7: load_figures load,
  8: bool draining
}

// State of an entry's configuration, sent to each agent with the poll for its
// report.
struct entry_digest {
  1: string echo,
  2: string entry_incarnation,
  // Revision of the last configuration change known to the entry.
  3: i64 configuration_revision,
  // Milliseconds since the entry's configuration was last known to be the
  // store's newest.
  4: i64 fresh_age_ms
}

// Requests of one customer that are queued or running at an agent, and how many
// of them the polling entry sent.
struct customer_load {
  1: string customer,
  2: i32 in_flight,
  3: i32 own
}

struct agent_report {
  1: string echo,
  2: string agent_incarnation,
  3: string server_name,
  4: string zone,
  5: string pool,
  6: load_figures load,
  7: bool draining,
  8: string model,
  9: i64 weight_version,
  // Highest revision that any entry has sent to the agent, and the lowest age in
  // milliseconds at which an entry's configuration was known to be the newest.
  10: i64 witnessed_revision,
  11: i64 witnessed_fresh_age_ms,
  12: bool server_reachable,
  13: i64 open_usage_window,
  // The agent's clock, in milliseconds, when it sent the report.
  14: i64 clock_ms = 0,
  // Customers with requests at the agent, the busiest first, at most 64.
  15: list<customer_load> customers
}

struct swap_order {
  1: string echo,
  2: string model,
  3: i64 version,
  4: i64 fencing,
  5: string holder,
  // Incarnation that the order is addressed to. A later incarnation refuses the
  // order, because it doesn't know which fencing numbers the earlier one saw.
  6: string agent_incarnation
}

struct swap_reply {
  1: string echo,
  2: bool done,
  3: string reason,
  // Version that is loaded on the server; 0 when not known.
  4: i64 holds_version
}

struct usage_row {
  1: string customer,
  2: i64 requests,
  3: i64 prompt_tokens,
  4: i64 completion_tokens
}

// Usage of all runs that one agent finished for one entry in one usage window.
struct usage_bucket {
  1: string agent_incarnation,
  2: string entry_incarnation,
  3: i64 window,
  4: list<usage_row> rows
}

// A run that was repeated at another agent because its own agent was
// unreachable. The caller received the repeated run's response; that run is
// billed and this one isn't.
struct superseded_run {
  1: string agent_incarnation,
  2: string request_id
}

struct usage_query {
  1: string echo,
  // Requests the unsettled buckets of windows up to and including this one.
  2: i64 through_window,
  // Buckets that the platform has settled; the witness may remove them.
  3: list<usage_bucket> settled,
  // Runs of the agent that receives the query; it removes them from its buckets
  // before it responds.
  4: list<superseded_run> superseded
}

struct usage_reply {
  1: string echo,
  2: string incarnation,
  3: list<usage_bucket> buckets,
  // An agent adds nothing more to windows up to and including this one.
  4: i64 closed_through,
  // Runs of any agent that an entry has repeated at another agent.
  5: list<superseded_run> superseded
}

struct drain_order {
  1: string echo,
  2: i64 fencing,
  3: string reason
}

struct drain_reply {
  1: string echo,
  2: bool draining,
  3: i32 requests_left
}

service agent_service {
  dispatch_reply Dispatch(1: dispatch_order order, 2: i32 wait_ms),
  dispatch_reply Await(1: string request_id, 2: string agent_incarnation,
                       3: i32 wait_ms),
  // From issued_at_ms the agent tells whether it may have removed the id.
  dispatch_reply Cancel(1: string request_id, 2: string agent_incarnation,
                        3: i64 issued_at_ms),
  agent_report Report(1: entry_digest digest),
  swap_reply Swap(1: swap_order order),
  usage_reply CollectUsage(1: usage_query query),
  drain_reply Drain(1: drain_order order)
}

struct peer_digest {
  1: string echo,
  2: string entry_incarnation,
  // Store revision up to which the sender knows all changes.
  3: i64 configuration_revision,
  4: i64 fresh_age_ms,
  // Revision of the last change that touched the configuration.
  5: i64 changed_revision,
  // Instance name; the address may have been reassigned to another instance.
  6: string name
}

struct object_record {
  1: string kind,
  2: string name,
  3: i64 revision,
  4: string value
}

struct instance_record {
  1: string name,
  2: string zone,
  3: string pool,
  4: string role,
  5: string address,
  6: bool leaving
}

// The platform's instance list as last read, stored in the data folder.
struct instance_list {
  1: list<instance_record> instances
}

struct configuration_copy {
  1: string echo,
  2: i64 revision,
  3: i64 fresh_age_ms,
  4: list<object_record> objects,
  5: i64 changed_revision
}

service entry_service {
  peer_digest Exchange(1: peer_digest digest),
  configuration_copy FetchConfiguration(1: string echo),
  usage_reply CollectUsage(1: usage_query query)
}
