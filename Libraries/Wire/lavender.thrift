// Messages between the system's own processes. Regenerate the C++ with
// Meta/regenerate-thrift after a change; the generated code is committed.
//
// Every reply carries the id of the request that it answers (mEcho), because
// a generated client does not compare sequence numbers: after a timeout the
// next call on the same transport would take the earlier call's answer.
namespace cpp lavender.wire

// Where one request stands in an agent's ledger.
enum run_state {
  UNKNOWN_ID = 0,
  QUEUED = 1,
  RUNNING = 2,
  FINISHED = 3,
  // Never started and never will: a truthful "not run".
  NOT_RUN = 4,
  // It started, and how it ended can't be known.
  OUTCOME_UNKNOWN = 5
}

struct dispatch_order {
  1: string request_id,
  // The agent incarnation meant; another incarnation refuses.
  2: string agent_incarnation,
  3: string entry_incarnation,
  4: string customer,
  // Identifies the key's record; never the key itself.
  5: string key_id,
  6: string operation,
  7: string payload,
  // Fair-queue weight and estimated cost in tokens.
  8: double weight = 1.0,
  9: i64 cost_tokens = 1,
  // Milliseconds left until the caller's deadline.
  10: i64 deadline_left_ms,
  11: bool repeatable = true,
  12: i32 priority = 0,
  // For samples: oldest acceptable weight version, 0 for none.
  13: i64 oldest_weight_version = 0,
  14: string method,
  15: string path,
  // When the attempt was made, in milliseconds of the agent's own clock as
  // the entry reckons it. An order that is too old is refused, so that the
  // agent may forget tombstones after a bounded time.
  16: i64 issued_at_ms = 0
}

struct load_figures {
  1: i32 queued,
  2: i32 running,
  3: i32 slots,
  4: double tokens_per_second,
  // Age of the server's own report in milliseconds.
  5: i64 age_ms,
  6: double queue_delay_ms,
  7: double fail_share,
  // Hashes of prompt prefixes believed to be cached.
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
  // Weight versions that produced the answer, in order. Empty: not known.
  6: list<weight_part> versions,
  // Usage window that the run is billed in.
  7: i64 usage_window,
  // Model that the versions belong to.
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

// What an entry knows, told to each agent with the poll for its report.
struct entry_digest {
  1: string echo,
  2: string entry_incarnation,
  // Of the last change to the configuration that the entry knows.
  3: i64 configuration_revision,
  // Age of the last proof that the entry's configuration was the newest.
  4: i64 fresh_age_ms
}

// Requests of one customer that an agent holds, queued or running, and those
// of them that the asking entry sent.
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
  // Highest revision any entry has shown, and the age of the freshest proof.
  10: i64 witnessed_revision,
  11: i64 witnessed_fresh_age_ms,
  12: bool server_reachable,
  13: i64 open_usage_window,
  // The agent's clock when it answered.
  14: i64 clock_ms = 0,
  // Customers with requests here, the busiest first, at most 64.
  15: list<customer_load> customers
}

struct swap_order {
  1: string echo,
  2: string model,
  3: i64 version,
  4: i64 fencing,
  5: string holder,
  // The agent incarnation meant: a successor doesn't know which fencing
  // numbers its predecessor saw, so it refuses what was meant for that one.
  6: string agent_incarnation
}

struct swap_reply {
  1: string echo,
  2: bool done,
  3: string reason,
  // The version that the server truly holds; 0 when not known.
  4: i64 holds_version
}

struct usage_row {
  1: string customer,
  2: i64 requests,
  3: i64 prompt_tokens,
  4: i64 completion_tokens
}

// All runs that one agent finished for one entry in one window.
struct usage_bucket {
  1: string agent_incarnation,
  2: string entry_incarnation,
  3: i64 window,
  4: list<usage_row> rows
}

// A run whose caller was answered by a repeat at another agent, since its own
// agent was out of reach. The repeat is billed, this run isn't.
struct superseded_run {
  1: string agent_incarnation,
  2: string request_id
}

struct usage_query {
  1: string echo,
  // Buckets of windows up to this one that aren't settled yet.
  2: i64 through_window,
  // Buckets that the platform has fixed and the witness may forget.
  3: list<usage_bucket> settled,
  // Runs of the agent that is asked; it takes them out before it answers.
  4: list<superseded_run> superseded
}

struct usage_reply {
  1: string echo,
  2: string incarnation,
  3: list<usage_bucket> buckets,
  // An agent adds nothing more to windows up to this one.
  4: i64 closed_through,
  // Runs that an entry had repeated elsewhere, of any agent.
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
  // The order's stamp tells the agent whether it may have forgotten the id.
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
  // Revision of the store up to which the sender knows all changes.
  3: i64 configuration_revision,
  4: i64 fresh_age_ms,
  // Revision of the last change that touched the configuration.
  5: i64 changed_revision,
  // Instance name, since an address may have been given to another instance.
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

// The platform's instance list as last seen; kept in the data folder.
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
