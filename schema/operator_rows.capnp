# Rows of the operators' table that a front passes on to another one. For
# compatibility, fields are only ever added.
@0xa1c4e07d52b8f36b;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniagauge::wire");

struct OperatorRows {
  era @0 :UInt64;             # Of the table service, to which all versions belong.
  readUpTo @1 :UInt64;        # The rows are all that changed up to this version.
  rows @2 :List(OperatorRow);
  liveKeys @3 :List(Text);    # Of all rows that exist.
}

struct OperatorRow {
  key @0 :Text;
  version @1 :UInt64;
  deleted @2 :Bool;
  base @3 :UInt64;            # Version that the patches start from; 0: an empty value.
  patches @4 :List(OperatorRowPatch); # To be applied in order.
}

struct OperatorRowPatch {
  to @0 :UInt64;              # Version that it leads to.
  bytes @1 :Data;
}
