/**
 * Calls and datagrams between the routers of one fleet.
 *
 * Datagrams (`Datagram`) travel over UDP in the compact protocol; the `Peer` service runs over TCP
 * with framed transport and the compact protocol.
 */
namespace py sequoiadrum._gen.peer

enum MemberState { ALIVE = 1, SUSPECT = 2, LEAVING = 3, DEAD = 4 }

/** A router as known to its peers. */
struct Member {
  1: string id,
  2: string host,
  3: i32 peer_port,
  4: i32 http_port,
  5: string failure_domain,
  6: string region,
  7: i64 process_id,
  8: i64 incarnation,
  9: MemberState state,
}

/** A small fact that is disseminated to all routers together with membership changes. */
struct Rumor {
  1: string kind,
  2: string key,
  3: i64 version,
  4: binary payload,
  5: i32 ttl_ms,
}

enum DatagramKind { PING = 1, ACK = 2, PING_REQ = 3, NOTICE = 4 }

struct Datagram {
  1: DatagramKind kind,
  2: i64 sequence,
  3: string sender_id,
  4: i64 config_revision,
  5: optional string target_id,
  6: optional list<Member> members,
  7: optional list<Rumor> rumors,
  8: optional i64 sender_process_id,
}

enum LoadReportKind {
  /** The requests of one router, sent to its load hub. */
  OWN = 1,
  /** The requests of all routers, the reply of a hub to a report of kind OWN. */
  FLEET = 2,
  /** The requests of a hub and of the routers that report to it, sent to the other hubs. */
  GROUP = 3,
  /** Asks the owner of an endpoint's rate limit whether one request may be sent. */
  ASK = 4,
  /** The reply to a report of kind ASK. */
  GRANT = 5,
}

/** The rate that an endpoint named last in a response. */
struct RateLimit {
  /** Thousandths of a request per second; -1 if it named no limit any more. */
  1: i32 milli_per_s,
  2: i32 age_ms,
}

/** A request for one unit of an endpoint's rate limit, or the decision about it. */
struct Quota {
  /** Lower 31 bits of the hash of the endpoint's id. */
  1: i32 endpoint,
  2: optional bool is_granted,
  /** Time until another unit may be asked for. */
  3: optional i32 wait_ms,
}

/** A datagram with the requests that routers have in flight at endpoints, and recent prompt parts. */
struct LoadReport {
  1: LoadReportKind kind,
  2: string sender_id,
  /** Number of the report among those of its sender; a reply has the number of the report. */
  3: i64 sequence,
  /** Requests by endpoint; an endpoint is identified by the lower 31 bits of the hash of its id. */
  4: map<i32, i32> in_flight_by_endpoint,
  /** Requests of the last 2 s by the lower 31 bits of the hash of their shared prompt part. */
  5: map<i32, i32> requests_by_part,
  6: optional map<i32, RateLimit> rate_limit_by_endpoint,
  7: optional Quota quota,
}

/** One member with the last configuration revision that it reported. */
struct MemberReport {
  1: Member member,
  2: i64 config_revision,
}

enum AcquireStatus { GRANTED = 1, REFUSED = 2, NOT_OWNER = 3 }

struct AcquireRequest {
  1: string pool,
  2: string chat_id,
  3: string account,
  4: i32 deadline_ms,
  5: string router_id,
  6: i64 router_process_id,
  /** Configuration revision in force at the requesting router; see `AcquireReply.host`. */
  7: i64 config_revision,
  /** If 0, crashes are not counted for the request. */
  8: optional i64 fingerprint,
  /** 1 if absent. */
  9: optional i32 priority,
  /** 1 if absent. */
  10: optional double cost,
  11: optional list<string> excluded_endpoints,
  12: optional bool forced,
  /** Endpoint that served the chat last, as far as the requesting router knows. */
  13: optional string last_endpoint,
}

struct AcquireReply {
  1: AcquireStatus status,
  2: optional i64 grant_id,
  3: optional string endpoint_id,
  /** Absent, like `port`, if it is as declared at the requesting router's revision. */
  4: optional string host,
  5: optional i32 port,
  6: optional string kv_source,
  7: optional string reason,
  8: optional i32 retry_after_ms,
  /** Present only if the status is NOT_OWNER. */
  9: optional string owner_id,
}

enum ReleaseOutcome { OK = 1, FAILED = 2, CRASHED = 3, CANCELLED = 4, REFUSED = 5 }

struct Release {
  1: i64 grant_id,
  /** OK if absent. */
  2: optional ReleaseOutcome outcome,
}

/** A grant that a router holds, reported to a pool owner that does not know it. */
struct HeldGrant {
  1: i64 grant_id,
  2: string endpoint_id,
  3: string chat_id,
  4: double cost,
  5: i64 fingerprint,
}

enum KeyedState { DONE = 1, NOT_RUN = 2, UNKNOWN = 3, RUNNING = 4, NOT_OWNER = 5 }

struct KeyedRequest {
  1: string service_name,
  2: string account,
  3: string key,
  4: i64 issued_at_ms,
  5: string method,
  6: string path,
  7: string content_type,
  8: binary body,
  9: i32 deadline_ms,
  10: string attempt_id,
  11: bool forwarded,
}

struct KeyedReply {
  1: KeyedState state,
  2: optional i32 status,
  3: optional string content_type,
  4: optional binary body,
  5: optional string reason,
  6: optional i32 retry_after_ms,
  7: optional string owner_id,
}

struct ConfigUpdate {
  1: i64 revision,
  2: bool snapshot,
  3: binary payload,
}

struct LimitLease {
  1: i32 granted,
  2: i32 ttl_ms,
  3: i32 retry_after_ms,
  4: optional string owner_id,
}

/** An endpoint as known to the owner of its pool. */
struct EndpointReport {
  1: string endpoint_id,
  2: double load,
  3: double reported_load,
  4: string state,
}

struct PoolReport {
  1: string owner_id,
  2: i32 queued,
  3: list<EndpointReport> endpoints,
  4: list<string> recent_chats,
}

/** An object of the platform's store as a router read it. */
struct SeenObject {
  1: string name,
  2: i64 revision,
  /** JSON compressed by zlib; empty if the object was removed. */
  3: binary document,
  4: bool is_removed,
}

struct SeenObjects {
  1: list<SeenObject> objects,
  /** Store revision up to which the router knows all changes; 0 if it knows none. */
  2: i64 revision,
  /** Milliseconds since the store confirmed that these are all changes. */
  3: i64 age_ms,
  /** Epoch of the store that the revisions belong to; it rises when the store is restored. */
  4: optional i64 epoch,
  /** Whether these are all objects that exist, so that any other one was removed. */
  5: optional bool is_complete,
}

service Peer {
  /** Exchanges the complete member lists of both routers. */
  list<MemberReport> sync_members(1: list<MemberReport> members),
  /** Returns the rumors that are still in force, for a router that has missed them. */
  list<Rumor> list_rumors(),
  AcquireReply acquire(1: AcquireRequest request),
  void release(1: string pool, 2: list<Release> releases),
  void report_grants(1: string pool, 2: string router_id, 3: i64 router_process_id, 4: list<HeldGrant> grants),
  /** Reports all grants of a pool that a router holds; returns those unknown to the owner. */
  list<i64> confirm_grants(1: string pool, 2: string router_id, 3: i64 router_process_id, 4: list<i64> grant_ids),
  /** Returns the loads of a pool owned here, and the last chats of an endpoint (may be empty). */
  PoolReport inspect_pool(1: string pool, 2: string endpoint_id, 3: i32 max_chats),
  /** Reports the endpoints to which the contexts of chats were moved from a source endpoint. */
  void note_moved(1: string pool, 2: string source_id, 3: map<string, string> target_by_chat),
  /** Returns the changes after a revision, or a snapshot if they are no longer kept. */
  ConfigUpdate fetch_config(1: i64 since_revision),
  KeyedReply submit_keyed(1: KeyedRequest request),
  KeyedReply keyed_status(1: string service_name, 2: string account, 3: string key, 4: i64 issued_at_ms, 5: bool cancel, 6: string attempt_id),
  void record_outcome(1: string service_name, 2: string account, 3: string key, 4: string attempt_id, 5: KeyedReply outcome),
  /**
   * Returns the objects that changed after a revision of an epoch, or all if the router knows a newer
   * epoch. Waits up to `wait_ms` for a change, or for an epoch that the router does not know yet.
   */
  SeenObjects watch_objects(1: string kind, 2: i64 since_revision, 3: i32 wait_ms, 4: i64 epoch),
  /**
   * Returns the configuration in force if its version is above a known one. The router reads the
   * store first, unless it knows all changes acknowledged up to `max_age_ms` ago; the reply's age
   * shows it. Field 1 was a revision.
   */
  SeenObjects confirm_configuration(3: i64 known_version, 2: i32 max_age_ms),
  LimitLease lease_tokens(1: string account, 2: i32 wanted, 3: string router_id),
}
