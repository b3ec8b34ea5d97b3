# Messages between the processes of the system. For compatibility, fields are
# only ever added.
@0xd3a1f0c2b7e94586;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniagauge::wire");

struct AttemptId {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  number @2 :UInt32;
}

struct Ticket {
  attempt @0 :AttemptId;
  entry @1 :UInt64;
  pool @2 :UInt64;
  route @3 :UInt64;
  workspace @4 :UInt64;
  rank @5 :UInt8;
  promptTokens @6 :UInt32;
  outputTokens @7 :UInt32;
  prefixHash @8 :UInt64;
  timeLeftNanos @9 :Int64;
  avoid @10 :UInt64;
  zone @11 :UInt64;
  # The zone of the scheduler that the ticket is sent to.

  choice @12 :UInt8;
  moveTo @13 :UInt64;
}

struct GrantId {
  scheduler @0 :UInt64;
  incarnation @1 :UInt64;
  number @2 :UInt64;
}

struct Grant {
  id @0 :GrantId;
  attempt @1 :AttemptId;
  endpoint @2 :UInt64;
  version @3 :UInt64;
  tokens @4 :UInt32;
  issuedNanos @5 :Int64;
  ttlNanos @6 :Int64;
}

struct Answer {
  union {
    grant @0 :Grant;
    refusal @1 :UInt8;
  }
}

struct GrantReturn {
  id @0 :GrantId;
  attempt @1 :AttemptId;
  endpoint @2 :UInt64;
  promptTokens @3 :UInt32;
  outputTokens @4 :UInt32;
  cachedTokens @5 :UInt32;
  firstTokenNanos @6 :Int64;
  totalNanos @7 :Int64;
  dispatched @8 :Bool;
  refused @9 :Bool;
  broken @10 :Bool;
  cancelled @11 :Bool;
}

# Each entry serves it to the other entries.
interface Scheduler {
  submit @0 (ticket :Ticket) -> (answer :Answer);
  # Returns when the ticket is granted or refused.

  cancel @1 (attempt :AttemptId, pool :UInt64, zone :UInt64) -> ();
  giveBack @2 (returns :List(GrantReturn)) -> ();
  announce @3 (grants :List(Grant), entry :UInt64, pool :UInt64, zone :UInt64) -> ();

  ping @4 () -> (nowNanos :Int64, incarnation :UInt64);
  # The heartbeat of the connection. Returns the scheduler's monotonic clock.
}

struct Member {
  name @0 :Text;
  zoneName @1 :Text;
  entryAddress @2 :Text;
  agentAddress @3 :Text;
  incarnation @4 :UInt64;
  heartbeat @5 :UInt64;
  bundleVersion @6 :UInt64;
  state @7 :UInt8;
  metricsAddress @8 :Text;
}

struct EndpointState {
  id @0 :UInt64;
  leaving @1 :Bool;
  draining @2 :Bool;
  incarnation @3 :UInt64;
  hasReported @4 :Bool;
  reported @5 :UInt64;
  hasLoad @6 :Bool;
  loadAgeNanos @7 :Int64;
  running @8 :UInt32;
  waiting @9 :UInt32;
  tokensInFlight @10 :UInt32;
}

struct MoveState {
  id @0 :UInt64;
  fence @1 :UInt64;
  sharePermille @2 :UInt32;
  stage @3 :UInt8;
  bad @4 :Bool;
  evidence @5 :Text;
}

struct BundleText {
  version @0 :UInt64;
  digest @1 :Text;
  text @2 :Text;
  # Empty if the receiver has reported that it has this version.
}

struct BoardUpdate {
  bundle @0 :BundleText;
  members @1 :List(Member);
  endpoints @2 :List(EndpointState);
  moves @3 :List(MoveState);
}

struct EvidenceRow {
  pool @0 :UInt64;
  version @1 :UInt64;
  endpoint @2 :UInt64;
  route @3 :UInt64;
  load @4 :UInt8;
  requests @5 :UInt64;
  failures @6 :UInt64;
  firstTokenNanos @7 :UInt64;
  totalNanos @8 :UInt64;
  outputTokens @9 :UInt64;
}

struct BoardReport {
  bundleVersion @0 :UInt64;
  evidence @1 :List(EvidenceRow);
  badMoves @2 :List(MoveState);
  stopping @3 :Bool;
  inProgress @4 :UInt64;
}

# Each entry serves it to the agent of its VM. A call is both an update and the
# heartbeat of the connection.
interface EntryBoard {
  update @0 (update :BoardUpdate) -> (report :BoardReport);
}

# Each entry serves it at its RPC address.
interface Entry {
  scheduler @0 () -> (scheduler :Scheduler);
  board @1 () -> (board :EntryBoard);
}
