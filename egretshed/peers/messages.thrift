// Messages between egretshed nodes. Regenerate with `make generate`.
namespace py messages

enum MessageType {
  HELLO = 1, PROBE = 2, PROBE_ACK = 3, PROBE_REQUEST = 4, MEMBER_SYNC = 5,
  LOAN_REQUEST = 10, LOAN_REPLY = 11, LOAN_RETURN = 12,
  HANDOVER_OFFER = 13, HANDOVER_REQUEST = 14, HANDOVER_REPLY = 15,
  CONFIGURATION_OFFER = 20, CONFIGURATION_FETCH = 21, CONFIGURATION_DELTAS = 22,
  STREAM_FETCH = 30, STREAM_EVENTS = 31, OUTCOME_QUERY = 32, OUTCOME_REPLY = 33,
  CANCEL_REQUEST = 34,
  CLAIM_BATCH = 40, CLAIM_REPLY = 41,
  STAGE_SUBMIT = 60, STAGE_ACCEPTED = 61, STAGE_DONE = 62, STAGE_CANCEL = 63,
  STAGE_FREE = 64, TABLE_FETCH = 65, TABLE_ROWS = 66,
  ENGINE_REQUEST = 67, ENGINE_CHOICE = 68, ENGINE_NOTE = 69,
  INPUT_CRASH = 70, INPUT_QUARANTINE = 71, INPUT_CLEARED = 77,
  STREAM_VERSION = 72, STREAM_VERSION_QUERY = 73, STREAM_VERSION_REPLY = 74,
  SERVER_RATE_LIMIT = 75, SERVER_LEAVING = 76,
  ROLLOUT_REPORT = 78, ROLLOUT_DIRECTIVE = 79,
  ACK = 50, FAILURE = 51,
}

enum FrameKind { CALL = 1, REPLY = 2, ONE_WAY = 3 }

// Frame after the handshake. The counter increases by one per frame of a direction.
struct Frame {
  1: required i64 counter,
  2: required FrameKind kind,
  3: required i64 call_id,
  4: required MessageType message_type,
  5: required binary body,
}

// First frame of each direction.
struct Hello {
  1: required string node_id,
  2: required i64 incarnation,
  3: required binary nonce,
  4: required i32 protocol_version,
}

struct Ack {}

struct Failure {
  1: required string code,
  2: required string message,
}

enum MemberStatus { ALIVE = 1, SUSPECT = 2, DEAD = 3, LEAVING = 4 }

struct MemberUpdate {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 refutation,   // increased by the member itself to refute a suspicion
  4: required MemberStatus status,
  5: required string host,
  6: required i32 peer_port,
  7: required i32 http_port,
  8: required string failure_domain,
  9: required string region,
  10: optional i32 load_permille,
  11: optional i32 millicores,          // processor that the node may use
  12: optional i32 link_mbps,
}

struct Probe {
  1: required list<MemberUpdate> updates,
  2: required i64 configuration_version,
}

struct ProbeAck {
  1: required list<MemberUpdate> updates,
  2: required i64 configuration_version,
}

// Asks another node to probe the target (indirect probe).
struct ProbeRequest {
  1: required string target_node_id,
  2: required list<MemberUpdate> updates,
}

struct MemberSync {
  1: required list<MemberUpdate> members,
}

// Demand of a borrower for slots of one replica, with the slots and calls that it has.
struct LoanDemand {
  1: required string replica_id,
  2: required i32 wanted_slots,
  3: required i32 held_slots,
  4: required i32 running_calls,
  5: required i32 longest_remaining_ms,
  6: optional i32 first_token_p95_ms,
  7: optional i32 completed_calls,
  8: optional i32 failed_calls,
  9: optional bool seems_cold,
  10: optional i64 loan_id,        // latest grant of this owner that the borrower uses
}

struct LoanRequest {
  1: required i64 incarnation,
  2: required list<LoanDemand> demands,
  3: optional i64 sequence,        // increases with each message of an incarnation
}

struct LoanGrant {
  1: required string replica_id,
  2: required i64 loan_id,
  3: required i32 slots,           // total slots lent to this borrower, not an increase
  4: required i32 duration_ms,
  5: required i32 limit_slots,
  6: required i32 in_flight_calls, // as last reported by the server
  7: required bool warm,
  8: optional i32 load_age_ms,
  9: optional bool not_owner,
  10: optional i32 lends_after_ms, // time for which the owner can lend to no borrower
}

struct LoanReply { 1: required list<LoanGrant> grants }

struct LoanReturn {
  1: required i64 incarnation,
  2: required list<LoanDemand> demands,
  3: optional i64 sequence,
}

// Sent by a former owner to its successors, which may then request its ledgers.
struct HandoverOffer { 1: required list<string> replica_ids }
struct HandoverRequest { 1: required list<string> replica_ids }

// Slots that a borrower may still use and calls that it may still run. Times count from the
// reply.
struct HandedLoan {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i32 slots,
  4: required i32 expires_in_ms,
  5: required i32 ends_in_ms,
  6: required i32 running_calls,
  7: required i32 running_for_ms,
  8: required i64 sequence,
}

struct HandedWarmth {
  1: required string state,
  2: required i32 completed_calls,
  3: required bool has_cold_sign,
  4: required bool reported_cold,
  5: required i64 cold_sign_age_ms,
  6: required i64 changed_age_ms,
}

// `reachable`, `listed` and `rounds_up` define the share of the limit that the previous owner
// lent.
struct HandedLedger {
  1: required string replica_id,
  2: required list<HandedLoan> loans,
  3: required HandedWarmth warmth,
  4: required i32 foreign_calls,
  5: required i32 foreign_for_ms,
  6: required i32 reachable,
  7: required i32 listed,
  8: required bool rounds_up,
}

struct HandoverReply { 1: required list<HandedLedger> ledgers }

struct ConfigurationOffer { 1: required i64 version }
struct ConfigurationFetch { 1: required i64 after_version }

struct ConfigurationDelta {
  1: required i64 version,
  2: required binary body,   // JSON of the version record
}

struct ConfigurationDeltas {
  1: required list<ConfigurationDelta> deltas,
  2: optional binary snapshot,   // JSON of all objects, if the deltas are no longer kept
  3: optional i64 snapshot_version,
}

struct StreamFetch {
  1: required string customer_id,
  2: required string stream_id,
  3: required i64 after_sequence,
  4: required i32 wait_ms,
}

struct StreamEvent {
  1: required i64 sequence,
  2: required binary body,   // JSON of the event
}

struct StreamEvents {
  1: required list<StreamEvent> events,
  2: required bool finished,
}

struct OutcomeQuery {
  1: required string customer_id,
  2: required string request_id,
}

struct OutcomeReply {
  1: required bool known,
  2: optional binary body,   // JSON of the outcome
}

struct CancelRequest {
  1: required string customer_id,
  2: required string stream_id,
}

struct ClaimItem {
  1: required string customer_id,
  2: required string request_id,
  3: optional binary outcome,   // JSON; absent for a new claim
}

struct ClaimBatch {
  1: required i64 incarnation,
  2: required list<ClaimItem> items,
}

struct ClaimReply {
  1: required list<string> results,   // per item: claimed | taken | unavailable | unknown
}

// Pieces of one stage that a request still needs.
struct StageNeed {
  1: required i32 stage,
  2: required string service_name,
  3: required i32 pieces,
  4: required i64 result_bytes,      // of one piece, approximately
}

// Pieces of one stage of one request, sent to the node that batches for the service.
struct StageSubmit {
  1: required i64 ticket,            // unique within the incarnation of the sender
  2: required string request_id,
  3: required string service_name,
  4: required i32 stage,
  5: required list<i32> segments,
  6: optional string piece_key,      // for stages that follow no other stage
  7: required list<string> inputs,   // handles of all results that the pieces need
  8: required i32 deadline_ms,       // time left until the request's deadline
  9: required i32 target_ms,         // time left for the stage to end on time
  10: required i32 priority,
  11: required string preferred_domain,
  12: required i64 result_bytes,     // of one piece, approximately
  13: required i64 far_bytes,        // transferred per piece computed in another domain
  14: required list<StageNeed> needs, // all stages that the request still needs
  15: required bool has_begun,       // some stages of the request are done
  16: optional list<string> input_ids, // of the request, blamed if the pieces crash servers
}

// Reply to StageSubmit. With `retry_after_ms` the pieces were not queued and will not run.
struct StageAccepted {
  1: required i32 expected_ms,
  2: optional i32 retry_after_ms,
}

struct StageDone {
  1: required i64 ticket,
  2: required list<string> handles,  // in the order of the segments; empty on failure
  3: required string reason,         // empty on success
  4: optional i32 retry_after_ms,    // when to submit again work that did not start
}

struct StageCancel {
  1: required i64 ticket,
}

// Results that are no longer needed.
struct StageFree {
  1: required string service_name,
  2: required list<string> handles,
}

// Asks a peer for the changes of a table of the platform's store after `version`, with -1 for
// all rows. With `wait_ms` the reply waits up to that time for a change and is refused if it
// is too large for the peer's link; without it, the reply is immediate and of any size.
struct TableFetch {
  1: required string table,
  2: required i64 version,
  3: optional i32 wait_ms,
}

struct TableRow {
  1: required string part,
  2: required string key,
  3: optional binary value,   // absent for a deleted row
  4: required i64 version,
  5: optional bool is_compressed, // the value is compressed with zlib
}

// With `is_whole`, rows that are not in `rows` do not exist. `age_ms` is the time since the
// sender's state was confirmed to be current.
struct TableRows {
  1: required i64 version,
  2: required list<TableRow> rows,
  3: required bool is_whole,
  4: required i32 age_ms,
  5: required i32 regained_ms,   // time since the sender regained access to the store
}

// Asks the node that places prompts to choose an engine.
struct EngineRequest {
  1: required i64 ticket,            // unique within the incarnation of the sender
  2: required string service_name,
  3: required list<string> part_ids, // parts of the prompt, in order
  4: required list<i32> part_tokens,
  5: required i32 slack_ms,          // time left for the first event to be on time
  6: required i32 deadline_ms,
  7: required list<string> excluded, // servers that the sender may not use
  8: required list<string> domains,  // failure domains that hold stage results
  9: required list<i64> domain_bytes,
  10: required string request_id,
  11: optional bool only_asks,       // the prompt follows later; nothing is reserved
}

// A server crashed while it ran a request with these inputs.
struct InputCrash {
  1: required string service_name,
  2: required string server_id,
  3: required list<string> input_ids, // outermost first
  4: required string request_id,
  5: optional i32 age_ms,             // time since the crash
  6: optional i32 ran_ms,             // time from sending the request to the crash
}

// Requests with the input must not be sent to servers.
struct InputQuarantine {
  1: required string service_name,
  2: required string input_id,
  3: required i32 duration_ms,        // from the time of this message
  4: required i32 level,              // earlier quarantines of the input
  5: optional i32 since_ms,           // time since the first crash that counted
}

// A request with the input has run to its end.
struct InputCleared {
  1: required string service_name,
  2: required string input_id,
}

// Without `server_id`, no server can take the request; with `quarantine`, none may.
struct EngineChoice {
  1: optional string server_id,
  2: optional InputQuarantine quarantine,
}

// Progress of a placed request: its first event or its end.
struct EngineNote {
  1: required i64 ticket,
  2: required string service_name,
  3: required bool has_ended,
}

// Where a stream began, by the request that brought its first event.
struct StreamVersion {
  1: required string request_id,
  2: required string service_name,
  3: required string version,        // of the server's software
  4: required string server_id,
  5: required i64 started_ms,        // Unix time at which the server started, as listed
  6: required i64 connected_ms,      // Unix time at which the request was sent
}

// Asks a holder for the beginning of a stream; the reply has none if it does not know.
struct StreamVersionQuery {
  1: required string request_id,
}

struct StreamVersionReply {
  1: optional StreamVersion beginning,
  2: optional i32 age_ms,
}

// A server names a limit for the requests of all nodes, or none (any more).
struct ServerRateLimit {
  1: required string server_id,
  2: required i64 started_ms,        // Unix time at which the server started, as listed
  3: optional double rate_per_s,     // absent if the server names no limit
}

// A server has said in a response that it leaves.
struct ServerLeaving {
  1: required string server_id,
  2: required i64 started_ms,        // Unix time at which the server started, as listed
}

// Answers of servers to one node in a rollout, on one route.
struct RolloutCell {
  1: required string route_name,
  2: required string server_id,        // empty for all servers of other versions
  3: required i32 failures,
  4: required map<i32, i32> latency_counts,  // answers by class of duration
  5: required map<i32, i32> running_counts,  // requests without an answer, by that so far
}

// What a node has seen of a rollout since it learned of the order; replaces its last one.
struct RolloutReport {
  1: required string service_name,
  2: required i64 order_version,       // version of the order's row in the store
  3: required i32 age_ms,              // time since this node learned of the order
  4: required i32 phase,               // that this node follows
  5: required i32 old_running,         // its requests at servers of other versions
  6: required list<RolloutCell> cells,
}

// What nodes do in a rollout; valid for a short time, except its end.
struct RolloutDirective {
  1: required string service_name,
  2: required i64 order_version,
  3: required i32 phase,
  4: required double share,            // of new requests to the new version
}
