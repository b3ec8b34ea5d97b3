// Tests of version moves of pools: the record, and the share of the new
// version.
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/decide/random.h"
#include "zinniagauge/decide/share_gate.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

VersionMoveOrder order(Duration limit = seconds(20)) {
  VersionMoveOrder o;
  o.PoolName = "pool";
  o.Pool = PoolId::of(o.PoolName);
  o.Label = "v2";
  o.NewVersion = VersionId::of(o.Label);
  o.TimeLimit = limit;
  o.Row = {1, 7};
  return o;
}

MoveRecord running(std::int64_t beganms) {
  MoveRecord r;
  r.Stage = MoveStage::Moving;
  r.Label = "v2";
  r.Order = r.OrderRow = {1, 7};
  r.StartedMs = beganms;
  r.RowVersion = 9;
  return r;
}

TrialVerdict trusted() { return {{}, true, true}; }

TrialVerdict bad() { return {"fails", false, true}; }

} // namespace

TEST_CASE("an order without a record of its own starts one", "[move]") {
  const auto first = nextMoveRecord(order(), {}, 5000, {});
  REQUIRE(first);
  CHECK(first->Stage == MoveStage::Moving);
  CHECK(first->StartedMs == 5000);
  MoveRecord old = running(1);
  old.Order = old.OrderRow = {1, 3};
  old.Stage = MoveStage::Completed;
  const auto next = nextMoveRecord(order(), old, 6000, {});
  REQUIRE(next);
  CHECK(next->Stage == MoveStage::Moving);
  CHECK(next->RowVersion == old.RowVersion); // The condition of the write.
}

TEST_CASE("a good version is completed before its time limit", "[move]") {
  CHECK_FALSE(nextMoveRecord(order(), running(1000), 10'000, {}));
  const auto end = nextMoveRecord(order(), running(1000), 19'600, trusted());
  REQUIRE(end);
  CHECK(end->Stage == MoveStage::Completed);
}

TEST_CASE("a version of which too little is known isn't kept", "[move]") {
  const TrialVerdict open;
  CHECK_FALSE(nextMoveRecord(order(), running(1000), 18'400, open));
  const auto end = nextMoveRecord(order(), running(1000), 18'600, open);
  REQUIRE(end);
  CHECK(end->Stage == MoveStage::RolledBack);
  // It never gets all calls, also if the record can't be written.
  for (int ms = 0; ms <= 20'000; ms += 100)
    CHECK(newVersionShareAt(order(), MoveStage::Moving, milliseconds(ms), {},
                            open) < 100);
  // A process that doesn't hear the others leaves the decision to them.
  CHECK_FALSE(
      nextMoveRecord(order(), running(1000), 19'600, {{}, false, false}));
}

TEST_CASE("a process that doesn't hear the others widens no share", "[move]") {
  TrialVerdict alone = trusted();
  alone.Informed = false;
  for (int ms = 0; ms <= 20'000; ms += 100)
    CHECK(newVersionShareAt(order(), MoveStage::Moving, milliseconds(ms), {},
                            alone) < 100);
  CHECK_FALSE(nextMoveRecord(order(), running(1000), 19'600, alone));
  // A fault that it finds by itself ends the move.
  alone.BadReason = "fails";
  CHECK(nextMoveRecord(order(), running(1000), 4000, alone));
}

TEST_CASE("the first calls of a move show the new version early", "[move]") {
  const ExposureLimits lim{0.1, 50};
  constexpr std::uint32_t Processes = 6;
  std::vector<VersionSplit> splits(Processes);
  const PoolMove move{PoolId{1}, MoveId{2}, VersionId{3}, MoveStage::Moving,
                      60};
  int tonewcount = 0;
  for (int n = 1; n <= 600; ++n) {
    VersionSplit &split = splits[static_cast<std::size_t>(n) % Processes];
    const bool tonew =
        goesToNewVersion(split, move, earlyCalls(lim, Processes));
    countSent(split, move, tonew);
    tonewcount += tonew ? 1 : 0;
    REQUIRE(tonewcount <= lim.Share * n + lim.Slack);
    if (n <= 48)
      CHECK(tonewcount == 0);
    if (n == 120)
      CHECK(tonewcount >= 30);
  }
  CHECK(earlyCalls(lim, 300) == 0);
}

TEST_CASE("a process that restarts during a move sends no early calls again",
          "[move]") {
  const ExposureLimits lim{0.1, 50};
  const PoolMove move{PoolId{1}, MoveId{2}, VersionId{3}, MoveStage::Moving,
                      60};
  VersionSplit split;
  recordMoveSeen(split, move, seconds(60), 6);
  CHECK(ownEarlyCalls(lim, split) == 6);
  // Fewer fronts are heard.
  recordMoveSeen(split, move, seconds(61), 1);
  CHECK(ownEarlyCalls(lim, split) == 6);
  VersionSplit again;
  recordMoveSeen(again, move, seconds(1), 6);
  recordMoveSeen(again, move, seconds(20), 6);
  CHECK(ownEarlyCalls(lim, again) == 0);
  // The next move is new to it.
  PoolMove next = move;
  next.Id = MoveId{3};
  recordMoveSeen(again, next, seconds(30), 6);
  CHECK(ownEarlyCalls(lim, again) == 6);
}

TEST_CASE("a bad version is rolled back at once", "[move]") {
  const auto end = nextMoveRecord(order(), running(1000), 4000, bad());
  REQUIRE(end);
  CHECK(end->Stage == MoveStage::RolledBack);
  CHECK(end->RollbackReason == "fails");
}

TEST_CASE("a move that has ended isn't changed", "[move]") {
  MoveRecord r = running(1000);
  r.Stage = MoveStage::RolledBack;
  CHECK_FALSE(nextMoveRecord(order(), r, 19'900, {}));
  r.Stage = MoveStage::Completed;
  CHECK_FALSE(nextMoveRecord(order(), r, 19'900, bad()));
}

TEST_CASE("over a whole move a bad version gets less than a tenth", "[move]") {
  for (const int limit : {8, 12, 20, 40}) {
    const VersionMoveOrder o = order(seconds(limit));
    double sharesum = 0;
    const int steps = limit * 100;
    for (int n = 0; n < steps; ++n)
      sharesum += newVersionShareAt(o, MoveStage::Moving, milliseconds(n * 10),
                                    {}, trusted());
    // Operators allow fifty requests beyond the tenth. Here they only cover the
    // time in which the record is written.
    const double last =
        1.5 * 100 * FullSharePermille; // Until the record completes the move.
    CHECK((sharesum - last) / (steps * double{FullSharePermille}) < 0.115);
  }
}

TEST_CASE("a process keeps to the share at every moment", "[move]") {
  VersionSplit split;
  PoolMove move{PoolId{1}, MoveId{2}, VersionId{3}, MoveStage::Moving, 60};
  std::uint64_t all = 0;
  std::uint64_t tonewcount = 0;
  for (int n = 0; n < 5000; ++n) {
    const bool tonew = goesToNewVersion(split, move, 0);
    countSent(split, move, tonew);
    ++all;
    tonewcount += tonew ? 1 : 0;
    REQUIRE(tonewcount * FullSharePermille <= all * move.SharePermille);
  }
  CHECK(tonewcount > 250);
  move.SharePermille = 0;
  CHECK_FALSE(goesToNewVersion(split, move, 0));
  move.SharePermille = FullSharePermille;
  CHECK(goesToNewVersion(split, move, 0));
}

TEST_CASE("the counts of a pool are dropped once its move has ended",
          "[move]") {
  std::map<VersionStatsKey, VersionStatsCounts> stats;
  for (const char *name : {"moving", "done", "never"}) {
    VersionStatsKey key;
    key.Pool = PoolId::of(name);
    stats[key].Requests = 3;
  }
  PoolMoveList moves;
  moves.List = {{PoolId::of("moving"), {}, {}, MoveStage::Moving, 60},
                {PoolId::of("done"), {}, {}, MoveStage::Completed, 1000}};
  dropEndedMoveStats(stats, moves);
  REQUIRE(stats.size() == 1);
  CHECK(stats.begin()->first.Pool == PoolId::of("moving"));
}

namespace {

/// The order of order(), written again in era 2 with row number \p number.
VersionMoveOrder writtenAgain(std::uint64_t number) {
  VersionMoveOrder o = order();
  o.Row = {2, number};
  return o;
}

MoveRecord ended(MoveStage stage) {
  MoveRecord r = running(1000);
  r.Stage = stage;
  return r;
}

} // namespace

TEST_CASE("an order that is written again after a restore is the same order",
          "[move][restore]") {
  CHECK(isSameOrder(order(), writtenAgain(4), true));
  CHECK(isSameOrder(order(), writtenAgain(4), false));
  // In the same era it is a new order, unless operators still write again what
  // was lost.
  CHECK_FALSE(isSameOrder(writtenAgain(4), writtenAgain(9), false));
  CHECK(isSameOrder(writtenAgain(4), writtenAgain(9), true));
  VersionMoveOrder other = writtenAgain(4);
  other.Label = "v3";
  CHECK_FALSE(isSameOrder(order(), other, true));
  other = writtenAgain(4);
  other.TimeLimit = seconds(9);
  CHECK_FALSE(isSameOrder(order(), other, true));
}

TEST_CASE("a lost record is written again as it was", "[move][restore]") {
  const MoveRecord known = ended(MoveStage::RolledBack);
  const MoveRecord out = newerRecord(writtenAgain(4), known, {});
  CHECK(out.Stage == MoveStage::RolledBack);
  CHECK(out.StartedMs == known.StartedMs);
  CHECK(out.RowVersion == 0); // The condition of the write.
  CHECK(out.OrderRow == TableVersion{2, 4});
  CHECK(moveIdOf(writtenAgain(4), out) == moveIdOf(order(), known));
  CHECK_FALSE(nextMoveRecord(writtenAgain(4), out, 9000, {}));
}

TEST_CASE("a copy's record of an earlier stage doesn't undo a decision",
          "[move][restore]") {
  for (const MoveStage stage : {MoveStage::Completed, MoveStage::RolledBack}) {
    MoveRecord copy = running(1000);
    copy.RowVersion = 6;
    const MoveRecord out = newerRecord(writtenAgain(4), ended(stage), copy);
    CHECK(out.Stage == stage);
    CHECK(out.RowVersion == 6);
    // Nor does a process that knew only the start keep it from being read.
    CHECK(newerRecord(writtenAgain(4), copy, out).Stage == stage);
  }
}

TEST_CASE("processes with different records of an order agree on one",
          "[move][restore]") {
  std::vector<MoveRecord> records;
  for (const MoveStage stage :
       {MoveStage::Moving, MoveStage::Completed, MoveStage::RolledBack})
    for (const std::int64_t started : {1000, 4000}) {
      records.push_back(running(started));
      records.back().Stage = stage;
    }
  for (const MoveRecord &a : records)
    for (const MoveRecord &b : records) {
      const MoveRecord one = newerRecord(order(), a, b);
      const MoveRecord other = newerRecord(order(), b, a);
      CHECK(one.Stage == other.Stage);
      CHECK(one.StartedMs == other.StartedMs);
      // A process that has read what the other wrote writes nothing more.
      CHECK(newerRecord(order(), a, other) == other);
      CHECK(newerRecord(order(), b, other) == other);
    }
}

TEST_CASE("a new order of a version that was rolled back begins a move",
          "[move][restore]") {
  MoveRecord rec = ended(MoveStage::RolledBack);
  rec.OrderRow = {2, 4};
  CHECK_FALSE(isRecordOf(rec, writtenAgain(9)));
  CHECK(nextMoveRecord(writtenAgain(9), rec, 9000, {})->Stage ==
        MoveStage::Moving);
  // A process that hasn't read the order again yet knows whose record it is.
  CHECK(isRecordOf(rec, order()));
  CHECK(isRecordOf(rec, writtenAgain(3)));
}
