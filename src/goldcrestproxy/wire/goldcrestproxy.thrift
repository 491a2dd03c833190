/**
 * Messages between the daemons of goldcrestproxy.
 *
 * Every message travels in one frame of the peer channel (see
 * docs/design/channel.md). Fields carry their unit as a suffix; times are
 * durations, since daemons share no clock.
 */
namespace py goldcrestproxy.wire.generated

/** First frame of a connection, in both directions. */
struct Hello {
  1: i32 version,
  2: string host,
  3: string session,
  4: string zone,
}

/** An error in place of a reply; code is a number of docs/result-codes.md. */
struct Failure {
  1: i32 code,
  2: string text,
}

/** A reply that carries nothing. */
struct Empty {
}

struct Header {
  1: string name,
  2: string value,
}

/** Head of a caller's request on its way from entry host to coordinator. */
struct RelayRequest {
  1: string request_id,
  2: string customer,
  3: string desk,
  4: string method,
  5: string path,
  6: list<Header> headers,
  7: string target,
  8: i64 key_hash,
  11: i32 deadline_ms,
  12: bool idempotent,
  13: i64 body_bytes,
  14: string trace_parent,
  15: string idempotency_key,
  16: string operation,
  17: string body_digest,
  /** Host header and address of the caller, of requests in fleets. */
  18: optional string caller_host,
  19: optional string caller_address,
}

/** Head of the answer; code 0 is an answer of the target itself. */
struct RelayResponse {
  1: i32 code,
  2: i32 status,
  3: list<Header> headers,
  4: i64 body_bytes,
  5: string text,
  6: i64 map_index,
  7: i32 retry_after_ms,
  /** Requests that wait or run at the target's coordinator. */
  8: i32 backlog_requests,
}

struct Entry {
  1: i64 index,
  2: i64 term,
  3: binary command,
}

struct VoteRequest {
  1: i64 term,
  2: string candidate,
  3: string voter,
  4: i64 last_index,
  5: i64 last_term,
  6: bool pre_vote,
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
}

struct AppendRequest {
  1: i64 term,
  2: string leader,
  3: string follower,
  4: i64 previous_index,
  5: i64 previous_term,
  6: list<Entry> entries,
  7: i64 commit_index,
  8: string leader_host,
}

struct AppendReply {
  1: i64 term,
  2: bool accepted,
  3: i64 last_index,
  /** What the follower's build understands. */
  4: optional i32 build_level,
}

struct SnapshotRequest {
  1: i64 term,
  2: string leader,
  3: string follower,
  4: i64 last_index,
  5: i64 last_term,
  6: i64 offset_bytes,
  7: binary chunk,
  8: bool done,
  9: string leader_host,
}

struct IdentityReply {
  1: string replica,
  2: bool blank,
  3: string host,
}

/** Founds a cluster: accepted by blank replicas only. */
struct FoundRequest {
  1: binary members,
}

/** A daemon asks the leader to prolong its session's lease. */
struct RenewRequest {
  1: string host,
  2: string session,
  3: string zone,
  4: i64 applied_index,
  5: i64 revision,
  6: list<TargetLoad> loads,
  7: bool stopping,
  8: string address,
  9: i32 peer_port,
  /** Whether the daemon may coordinate targets. */
  10: bool entry,
  /** Whether the daemon accepts feeds in parts. */
  11: optional bool takes_parts,
}

/** Load that a coordinator measured on a target since its last renewal. */
struct TargetLoad {
  5: bool cold,
  6: string incarnation,
  1: string target,
  3: list<KeyLoad> partitions,
  4: list<KeyLoad> hot_keys,
}

struct KeyLoad {
  1: i64 key,
  2: double rate_per_s,
}

struct RenewReply {
  1: bool granted,
  2: i32 lease_ms,
  3: string leader_host,
}

/** Committed entries for a daemon. */
struct Entries {
  1: list<Entry> entries,
}

/** Entries, or a snapshot of the map, for a daemon; both are compressed. */
struct FeedRequest {
  1: i64 previous_index,
  2: i64 last_index,
  /** Entries. */
  3: binary entries,
  4: binary snapshot,
  /** Position of this part in the compressed bytes; not set for a whole message. */
  5: optional i64 offset_bytes,
  /** Whether further parts follow. */
  6: optional bool more,
  /** The last change known to the sender that binds entry hosts within a time. */
  7: optional i64 binding_index,
}

/** A command for the replicated state, from any daemon. */
struct ProposeRequest {
  1: binary command,
}

struct ProposeReply {
  1: i64 index,
  2: binary outcome,
}

/** A question to the leader's state that must not be answered stale. */
struct QueryRequest {
  1: string name,
  2: string argument,
}

struct QueryReply {
  1: binary answer,
}

/** What one entry host measured on a target since its last report. */
struct TargetObservation {
  1: string target,
  2: i64 incarnation,
  3: i32 answers,
  /** Sum over the answers, without the time in the target's queue. */
  4: double work_ms,
}

/** Requests for a block of keys since the last report. */
struct BlockCount {
  1: string service_name,
  2: i32 first_key,
  3: i32 requests,
}

/** A target broke off while it may have run a request. */
struct BrokenRun {
  1: string fingerprint,
  2: string target,
  3: i64 incarnation,
}

/** The rate of requests that a target takes from all hosts together. */
struct TargetLimit {
  1: string target,
  2: i64 incarnation,
  /** Named by the latest answer of the target. */
  3: optional double limit_per_s,
  /** The latest answer named none. */
  4: optional bool withdrawn,
  /** In reports: requests that callers had for it since the last report. */
  5: optional i32 offered_requests,
  /** In replies: the rate of such requests at all hosts, if it is known. */
  6: optional double offered_per_s,
}

/** A daemon follows the replicated state without holding a lease. */
/** A target that wants no requests from a host for a time. */
struct TargetRest {
  1: string target,
  2: i64 incarnation,
  3: i32 rest_ms,
}

/** A process of a target. */
struct TargetProcess {
  1: string target,
  2: i64 incarnation,
}

/** The latest report of an entry host, which may send others' requests. */
struct EntryHost {
  1: string host,
  2: string zone,
  3: string address,
  4: i32 peer_port,
  5: bool takes_requests,
  /** Time since the entry host sent the report. */
  6: i32 age_ms,
}

struct WatchRequest {
  1: string host,
  2: string session,
  3: string zone,
  4: i64 applied_index,
  5: bool entry,
  6: list<TargetObservation> observations,
  7: list<BlockCount> blocks,
  8: list<BrokenRun> broken,
  /** Entry hosts that the asking control host feeds; only these set it. */
  9: optional i32 relayed_watchers,
  /** Fingerprints suspected of crashes whose requests a target answered. */
  10: list<string> cleared,
  11: list<TargetLimit> limits,
  /** Where the host takes requests that others cannot send. */
  12: optional string address,
  13: optional i32 peer_port,
  14: optional bool takes_requests,
  /** Entry hosts that the asking control host feeds. */
  15: optional list<EntryHost> entry_host_list,
  16: optional list<TargetRest> rests,
  /** Targets whose answers said that they leave. */
  17: optional list<TargetProcess> leaving,
  /** Whether the host accepts feeds in parts. */
  18: optional bool takes_parts,
  /** What the host's build understands; the lowest of all that it feeds. */
  19: optional i32 build_level,
}

struct WatchReply {
  /** Whether the asked control host feeds the asking daemon. */
  1: bool serving,
  2: string leader_address,
  3: i32 leader_peer_port,
  /** Entry hosts of the whole fleet, 0 while their number is not known. */
  4: i32 entry_hosts,
  /** The newest entry that daemons must know of. */
  5: i64 map_index,
  /** The leader's limits of targets; of others it knows nothing. */
  6: optional list<TargetLimit> limits,
  /** Other entry hosts that reach targets. */
  7: optional list<EntryHost> entry_host_list,
  /** The last change that binds entry hosts within a time. */
  8: optional i64 binding_index,
  /** Time since that was the last one of all control hosts; not set while this is not known. */
  9: optional i32 binding_age_ms,
}

/** A host asks the leader whether a target may get another request. */
struct PermitRequest {
  1: string target,
  2: i64 incarnation,
  /** The limit that the host knows, for a leader that knows none. */
  3: double limit_per_s,
  /** The control host that was asked first is not the leader. */
  4: bool forwarded,
  /** The limit is what the target bears while it is cold. */
  5: optional bool cold,
}

struct PermitReply {
  /** 0 if the request may be sent. */
  1: i32 retry_after_ms,
  /** Repeats that of the request; not set by earlier builds. */
  2: optional bool cold,
}

/** What a host has left of a customer's quota, and what it wants. */
struct QuotaAsk {
  1: string customer,
  /** Requests that wait at the host. */
  2: i32 needed,
  /** Tokens for later requests. */
  3: i32 ahead,
  4: i32 held,
  5: i32 returned,
  /** Part of the quota that the host may spend without the leader. */
  6: double share,
  7: double demand_per_s,
}

/** A host asks the leader for tokens of customers' quotas. */
struct QuotaRequest {
  1: string host,
  2: string session,
  3: list<QuotaAsk> asks,
  /** Of the last answer that the host received. */
  4: string granter,
  5: i64 stamp_ms,
  /** The host spends its shares now. */
  6: bool spending,
  /** The control host that was asked first is not the leader. */
  7: bool forwarded,
}

struct QuotaGrant {
  1: string customer,
  2: i32 tokens,
  3: double share,
  /** 0 if there is a token for each request that waits. */
  4: i32 retry_after_ms,
}

struct QuotaReply {
  1: list<QuotaGrant> grants,
  /** The leader and its term. */
  2: string granter,
  /** The leader's clock. */
  3: i64 stamp_ms,
  /** The leader knows that its answers reach the host. */
  4: bool confirmed,
}

/** A call of a target or operator, passed on to the leader. */
struct ForwardRequest {
  1: binary call,
}

struct ForwardReply {
  1: binary answer,
}

/** A control host asks the leader to become a member of the group. */
struct JoinRequest {
  1: string host,
  2: string address,
  3: i32 peer_port,
  4: string replica,
}

struct JoinReply {
  1: bool leading,
  2: bool member,
  3: string leader_address,
  4: i32 leader_peer_port,
}
