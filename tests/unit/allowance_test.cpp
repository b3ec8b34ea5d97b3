// Tests of workspace allowances over processes that hear all others, or only
// some of them.
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

PeerSpending heard(std::uint64_t total = 0, std::uint64_t before = 0) {
  return {1.0, total, before};
}

constexpr AllowanceMargin Margin{seconds(8), 0.1, 140'000};

/// Processes in zones that may be cut off from each other. What one process
/// spends is known to those that it can reach after ReportDelay; a cut is
/// noticed after PeerReportTimeout.
struct Fleet {
  static constexpr Duration ReportDelay = milliseconds(80);
  struct Spend {
    Time At;
    std::size_t Process = 0;
    double Cost = 0;
  };

  Fleet(std::size_t processes, std::size_t zones, PlanWorkspace workspace)
      : Ws(std::move(workspace)), Buckets(processes), Zones(zones),
        TotalAtStart(processes), CutSince(zones), IsCut(zones) {}

  [[nodiscard]] std::size_t zoneOf(std::size_t process) const {
    return process % Zones;
  }

  /// Whether \p a knows at \p now what \p b reported at \p at.
  [[nodiscard]] bool knows(std::size_t a, std::size_t b, Time at,
                           Time now) const {
    if (at + ReportDelay > now)
      return false;
    const std::size_t za = zoneOf(a);
    const std::size_t zb = zoneOf(b);
    if (za == zb)
      return true;
    const auto blocked = [&](std::size_t z) {
      return IsCut[z] && at + ReportDelay > CutSince[z];
    };
    return !blocked(za) && !blocked(zb);
  }

  [[nodiscard]] PeerSpending viewOf(std::size_t a, Time now) const {
    double total = 0;
    for (std::size_t b = 0; b < Buckets.size(); ++b) {
      if (b == a)
        continue;
      // Totals are monotone: the newest known entry stands for those before.
      double sum = 0;
      double known = 0;
      for (const Spend &s : History)
        if (s.Process == b) {
          sum += s.Cost;
          if (knows(a, b, s.At, now))
            known = sum;
        }
      total += known;
    }
    std::size_t reached = 0;
    for (std::size_t b = 0; b < Buckets.size(); ++b) {
      const std::size_t za = zoneOf(a);
      const std::size_t zb = zoneOf(b);
      const auto noticed = [&](std::size_t z) {
        return IsCut[z] && now - CutSince[z] > PeerReportTimeout;
      };
      reached += za == zb || (!noticed(za) && !noticed(zb)) ? 1 : 0;
    }
    const auto before = static_cast<std::uint64_t>(TotalAtStart[a]);
    return {static_cast<double>(reached) / static_cast<double>(Buckets.size()),
            static_cast<std::uint64_t>(total) - before, before};
  }

  /// Process \p a restarts: it knows nothing but what the others report.
  void restart(std::size_t a, Time now) {
    TotalAtStart[a] = 0;
    TotalAtStart[a] = static_cast<double>(viewOf(a, now).Total);
    Buckets[a] = {};
  }

  /// Updates the buckets of all processes, as these do every half a second.
  void updateAll(Time now) {
    if (now - UpdatedAt < milliseconds(500))
      return;
    UpdatedAt = now;
    for (std::size_t a = 0; a < Buckets.size(); ++a)
      updateAllowance(Buckets[a], Ws, viewOf(a, now), Margin, now);
  }

  bool take(std::size_t a, double cost, Time now) {
    updateAll(now);
    if (takeAllowance(Buckets[a], Ws, viewOf(a, now), Margin, cost, now))
      return false;
    History.push_back({now, a, cost});
    return true;
  }

  [[nodiscard]] double spentSince(Time from) const {
    double sum = 0;
    for (const Spend &s : History)
      if (s.At >= from)
        sum += s.Cost;
    return sum;
  }

  PlanWorkspace Ws;
  std::vector<AllowanceState> Buckets;
  std::size_t Zones;
  std::vector<double> TotalAtStart; // What peers had spent then, by process.
  std::vector<Time> CutSince;
  std::vector<bool> IsCut;
  std::vector<Spend> History;
  Time UpdatedAt;
};

} // namespace

TEST_CASE("cut zones and restarted processes together stay within the limit of "
          "any window",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double limit = (90'000.0 * 8 + 90'000) * 1.1 + 140'000;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::uint64_t rnd = seed;
    Fleet fleet(9, 3, ws);
    Time now(seconds(10));
    for (int n = 0; n < 700; ++n) {
      now += milliseconds(randomBelow(rnd, 60));
      if (randomBelow(rnd, 60) == 0) {
        const std::size_t zone = randomBelow(rnd, fleet.Zones);
        fleet.IsCut[zone] = !fleet.IsCut[zone];
        fleet.CutSince[zone] = now;
      }
      if (randomBelow(rnd, 40) == 0)
        fleet.restart(randomBelow(rnd, fleet.Buckets.size()), now);
      // Demand is about twice the limit, and moves between zones.
      const std::size_t process =
          randomBelow(rnd, 3) * 3 + static_cast<std::size_t>(n / 100) % 3;
      const double cost = 1000.0 + static_cast<double>(randomBelow(rnd, 9000));
      static_cast<void>(fleet.take(process, cost, now));
      INFO("seed " << seed << ", step " << n);
      REQUIRE(fleet.spentSince(now - Margin.Window) <= limit);
    }
  }
}

TEST_CASE("a cut zone spends its fraction, and a second after it returns no "
          "process is refused",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  Fleet fleet(9, 3, ws);
  Time now(seconds(10));
  const auto serve = [&](Duration span, double fraction) {
    // All processes have equal demand: \p fraction of the limit in all.
    const Time end = now + span;
    int refused = 0;
    for (std::size_t n = 0; now < end; ++n, now += milliseconds(10))
      refused += fleet.take(n % 9, 900 * fraction, now) ? 0 : 1;
    return refused;
  };
  CHECK(serve(seconds(4), 0.8) == 0);
  fleet.IsCut[0] = true;
  fleet.CutSince[0] = now;
  // Each side may spend its part, which its equal demand doesn't exceed.
  CHECK(serve(seconds(6), 0.8) == 0);
  fleet.IsCut[0] = false;
  static_cast<void>(serve(seconds(1), 0.8));
  CHECK(serve(seconds(4), 0.8) == 0);
}

TEST_CASE("a process that rarely serves a workspace knows its true level",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  Time now(seconds(10));
  initAllowance(st, ws, heard(), Margin, now);
  // The others spend half of the rate for a minute.
  std::uint64_t total = 0;
  for (int n = 0; n < 120; ++n) {
    now += milliseconds(500);
    total += 22'500;
    updateAllowance(st, ws, heard(total), Margin, now);
  }
  CHECK_FALSE(takeAllowance(st, ws, heard(total), Margin, 9'000, now));
}

TEST_CASE("a call that is refused after it was charged costs nothing",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  const Time now(seconds(10));
  initAllowance(st, ws, heard(), Margin, now);
  const double before = st.Level;
  for (const double fraction : {1.0, 0.25}) {
    const PeerSpending peers{fraction, 0, 0};
    for (int n = 0; n < 50; ++n) {
      REQUIRE_FALSE(takeAllowance(st, ws, peers, Margin, 9'000, now));
      refundAllowance(st, 9'000);
    }
    CHECK(st.Level == Approx(before));
  }
  // Peers are told of nothing until the call is sent.
  CHECK(st.SpentTotal == 0);
  recordSpent(st, 9'000);
  CHECK(st.SpentTotal == 9'000);
}

TEST_CASE("a debt is paid off within the time of a bucket", "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  Time now(seconds(10));
  initAllowance(st, ws, heard(), Margin, now);
  updateAllowance(st, ws, heard(50'000'000), Margin, now);
  CHECK(takeAllowance(st, ws, heard(50'000'000), Margin, 1'000, now));
  now += milliseconds(3200); // The bucket holds 2.9 s of the rate.
  updateAllowance(st, ws, heard(50'000'000), Margin, now);
  CHECK_FALSE(takeAllowance(st, ws, heard(50'000'000), Margin, 1'000, now));
}

TEST_CASE("a process that was alone recovers as soon as it is heard again",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  Time now(seconds(10));
  initAllowance(st, ws, heard(), Margin, now);
  now += seconds(10);
  // One of 300: a single call uses up many times its share.
  static_cast<void>(
      takeAllowance(st, ws, {1.0 / 300, 0, 0}, Margin, 9'000, now));
  CHECK(takeAllowance(st, ws, {1.0 / 300, 0, 0}, Margin, 9'000, now));
  CHECK_FALSE(takeAllowance(st, ws, heard(), Margin, 9'000, now));
}

TEST_CASE("the cost spent in any window stays within the tolerance",
          "[allowance]") {
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
      if (takeAllowance(bucket, ws, {}, Margin, cost, now))
        continue;
      spent.emplace_back(now, cost);
      sum += cost;
      while (now - spent.front().first > Margin.Window) {
        sum -= spent.front().second;
        spent.pop_front();
      }
      REQUIRE(sum <= limit);
    }
  }
}

TEST_CASE("cost within the limit isn't refused", "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState bucket;
  Time now(seconds(10));
  for (int n = 0; n < 2000; ++n) {
    now += milliseconds(100);
    REQUIRE_FALSE(takeAllowance(bucket, ws, {}, Margin, 9'000, now));
  }
}

TEST_CASE("a workspace without a limit is never refused", "[allowance]") {
  AllowanceState bucket;
  CHECK_FALSE(
      takeAllowance(bucket, workspace(0, 0), {}, {}, 1e9, Time(seconds(1))));
}

TEST_CASE("while all processes are heard, the cost spent by all decides",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double size = bucketSize(ws, Margin);
  AllowanceState st;
  const Time now(seconds(10));
  initAllowance(st, ws, heard(), Margin, now);
  CHECK_FALSE(takeAllowance(st, ws, heard(), Margin, size / 2, now));
  // Cost that is reported again is charged only once.
  const auto peers = static_cast<std::uint64_t>(size / 2);
  CHECK(takeAllowance(st, ws, heard(peers), Margin, 1000, now));
  CHECK(takeAllowance(st, ws, heard(peers), Margin, 1000, now));
  CHECK_FALSE(
      takeAllowance(st, ws, heard(peers), Margin, 1000, now + seconds(1)));
}

TEST_CASE("a process that hears no other spends only its share",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  const double size = bucketSize(ws, Margin);
  AllowanceState st;
  const Time now(seconds(10));
  initAllowance(st, ws, heard(), Margin, now);
  CHECK_FALSE(takeAllowance(st, ws, {0.1, 0, 0}, Margin, size / 20, now));
  CHECK(takeAllowance(st, ws, {0.1, 0, 0}, Margin, size / 12, now));
}

TEST_CASE("a process that joins isn't charged for cost spent before",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  const Time now(seconds(10));
  const PeerSpending past = heard(0, 50'000'000);
  CHECK_FALSE(takeAllowance(st, ws, past, Margin, 5'000, now));
  // Cost reported after that is charged.
  const PeerSpending later = heard(1'000'000, 50'000'000);
  CHECK(takeAllowance(st, ws, later, Margin, 5'000, now));
}

TEST_CASE("a process that hears few others starts with a low level",
          "[allowance]") {
  const PlanWorkspace ws = workspace(90'000, 90'000);
  AllowanceState st;
  initAllowance(st, ws, {0.05, 0, 0}, Margin, Time(seconds(10)));
  CHECK(st.Level == Approx(bucketSize(ws, Margin) * InitialLevelFraction));
}
