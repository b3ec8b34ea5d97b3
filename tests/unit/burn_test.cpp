// Tests of the service-level burn computation.
#include "zinniagauge/decide/burn.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <deque>

using namespace zinniagauge;

namespace {

Time minute(std::int64_t n) { return Time(std::chrono::minutes(n)); }

/// The counts after \p total requests, \p good of them good.
TierCounts countsOf(std::uint64_t total, std::uint64_t good) {
  TierCounts out{};
  out[0] = {total, good};
  return out;
}

} // namespace

TEST_CASE("counters are read by tier", "[burn]") {
  Counters counts;
  counts.ByTier[1].ByOutcome[0].add(3);
  counts.ByTier[1].ByOutcome[3].add(2);
  counts.ByTier[1].Good.add(2);
  const TierCounts read = readTierCounts(counts);
  CHECK(read[1].Total == 5);
  CHECK(read[1].Good == 2);
  CHECK(read[0].Total == 0);
}

TEST_CASE("windows contain only their own minutes", "[burn]") {
  BurnHistory hist;
  updateBurnHistory(hist, countsOf(10, 10), minute(100));
  updateBurnHistory(hist, countsOf(20, 15), minute(100));
  updateBurnHistory(hist, countsOf(26, 21), minute(104));
  const auto now = windowCounts(hist, Tier{0});
  CHECK(now[0].Total == 26);
  CHECK(now[0].Good == 21);
  updateBurnHistory(hist, countsOf(26, 21), minute(105));
  CHECK(historyMinutes(hist) == 6);
  CHECK(windowCounts(hist, Tier{0})[0].Total == 6);
  CHECK(windowCounts(hist, Tier{0})[1].Total == 26);
  updateBurnHistory(hist, countsOf(26, 21), minute(459));
  CHECK(windowCounts(hist, Tier{0})[3].Total == 26);
  updateBurnHistory(hist, countsOf(26, 21), minute(460));
  CHECK(windowCounts(hist, Tier{0})[3].Total == 6);
  updateBurnHistory(hist, countsOf(30, 22), minute(9000));
  CHECK(windowCounts(hist, Tier{0})[3].Total == 4);
  CHECK(historyMinutes(hist) == BurnHistoryMinutes);
  CHECK(historyMinutes(BurnHistory{}) == 0);
}

TEST_CASE("burn is the bad fraction over the allowed fraction", "[burn]") {
  CHECK(burnRate({100, 99}, 0.99) == Approx(1.0));
  CHECK(burnRate({100, 50}, 0.9) == Approx(5.0));
  CHECK(burnRate({100, 100}, 0.99) == 0);
  CHECK(burnRate({0, 0}, 0.99) == 0);
  CHECK(burnRate({100, 100}, 1) == 0);
  CHECK(burnRate({100, 99}, 1) > FastBurn);
}

TEST_CASE("a verdict needs the long window and the short one", "[burn]") {
  const TierCount good{1000, 1000};
  const TierCount bad{1000, 800};  // Burn 20 at 0.99.
  const TierCount poor{1000, 930}; // Burn 7.
  CHECK(burnAlertOf({good, good, good, good}, 0.99) == BurnAlert::Ok);
  CHECK(burnAlertOf({bad, bad, bad, good}, 0.99) == BurnAlert::Fast);
  CHECK(burnAlertOf({good, bad, bad, good}, 0.99) == BurnAlert::Ok);
  CHECK(burnAlertOf({poor, poor, poor, poor}, 0.99) == BurnAlert::Slow);
  CHECK(burnAlertOf({poor, good, poor, poor}, 0.99) == BurnAlert::Ok);
}

TEST_CASE("the windows of several nodes are added up", "[burn]") {
  WindowCounts sum{};
  const WindowCounts one = {{{1, 1}, {2, 1}, {3, 1}, {4, 1}}};
  addWindowCounts(sum, one);
  addWindowCounts(sum, one);
  CHECK(sum[3].Total == 8);
  CHECK(sum[3].Good == 2);
}

TEST_CASE("the ring agrees with a plain list of minutes", "[burn][random]") {
  const bool agrees = rc::check("ring and list", [] {
    BurnHistory hist;
    std::deque<std::pair<std::int64_t, std::uint64_t>> list;
    TierCounts counts{};
    std::int64_t at = 0;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      at += *rc::gen::inRange(0, 200);
      const auto n = *rc::gen::inRange<std::uint64_t>(0, 50);
      counts[0].Total += n;
      list.emplace_back(at, n);
      updateBurnHistory(hist, counts, minute(at));
      const auto got = windowCounts(hist, Tier{0});
      for (std::size_t w = 0; w < BurnWindowMinutes.size(); ++w) {
        std::uint64_t sum = 0;
        for (const auto &[when, count] : list)
          sum += when > at - BurnWindowMinutes[w] ? count : 0;
        RC_ASSERT(got[w].Total == sum);
      }
    }
  });
  CHECK(agrees);
}
