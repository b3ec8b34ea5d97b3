# Messages between the agents of the VMs. For compatibility, fields are only
# ever added.
@0xb8f1c93d5e72a604;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniagauge::wire");

struct ExchangeDigest {
  bundleVersion @0 :UInt64;
  members @1 :List(UInt32);
  endpoints @2 :List(UInt32);
  moves @3 :List(UInt32);
}

struct ExchangeMember {
  name @0 :Text;
  zoneName @1 :Text;
  entryAddress @2 :Text;
  agentAddress @3 :Text;
  incarnation @4 :UInt64;
  heartbeat @5 :UInt64;
  bundleVersion @6 :UInt64;
  downAt @7 :UInt64;
  leaving @8 :Bool;
  metricsAddress @9 :Text;
}

struct ExchangeEndpoint {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  reportedAt @2 :UInt64;
  reported @3 :UInt64;
  leaving @4 :Bool;
  draining @5 :Bool;
}

struct ExchangeMove {
  id @0 :UInt64;
  fence @1 :UInt64;
  sharePermille @2 :UInt32;
  stage @3 :UInt8;
  bad @4 :Bool;
  evidence @5 :Text;
}

struct ExchangeBundle {
  version @0 :UInt64;
  digest @1 :Text;
  text @2 :Text;
}

struct ExchangeSwap {
  fromName @0 :Text;
  fromZone @1 :Text;
  held @2 :ExchangeDigest;
  beatKeys @3 :List(UInt32);
  # beatKeys, heartbeats and bundleVersions have the same length.

  heartbeats @4 :List(UInt32);
  bundleVersions @5 :List(UInt32);
  members @6 :List(ExchangeMember);
  endpoints @7 :List(ExchangeEndpoint);
  moves @8 :List(ExchangeMove);
  bundle @9 :ExchangeBundle;
  # Absent unless the receiver's bundle is older.
}

# Each agent serves it to the other agents.
interface Exchange {
  swap @0 (ask :ExchangeSwap) -> (answer :ExchangeSwap);
}
