/**
 * Operator interface of a sequoiadrum router.
 *
 * Every router of the fleet serves these calls over TCP with framed transport and the binary
 * protocol.
 * Values are JSON documents whose fields are described in docs/operators.md.
 */
namespace py sequoiadrum._gen.operator

enum ObjectKind { ACCOUNT = 1, ROUTE = 2, ENDPOINT = 3, SETTING = 4 }

/** A configuration object: client account, route, endpoint declaration or fleet setting. */
struct ConfigObject {
  1: ObjectKind kind,
  2: string name,
  3: i64 version,
  4: string value_json,
  /** Id of the change that wrote this value. */
  5: string change_id,
}

struct ChangeResult {
  1: i64 revision,
  2: i64 version,
}

/** The object does not have the expected version; another change has replaced it. */
exception Conflict {
  1: string name,
  2: i64 expected_version,
  3: i64 found_version,
  4: string winning_change_id,
}

/** The call is invalid or not allowed; retrying it unchanged does not help. */
exception Refused {
  1: string reason,
  2: string detail,
}

/** The call was not executed because a system that it depends on is unreachable. */
exception Unavailable {
  1: string reason,
  2: i32 retry_after_ms,
}

/** The call may have taken effect; reading the object shows whether it did. */
exception UnknownOutcome {
  1: string change_id,
  2: string detail,
}

struct MemberStatus {
  1: string id,
  2: string host,
  3: i32 http_port,
  4: string failure_domain,
  5: string region,
  6: string state,
  7: i64 config_revision,
  8: i64 process_id,
}

struct ConfigStatus {
  1: i64 revision,
  2: i64 platform_revision,
  3: i32 routers_alive,
  4: i32 routers_in_force,
  5: list<string> routers_behind,
}

struct EndpointStatus {
  1: string id,
  2: string pool,
  3: string kind,
  4: string host,
  5: i32 port,
  6: string failure_domain,
  7: string state,
  8: double in_flight,
  9: double reported_load,
  10: bool checks_fencing,
}

struct PoolStatus {
  1: string pool,
  2: string owner_id,
  3: double mean_in_flight,
  4: double max_over_mean,
  5: i32 queued,
  6: list<EndpointStatus> endpoints,
}

struct PlanStep {
  1: string name,
  2: string state,
  3: string detail,
}

struct PlanStatus {
  1: string id,
  2: string kind,
  3: string endpoint_id,
  4: string state,
  5: string driver_id,
  6: i64 fencing_number,
  7: list<PlanStep> steps,
  8: optional string target_id,
  9: string detail,
}

service Operator {
  /** Creates or replaces an object. `expected_version` 0: the object must not exist; -1: any version. */
  ChangeResult put_object(1: ConfigObject object, 2: i64 expected_version, 3: string change_id)
    throws (1: Conflict conflict, 2: Refused refused, 3: Unavailable unavailable, 4: UnknownOutcome unknown),
  ChangeResult delete_object(1: ObjectKind kind, 2: string name, 3: i64 expected_version, 4: string change_id)
    throws (1: Conflict conflict, 2: Refused refused, 3: Unavailable unavailable, 4: UnknownOutcome unknown),
  ConfigObject get_object(1: ObjectKind kind, 2: string name)
    throws (1: Refused refused, 2: Unavailable unavailable),
  list<ConfigObject> list_objects(1: ObjectKind kind, 2: string name_prefix, 3: i32 limit)
    throws (1: Refused refused, 2: Unavailable unavailable),
  /** Returns a change if it is the newest one of its object here; refused as `not_found` if not. */
  ChangeResult find_change(1: ObjectKind kind, 2: string name, 3: string change_id)
    throws (1: Refused refused, 2: Unavailable unavailable),
  /** Returns the revision in force on this router, and how many routers have `revision` (0: newest). */
  ConfigStatus config_status(1: i64 revision) throws (1: Refused refused, 2: Unavailable unavailable),
  list<MemberStatus> fleet_status() throws (1: Unavailable unavailable),
  PoolStatus pool_status(1: string pool) throws (1: Refused refused, 2: Unavailable unavailable),
  /** Creates a drain plan (`kind` "drain") or a move plan ("move", with `target_id`). */
  PlanStatus create_plan(1: string id, 2: string kind, 3: string endpoint_id, 4: string target_id)
    throws (1: Conflict conflict, 2: Refused refused, 3: Unavailable unavailable, 4: UnknownOutcome unknown),
  PlanStatus abort_plan(1: string id)
    throws (1: Conflict conflict, 2: Refused refused, 3: Unavailable unavailable, 4: UnknownOutcome unknown),
  PlanStatus get_plan(1: string id) throws (1: Refused refused, 2: Unavailable unavailable),
  list<PlanStatus> list_plans() throws (1: Refused refused, 2: Unavailable unavailable),
  /** Returns the counters and histogram summaries of the router that receives the call. */
  map<string, double> counters() throws (1: Unavailable unavailable),
}
