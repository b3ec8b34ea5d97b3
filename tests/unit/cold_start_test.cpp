// Tests that a cold back end gets no more calls than it tolerates, however many
// fronts have calls for it, and none that a warm one could take.
#include "zinniagauge/decide/cold_start.h"

#include "support/tested_front_loop.h"

#include "platform.h"
#include "zinniagauge/decide/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double PerSecond = 12;
constexpr double Tolerated = PerSecond * 1.5 + 5;
constexpr Time Start{seconds(1000)};

/// The largest number of the times \p sent within any one second.
std::size_t mostInASecond(const std::vector<Time> &sent) {
  std::size_t worst = 0;
  std::size_t first = 0;
  for (std::size_t n = 0; n < sent.size(); ++n) {
    while (sent[n] - sent[first] > seconds(1))
      ++first;
    worst = std::max(worst, n - first + 1);
  }
  return worst;
}

/// One front that always has calls, and learns of the cold back end late.
struct BusyFront {
  ColdPermits Permits;
  FrontCount Fronts;
  Time LearnsAt;
  std::uint32_t DividedBy = 0;
  double Rate = 0;

  /// Returns how many calls it sends at \p now.
  std::size_t send(std::uint32_t living, Time now, std::uint64_t &random) {
    recordFrontCount(Fronts, living, true, now);
    const std::uint32_t n = frontCount(Fronts, now);
    if (now < LearnsAt || n == 0)
      return 0;
    if (n != DividedBy)
      Rate = coldBudget(PerSecond, Tolerated, n) / n;
    DividedBy = n;
    setColdRate(Permits, Rate, now, random);
    std::size_t count = 0;
    for (; nextPermitAt(Permits, now) <= now; ++count)
      usePermit(Permits, now);
    return count;
  }
};

/// Sets up a pool with a cold phase of 3 s that this front and five others
/// serve; returns once the number of fronts counts.
void makeColdPool(TestedFrontLoop &f, double persecond) {
  f.Rl->Settings.ColdCalls = {true, 1.5, 5};
  TrafficPlan plan = f.Board.Plan.copy();
  plan.Pools.front().ColdStart = seconds(3);
  plan.Pools.front().ColdCallsPerSecond = persecond;
  f.Board.Plan.publish(std::move(plan));
  f.Board.LivingFronts = 6;
  f.Board.HeardFronts = 6;
  f.Board.HeardAt = toNanos(bootNow());
  f.publishBackends();
  f.wait(FrontCountSettling + milliseconds(600));
}

/// Sends calls one after the other for \p span, all of which are answered;
/// returns how many each back end got.
std::array<int, 2> callsWithin(TestedFrontLoop &f, Duration span,
                               std::string_view path) {
  std::array<int, 2> out{};
  const Time end = bootNow() + span;
  for (int n = 0; bootNow() < end; ++n) {
    const std::string id = "c" + std::to_string(n);
    f.useNewCaller();
    f.request(id, {}, path);
    auto [at, sock] = f.acceptAny();
    if (sock.Fd < 0)
      continue;
    static_cast<void>(f.receive(sock, "\r\n\r\n"));
    f.send(sock, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                 "Content-Length: 0\r\nZinniagauge-Response-Seal: s\r\n"
                 "Zinniagauge-Attempt-Id: " +
                     id + "\r\n\r\n");
    out.at(at) += 1;
  }
  return out;
}

} // namespace

// Fronts that saw the same free slots sent up to 30 calls to a back end in the
// second after a zone was back.
TEST_CASE("fronts that all have calls keep to what a cold back end tolerates",
          "[cold]") {
  std::uint64_t random = 11;
  for (const std::uint32_t fronts : {1U, 6U, 23U, 30U, 75U, 295U}) {
    INFO(fronts << " fronts");
    std::vector<BusyFront> all(fronts);
    for (BusyFront &f : all) {
      recordFrontCount(f.Fronts, fronts, true, Start - seconds(10));
      f.LearnsAt = Start + milliseconds(randomBelow(random, 1000));
    }
    std::vector<Time> sent;
    for (Time now = Start; now < Start + seconds(300); now += milliseconds(10))
      for (std::size_t n = 0; n < all.size(); ++n) {
        // One front restarts each 20 s.
        if (n == 0 && (now - Start) % seconds(20) == Duration::zero())
          all[n] = BusyFront{};
        sent.insert(sent.end(), all[n].send(fronts, now, random), now);
      }
    CHECK(static_cast<double>(mostInASecond(sent)) <= Tolerated);
    // Half of the rate is used, also by many fronts.
    CHECK(static_cast<double>(sent.size()) >= 0.45 * PerSecond * 300);
  }
}

TEST_CASE("a front that doesn't know the number of fronts sends none, and a "
          "partitioned one divides by the number before",
          "[cold]") {
  FrontCount count;
  CHECK(frontCount(count, Start) == 0);
  recordFrontCount(count, 75, true, Start);
  CHECK(frontCount(count, Start) == 0);
  CHECK(frontCount(count, Start + FrontCountSettling) == 75);
  recordFrontCount(count, 3, false, Start + seconds(30));
  CHECK(frontCount(count, Start + seconds(30)) == 75);
  Time now = Start + seconds(30);
  for (; now < Start + 3 * FrontCountMemory; now += seconds(1))
    recordFrontCount(count, 3, false, now);
  CHECK(frontCount(count, now) == 3);
}

TEST_CASE("a front that was paused doesn't use the permissions of that time",
          "[cold]") {
  std::uint64_t random = 3;
  ColdPermits permits;
  setColdRate(permits, 10, Start, random);
  const Time now = Start + seconds(60);
  std::size_t count = 0;
  for (; nextPermitAt(permits, now) <= now; ++count)
    usePermit(permits, now);
  CHECK(count <= 1);
}

TEST_CASE("a lost connection outweighs a row that says warm, but not a later "
          "one",
          "[cold]") {
  ColdPhase phase;
  CHECK_FALSE(isCold(phase, Start));
  phase.Unreachable = true;
  CHECK(isCold(phase, Start));
  phase.Unreachable = false;
  CHECK(presumeCold(phase, Start + seconds(8), Start));
  setRowCold(phase, Time(), Start + seconds(1));
  CHECK(isCold(phase, Start + seconds(7)));
  CHECK_FALSE(isCold(phase, Start + seconds(8)));
  setRowCold(phase, Start + seconds(4), Start + seconds(2));
  CHECK(isCold(phase, Start + seconds(3)));
  CHECK_FALSE(isCold(phase, Start + seconds(5)));
  setRowCold(phase, Time(), Start + seconds(3));
  CHECK_FALSE(isCold(phase, Start + seconds(3)));
}

TEST_CASE("the configuration and the rows name cold phases", "[platform]") {
  const auto remaining = [](const std::string &member) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Duration>> {
          BOOST_LEAF_AUTO(
              b, platform::parseBackend(
                     {"i-1",
                      R"({"service":"s","address":"10.0.0.1:80","zone":"z",
"version":"v1","slots":8,"state":"ready","sequence":4,"born":17)" +
                          member + "}",
                      1, false}));
          return b.ColdRemaining;
        },
        [] { return std::optional<Duration>(seconds(-1)); });
  };
  CHECK(remaining("") == Duration::zero());
  CHECK(remaining(R"(,"cold_remaining_ms":0)") == Duration::zero());
  CHECK(remaining(R"(,"cold_remaining_ms":1500)") == milliseconds(1500));
  for (const char *bad : {"-1", "3600001", "\"5\"", "null", "1e300"}) {
    INFO(bad);
    CHECK(remaining(R"(,"cold_remaining_ms":)" + std::string(bad)) ==
          std::nullopt);
  }
  const auto pool = [](const std::string &members) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<PlanPool> {
          BOOST_LEAF_AUTO(plan, platform::parsePlan(
                                    {"config",
                                     R"({"version":1,"routes":[],"services":[)"
                                     R"({"name":"s")" +
                                         members + "}]}",
                                     1, false}));
          return plan.Pools.at(0);
        },
        [] { return PlanPool(); });
  };
  const PlanPool cold = pool(R"(,"cold_start_s":7.5,"cold_per_s":12)");
  CHECK(cold.ColdStart == milliseconds(7500));
  CHECK(cold.ColdCallsPerSecond == 12);
  for (const char *none :
       {"", R"(,"cold_start_s":8)", R"(,"cold_start_s":-8,"cold_per_s":12)",
        R"(,"cold_start_s":"8","cold_per_s":12)"})
    CHECK(pool(none).ColdStart == Duration::zero());
}

TEST_CASE("a cold back end gets calls only if no warm one has room", "[cold]") {
  TestedFrontLoop f(2);
  f.Backends.at(0).Info.ColdUntil = bootNow() + seconds(60);
  makeColdPool(f, 12);
  const auto warm = callsWithin(f, milliseconds(1000), "/safe/x");
  CHECK(warm.at(0) == 0);
  CHECK(warm.at(1) > 10);
  // A row that says warm again.
  f.Backends.at(0).Info.ColdUntil = Time();
  f.publishBackends();
  f.Backends.at(1).Info.Leaving = true;
  f.publishBackends();
  CHECK(callsWithin(f, milliseconds(500), "/safe/x").at(0) > 5);
}

TEST_CASE("a pool that is cold as a whole serves at the rate", "[cold]") {
  TestedFrontLoop f(1);
  f.Backends.at(0).Info.ColdUntil = bootNow() + seconds(60);
  makeColdPool(f, 12);
  // This front's part is two calls a second.
  const auto calls = callsWithin(f, seconds(3), "/unsafe/x");
  CHECK(calls.at(0) >= 4);
  CHECK(calls.at(0) <= 8);
}

TEST_CASE("back ends of a zone whose evacuation has ended are cold", "[cold]") {
  TestedFrontLoop f(1);
  makeColdPool(f, 12);
  EvacuatedZones zones;
  zones.Ended = {{f.Backends.at(0).Info.Zone, bootNow()}};
  f.Board.Evacuations.publish(std::move(zones));
  f.publishBackends();
  CHECK(isPoolCold(*f.Rl, PoolId::of("model")));
  f.wait(seconds(3));
  CHECK_FALSE(isPoolCold(*f.Rl, PoolId::of("model")));
}

TEST_CASE(
    "a back end whose connection was reset is cold after it answers again",
    "[cold]") {
  TestedFrontLoop f(1);
  makeColdPool(f, 12);
  f.request("c", {}, "/unsafe/x");
  TestSocket sock = f.accept(0);
  static_cast<void>(f.receive(sock, "\r\n\r\n"));
  sock.reset(true);
  f.wait(milliseconds(50));
  const BackendState &b = *f.Rl->Backends.at(f.Backends.at(0).Info.Id);
  CHECK(b.Cold.Unreachable);
  CHECK(callsWithin(f, milliseconds(1500), "/safe/x").at(0) >= 1);
  CHECK_FALSE(b.Cold.Unreachable);
  CHECK(isPoolCold(*f.Rl, PoolId::of("model")));
}
