// Tests of the split of workspace allowances over processes, and of their
// buckets.
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PlanWorkspace workspace(double rate, double burst) {
  PlanWorkspace w;
  w.Name.push_back('w'); // An assignment trips GCC 12's -Wrestrict.
  w.Id = WorkspaceId::of(w.Name);
  w.CountsTokens = true;
  w.RatePerSecond = rate;
  w.Burst = burst;
  return w;
}

PeerDemand peer(const char *name, std::uint64_t beat, double cost) {
  return {name, {}, 1, beat, {{WorkspaceId::of("w"), cost}}};
}

double shareIn(const AllowanceShares &sh) {
  return sh.List.empty() ? sh.DefaultShare : sh.List.front().Share;
}

} // namespace

TEST_CASE("shares of all processes add up to one", "[allowance]") {
  PeerDemandTable table;
  const std::vector<PeerDemand> read = {peer("a", 1, 100), peer("b", 1, 0),
                                        peer("c", 1, 300)};
  updatePeers(table, read, Time(seconds(1)));
  double sum = 0;
  for (const char *name : {"a", "b", "c"})
    // Demand measured now doesn't count until all processes have read it.
    sum += shareIn(computeShares(
        table, name, std::vector<Demand>{{WorkspaceId::of("w"), 9999}}));
  CHECK(sum == Approx(1.0));
}

TEST_CASE("a process without demand keeps a part of its even share",
          "[allowance]") {
  PeerDemandTable table;
  const std::vector<PeerDemand> read = {peer("a", 1, 100), peer("b", 1, 0)};
  updatePeers(table, read, Time(seconds(1)));
  CHECK(shareIn(computeShares(table, "b", {})) ==
        Approx(EvenShareFraction / 2));
}

TEST_CASE("a process that publishes nothing counts until it can't serve keys "
          "any more",
          "[allowance]") {
  PeerDemandTable table;
  updatePeers(table, std::vector{peer("a", 1, 1), peer("b", 1, 1)},
              Time(seconds(1)));
  updatePeers(table, std::vector{peer("a", 2, 1), peer("b", 1, 1)},
              Time(seconds(9)));
  CHECK(computeShares(table, "a", {}).AliveProcesses == 2);
  updatePeers(table, std::vector{peer("a", 3, 1), peer("b", 1, 1)},
              Time(seconds(11)));
  CHECK(computeShares(table, "a", {}).AliveProcesses == 1);
}

TEST_CASE("the cost spent in any window stays within the tolerance",
          "[allowance]") {
  const AllowanceMargin margin{seconds(8), 0.1, 140'000};
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double limit = (90'000.0 * 8 + 90'000) * 1.1 + 140'000;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::uint64_t rnd = seed;
    AllowanceState bucket;
    std::deque<std::pair<Time, double>> spent;
    double sum = 0;
    Time now(seconds(10));
    for (int n = 0; n < 4000; ++n) {
      now += milliseconds(randomBelow(rnd, 40));
      const double cost = 200.0 + static_cast<double>(randomBelow(rnd, 30'000));
      if (takeAllowance(bucket, ws, 1.0, {}, margin, cost, now))
        continue;
      spent.emplace_back(now, cost);
      sum += cost;
      while (now - spent.front().first > margin.Window) {
        sum -= spent.front().second;
        spent.pop_front();
      }
      REQUIRE(sum <= limit);
    }
  }
}

TEST_CASE("cost within the limit isn't refused", "[allowance]") {
  const AllowanceMargin margin{seconds(8), 0.1, 140'000};
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState bucket;
  Time now(seconds(10));
  for (int n = 0; n < 2000; ++n) {
    now += milliseconds(100);
    REQUIRE_FALSE(takeAllowance(bucket, ws, 1.0, {}, margin, 9'000, now));
  }
}

TEST_CASE("a workspace without a limit is never refused", "[allowance]") {
  AllowanceState bucket;
  CHECK_FALSE(
      takeAllowance(bucket, workspace(0, 0), 0, {}, {}, 1e9, Time(seconds(1))));
}

TEST_CASE("while all peers report, the cost spent by all decides",
          "[allowance]") {
  const AllowanceMargin margin{seconds(8), 0.1, 140'000};
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double size = bucketSize(ws, margin);
  AllowanceState st;
  const Time now(seconds(10));
  // A share of a tenth doesn't limit while the others leave enough.
  CHECK_FALSE(takeAllowance(st, ws, 0.1, {true, 0}, margin, size / 2, now));
  // Cost that is reported again is charged only once.
  const auto peers = static_cast<std::uint64_t>(size / 2);
  CHECK(takeAllowance(st, ws, 0.1, {true, peers}, margin, 1000, now));
  CHECK(takeAllowance(st, ws, 0.1, {true, peers}, margin, 1000, now));
  CHECK_FALSE(takeAllowance(st, ws, 0.1, {true, peers}, margin, 1000,
                            now + seconds(1)));
}

TEST_CASE("a process without reports from peers spends only its share",
          "[allowance]") {
  const AllowanceMargin margin{seconds(8), 0.1, 140'000};
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double size = bucketSize(ws, margin);
  AllowanceState st;
  const Time now(seconds(10));
  CHECK_FALSE(takeAllowance(st, ws, 0.1, {false, 0}, margin, size / 20, now));
  CHECK(takeAllowance(st, ws, 0.1, {false, 0}, margin, size / 12, now));
}

TEST_CASE("a process that joins isn't charged for cost spent before",
          "[allowance]") {
  const AllowanceMargin margin{seconds(8), 0.1, 140'000};
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  const Time now(seconds(10));
  const PeerSpending past{true, 0, 50'000'000};
  CHECK_FALSE(takeAllowance(st, ws, 0.2, past, margin, 5'000, now));
  // Cost reported after that is charged.
  const PeerSpending later{true, 1'000'000, 50'000'000};
  CHECK(takeAllowance(st, ws, 0.2, later, margin, 5'000, now));
}

TEST_CASE(
    "calls before the first peer reports leave no debt in the global bucket",
    "[allowance]") {
  const AllowanceMargin margin{seconds(8), 0.1, 140'000};
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double size = bucketSize(ws, margin);
  AllowanceState st;
  const Time now(seconds(10));
  // Without reports its share applies, and the level of the global bucket isn't
  // known.
  CHECK_FALSE(takeAllowance(st, ws, 0.05, {}, margin, 100, now));
  // Once peers report, it has the initial level of a process that joins, less
  // the cost of this call.
  const PeerSpending heard{true, 0, 50'000'000};
  CHECK_FALSE(takeAllowance(st, ws, 0.05, heard, margin, 100, now));
  CHECK(st.GlobalBucket.Level ==
        Approx(size * InitialLevelFraction).epsilon(0.01));
}
