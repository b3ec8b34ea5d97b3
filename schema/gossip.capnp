# What fronts tell each other several times a second, by datagrams. Fields are
# only ever added.
@0xd2a7f64c1b3e9058;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniagauge::wire");

struct FrontReport {
  node @0 :UInt64;            # Hash of the front's name.
  life @1 :UInt64;            # Random; another life is another process.
  beat @2 :UInt64;            # Rises with each report.
  loads @3 :List(FrontLoad);
  spent @4 :List(FrontSpent);
  evidence @6 :List(FrontEvidence);
  changesOnly @5 :Bool;       # Loads that aren't listed are as they were.
  mark @7 :UInt64;            # Of the newest row of operators it knows.
  digest @8 :UInt64;          # Of the back ends as it knows them.
  markAgeMs @9 :UInt32;       # Since each of them was surely the latest.
  digestAgeMs @10 :UInt32;
  ask @11 :Int64;             # A question: the asker's clock, to be echoed.
  echo @12 :Int64;            # An answer: the ask that it answers.
}

struct FrontEvidence {
  pool @0 :UInt64;
  version @1 :UInt64;
  backend @2 :UInt64;
  route @3 :UInt64;
  requests @4 :UInt64;        # Counts since this life began, as are the sums.
  failures @5 :UInt64;
  firstNanos @6 :UInt64;      # Sum over the requests that succeeded.
  totalNanos @7 :UInt64;
  units @8 :UInt64;
}

struct FrontLoad {
  backend @0 :UInt64;
  running @1 :UInt32;         # Calls of this front there.
  pendingTokens @2 :UInt32;   # Prompt tokens of those that haven't answered.
  eventMicros @3 :UInt32;     # Time for an event, as this front saw it; 0: unknown.
}

struct FrontSpent {
  workspace @0 :UInt64;
  total @1 :UInt64;           # Cost of all calls since this life began.
}
