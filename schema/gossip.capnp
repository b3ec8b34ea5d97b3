# The reports that fronts send to each other several times per second as
# datagrams. For compatibility, fields are only ever added.
@0xd2a7f64c1b3e9058;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniagauge::wire");

struct FrontReport {
  node @0 :UInt64;            # Hash of the front's name.
  life @1 :UInt64;            # Random number of the process, new at each start.
  beat @2 :UInt64;            # Heartbeat; increases with each report.
  loads @3 :List(FrontLoad);
  spent @4 :List(FrontSpent);
  evidence @6 :List(FrontEvidence);
  changesOnly @5 :Bool;       # Loads that aren't listed are unchanged.
  mark @7 :UInt64;            # Version of the newest operators' row it knows.
  digest @8 :UInt64;          # Digest of the back ends that the sender knows.
  markAgeMs @9 :UInt32;       # Time since mark was known to be the latest.
  digestAgeMs @10 :UInt32;    # Time since digest was known to be the latest.
  ask @11 :Int64;             # Request for an echo: the sender's clock.
  echo @12 :Int64;            # The last ask of the receiver that reached the sender.
  kind @13 :UInt8;            # 0: group, 1: member, 2: summary.
  acked @14 :UInt64;          # Summary: the receiver's last report included.
  groupSize @15 :UInt32;      # Group: fronts that it sums up, the sender included.
  living @16 :UInt32;         # Summary: fronts alive as far as is known.
  heard @17 :UInt32;          # Summary: those of them that are heard.
  coordinators @18 :List(FrontCoordinator); # Full summary: all coordinators.
  vacantSlots @19 :List(FrontSlot);         # Full summary: free slots.
  moves @20 :List(FrontMove); # Summary: version moves, if movesKnown.
  movesKnown @21 :Bool;
  queues @22 :List(FrontQueue); # Pools for which calls wait.
  readableMs @23 :UInt32;     # How long it has read the list without an outage.
  echoLife @24 :UInt64;       # The life of the receiver that sent the echoed ask.
  crashes @25 :List(FrontCrash); # All that the sender knows, or nothing new.
  answers @26 :List(FrontAnswer);
  limits @27 :List(FrontLimit); # All that the sender knows, or nothing new.
  markEra @28 :UInt64;        # Era of the table service that mark belongs to.
  digestEra @29 :UInt64;      # Era in which the list of digest was read.
  cold @30 :List(FrontCold);  # All that the sender knows, or nothing new.
  relays @31 :List(FrontRelay); # Fronts that accept relayed calls, if relaysKnown.
  relaysKnown @32 :Bool;
  linkMbps @33 :UInt32;       # Bandwidth of the sender's link; 0: unknown.
}

struct FrontRelay {
  node @0 :UInt64;            # Hash of the front's name.
  zone @1 :UInt64;
  ip @2 :UInt32;
  port @3 :UInt16;
  token @4 :UInt64;           # Random number that relayed calls must state.
  unreached @5 :List(UInt64); # Pools whose back ends it can't reach.
}

struct FrontCold {
  backend @0 :UInt64;         # Was unreachable, so it may have started again.
  ageMs @1 :UInt32;           # Since the latest connection to it was lost.
  remainingMs @2 :UInt32;     # How much longer it is assumed to be cold.
}

struct FrontCrash {
  part @0 :UInt64;            # Of a prompt.
  crash @1 :UInt64;           # Hash of the back end's incarnation.
  call @2 :UInt64;            # Hash of the call's id.
  ageMs @3 :UInt32;
}

struct FrontAnswer {
  part @0 :UInt64;
  ageMs @1 :UInt32;           # Since the part was last answered.
}

struct FrontLimit {
  backend @0 :UInt64;
  milliPerSecond @1 :UInt32;  # Calls a second of all fronts; 0: no limit any more.
  ageMs @2 :UInt32;           # Since the back end said so.
}

struct FrontCoordinator {
  node @0 :Text;
  zone @1 :Text;
  ip @2 :UInt32;
  port @3 :UInt16;
}

struct FrontQueue {
  pool @0 :UInt64;
  waiting @1 :UInt32;
}

struct FrontSlot {
  key @0 :Text;
  row @1 :UInt64;             # Version that the row must have when it is taken.
  era @2 :UInt64;             # Era of the table service that row belongs to.
}

struct FrontMove {
  pool @0 :UInt64;
  id @1 :UInt64;
  version @2 :UInt64;
  stage @3 :UInt8;
  permille @4 :UInt16;
}

struct FrontEvidence {
  pool @0 :UInt64;
  version @1 :UInt64;
  backend @2 :UInt64;
  route @3 :UInt64;
  requests @4 :UInt64;        # Counts and sums start at 0 with the process.
  failures @5 :UInt64;
  firstNanos @6 :UInt64;      # Time to the first token, summed over successes.
  totalNanos @7 :UInt64;
  units @8 :UInt64;
  slow @9 :UInt64;            # Successes that took several times as long as usual.
}

struct FrontLoad {
  backend @0 :UInt64;
  running @1 :UInt32;         # Calls of this front at the back end.
  pendingTokens @2 :UInt32;   # Prompt tokens of calls without a response yet.
  eventMicros @3 :UInt32;     # Time per event, measured by this front; 0: unknown.
  # What the back end said of itself most recently, if it states its pace.
  saidRunning @4 :UInt32;
  saidWaiting @5 :UInt32;
  saidPace @6 :UInt32;        # Percent of the usual time; 0: states none.
  saidAgeMs @7 :UInt32;
}

struct FrontSpent {
  workspace @0 :UInt64;
  total @1 :UInt64;           # Cost of all calls since the process started.
}
