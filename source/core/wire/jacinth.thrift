namespace cpp jacinth.wire.generated

struct LogEntry { 1: i64 index, 2: i64 term, 3: i32 kind, 4: binary payload }
struct Configuration { 1: list<string> voters, 2: list<string> learners }
struct Snapshot {
  1: i64 index, 2: i64 term, 3: Configuration configuration, 4: binary state
}
struct HardState { 1: i64 term, 2: string vote }
struct Location { 1: string region, 2: string failure_domain }
struct PeerMessage {
  1: i32 kind, 2: string sender, 3: string receiver, 4: i64 term, 5: i64 index,
  6: i64 log_term, 7: i64 commit, 8: i64 round, 9: bool granted,
  10: bool transfer, 11: list<LogEntry> entries,
  12: optional Configuration configuration, 13: optional Snapshot snapshot,
  14: optional bool asks_location, 15: optional Location location
}

struct EntryStatus {
  1: string id, 2: i64 incarnation, 3: string region, 4: string failure_domain,
  5: string address, 6: i64 revision, 7: bool draining,
  8: bool isolated, 9: optional bool starting, 10: optional bool lost
}
struct SliceOwner { 1: string service_name, 2: i32 slice, 3: string endpoint }
struct SliceClaim { 1: SliceOwner owner, 2: i32 reason }
struct SliceUpdate {
  1: i64 version, 2: list<SliceOwner> changed, 3: optional i64 base,
  4: optional list<i32> parts
}
struct SliceUse { 1: string service_name, 2: i32 slice, 3: i64 busy_ms }
struct RateLimitReport {
  1: string service_name, 2: string endpoint, 3: i64 started_ms,
  4: optional double limit_per_s, 5: bool was_told, 6: i64 answer_age_ms,
  7: double demand_per_s, 8: optional double shared_limit_per_s
}
struct RateShare {
  1: string service_name, 2: string endpoint, 3: i64 started_ms,
  4: double limit_per_s, 5: double share_per_s
}
struct EndpointKey { 1: string service_name, 2: string endpoint }
struct RateShareUpdate {
  1: i64 version, 2: bool unchanged, 3: list<RateShare> shares,
  4: optional i64 base, 5: optional list<EndpointKey> removed
}
struct SettingsPosition {
  1: i64 base_revision, 2: i64 revision, 3: i64 checksum, 4: i64 offset
}
struct SettingsPiece {
  1: SettingsPosition position, 2: i64 total_bytes, 3: binary bytes,
  4: optional binary scope
}
// A SettingsUpdate, serialized and compressed by zlib.
struct PackedSettings { 1: i64 unpacked_bytes, 2: binary compressed }
struct CrashReport {
  1: i64 fingerprint, 2: i64 endpoint, 3: i64 sent_age_ms, 4: i64 ended_age_ms
}
struct SuspectNotice { 1: i64 fingerprint, 2: list<i64> endpoints, 3: i64 left_ms }
struct SuspectUpdate {
  1: i64 version, 2: bool unchanged, 3: list<SuspectNotice> requests,
  4: optional i64 base, 5: optional list<i64> removed
}
struct SuspectRequest {
  1: i64 fingerprint, 2: list<i64> endpoints, 3: i64 expires_ms
}
struct DrainReport { 1: string endpoint, 2: string address, 3: i64 started_ms }
struct Heartbeat {
  1: EntryStatus status, 2: i64 members_version, 3: i64 sequence,
  4: i64 endpoints_version, 5: i64 slices_version, 6: list<SliceClaim> claims,
  7: list<SliceUse> uses, 8: i64 rate_shares_version,
  9: list<RateLimitReport> rate_limits,
  10: optional SettingsPosition settings_position,
  20: optional list<CrashReport> crashes, 21: optional list<i64> acquitted,
  22: optional i64 suspects_version, 23: optional bool takes_suspect_changes,
  24: optional bool takes_share_changes,
  30: optional list<DrainReport> drains,
  40: optional bool takes_changes, 41: optional binary endpoint_digest,
  42: optional binary slice_digest,
  50: optional bool lacks_endpoints, 51: optional bool asks_listing,
  52: optional bool lacks_settings, 53: optional bool lacks_members
}
struct BranchChange { 1: string branch, 2: map<string, string> entries }
struct SettingsUpdate {
  1: i64 revision, 2: string text, 3: i64 checksum, 4: i64 base_revision,
  5: list<BranchChange> changes
}
struct ListedEndpoint {
  1: string id, 2: i64 started_ms, 3: string service_name, 4: string address,
  5: string failure_domain, 6: i32 slots, 7: bool draining,
  8: i64 cold_for_ms
}
struct EndpointUpdate {
  1: i64 version, 2: i64 base, 3: list<ListedEndpoint> changed,
  4: list<string> removed, 5: optional list<i32> parts
}
struct ListingState {
  1: i64 version, 2: i64 sent_version, 3: i64 age_ms, 4: optional i64 interval_ms
}
struct MemberList {
  1: i64 version, 2: list<EntryStatus> entries, 3: optional i64 base,
  4: optional list<string> removed
}
struct HeartbeatReply {
  1: i64 sequence, 2: bool leader, 3: string leader_hint, 4: i64 revision,
  5: optional SettingsUpdate update, 6: optional MemberList members,
  7: optional EndpointUpdate endpoints, 8: list<string> replicas,
  9: optional SliceUpdate slices, 10: optional RateShareUpdate rate_shares,
  11: optional SettingsPiece settings_piece,
  20: optional SuspectUpdate suspects,
  40: optional i64 term,
  50: optional list<DrainReport> drains,
  60: optional ListingState listing, 61: optional i64 sent_members_version
}

struct ClaimKey { 1: string caller, 2: string key }
struct RecordedAnswer {
  1: i32 status, 2: string content_type, 3: binary body, 4: bool body_dropped
}
struct ClaimRequest {
  1: string attempt, 2: ClaimKey key, 3: i64 fingerprint, 4: i64 budget_ms,
  5: string traceparent
}
struct ClaimReply {
  1: string attempt, 2: bool decided, 3: i32 verdict, 4: RecordedAnswer answer
}
struct FinishRequest {
  1: string attempt, 2: ClaimKey key, 3: i32 outcome, 4: RecordedAnswer answer
}
struct FinishReply { 1: string attempt }

struct Challenge { 1: string nonce, 2: optional bool takes_packed }
struct Hello {
  1: string instance, 2: string mac, 3: optional bool takes_packed
}
struct Ping { 1: bool reply }

// An Envelope, serialized and compressed by zlib.
struct PackedEnvelope { 1: i64 unpacked_bytes, 2: binary compressed }
struct Envelope {
  1: i32 version,
  2: optional Challenge challenge,
  3: optional Hello hello,
  4: optional Ping ping,
  5: optional PeerMessage peer,
  6: optional Heartbeat heartbeat,
  7: optional HeartbeatReply heartbeat_reply,
  8: optional ClaimRequest claim,
  9: optional ClaimReply claim_reply,
  10: optional FinishRequest finish,
  11: optional FinishReply finish_reply,
  12: optional PackedEnvelope packed
}

struct VersionStep { 1: i64 base_version, 2: i64 next_version }
struct ChangeSettings {
  1: string operator_name, 2: string idempotency_key, 3: i64 fingerprint,
  4: i64 if_revision, 5: bool replace_all, 6: list<BranchChange> changes,
  7: bool any_revision, 8: optional VersionStep version_step
}
struct Command {
  1: i32 version, 2: i64 wall_ms, 3: i64 proposal,
  4: optional ChangeSettings change, 5: optional ClaimRequest claim,
  6: optional FinishRequest finish, 7: optional list<SliceOwner> owners,
  8: optional list<SuspectRequest> suspects
}

struct ClaimRecord {
  1: ClaimKey key, 2: string attempt, 3: i64 fingerprint, 4: i32 state,
  5: i64 claimed_ms, 6: i64 deadline_ms, 7: RecordedAnswer answer
}
struct ChangeResult {
  1: string operator_name, 2: string idempotency_key, 3: i64 fingerprint,
  4: bool accepted, 5: i64 revision
}
struct AuditRecord {
  1: i64 revision, 2: i64 wall_ms, 3: string operator_name, 4: string branches
}
struct ControlSnapshot {
  1: i32 version, 2: i64 revision, 3: string tree_text, 4: i64 log_time_ms,
  5: list<ClaimRecord> claims, 6: list<ChangeResult> results,
  7: list<AuditRecord> audit, 8: i64 forgotten_before_ms,
  9: i64 operator_version, 10: list<SliceOwner> slice_owners,
  11: list<SuspectRequest> suspects
}

// One synced write of a replica's log; see core/storage.
struct LogBatch {
  1: i32 version, 2: optional HardState hard_state, 3: list<LogEntry> entries,
  4: optional i64 snapshot_index
}
