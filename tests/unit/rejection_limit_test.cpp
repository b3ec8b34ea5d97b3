// Tests that many fronts with old views cause no more rejections than brittle
// back ends bear.
#include "zinniagauge/decide/backend_choice.h"
#include "zinniagauge/decide/random.h"
#include "zinniagauge/decide/rejection_limit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One simulated time in which the back ends of a pool are brittle and reject
/// every call for which no slot is free.
struct BrittleRun {
  std::uint32_t Fronts = 6;
  std::size_t Backends = 18;
  std::size_t Slots = 8;
  double Limit = 5;     // Rejections a second that a back end bears.
  Duration MostDelay{}; // The age of the oldest view; the least is 10 ms.
  double Load = 1.3;    // Calls that arrive, by what the slots can run.
  bool Guarded = true;  // Whether the fronts apply the decision.
  Duration Span = seconds(20);
  std::uint64_t Seed = 1;
};

struct BrittleResult {
  std::uint32_t Falls = 0;
  std::uint32_t Rejections = 0;
  std::uint32_t MostInSecond = 0; // At one back end.
  double Used = 0;                // Slots in use, as a fraction of all.
};

constexpr Duration Step = milliseconds(5);
constexpr std::size_t HistorySteps = 128; // Covers the oldest view.
constexpr Duration RestartTime = seconds(3);

struct SimulatedBackend {
  std::vector<std::pair<Time, std::size_t>> Calls;   // End and front of each.
  std::deque<Time> Rejected;                         // Within the last second.
  std::array<std::uint32_t, HistorySteps> History{}; // Calls at each step.
  Time DownUntil;
};

struct SimulatedFront {
  Duration Delay{};
  double Waiting = 0;
  std::vector<std::uint32_t> Own;
  std::vector<std::array<std::uint32_t, HistorySteps>> OwnHistory;
  std::vector<RejectionGuard> Guards;
};

struct Simulation {
  BrittleRun Run;
  BrittleResult Result;
  std::vector<SimulatedBackend> Backends;
  std::vector<SimulatedFront> Fronts;
  std::uint64_t Random = 0;
  Time Now;
  std::size_t StepNumber = HistorySteps;
};

double randomFraction(Simulation &sim) {
  constexpr std::size_t Parts = 1U << 24U;
  return static_cast<double>(randomBelow(sim.Random, Parts)) / Parts;
}

Duration serviceTime(Simulation &sim) {
  return milliseconds(200 + randomBelow(sim.Random, 1200));
}

constexpr double MeanServiceSeconds = 0.8;

Simulation makeSimulation(const BrittleRun &run) {
  Simulation sim;
  sim.Run = run;
  sim.Random = run.Seed;
  sim.Now = Time(seconds(100));
  sim.Backends.resize(run.Backends);
  sim.Fronts.resize(run.Fronts);
  for (SimulatedFront &f : sim.Fronts) {
    f.Delay = milliseconds(10) +
              std::chrono::duration_cast<Duration>(
                  (run.MostDelay - milliseconds(10)) * randomFraction(sim));
    f.Own.resize(run.Backends);
    f.OwnHistory.resize(run.Backends);
    f.Guards.resize(run.Backends);
    for (RejectionGuard &g : f.Guards)
      startGuard(g, sim.Now, sim.Random);
    // A burst begins.
    f.Waiting =
        0.5 * static_cast<double>(run.Backends * run.Slots) / run.Fronts;
  }
  return sim;
}

/// What \p f believes to run at back end \p n.
double believedRunning(const Simulation &sim, const SimulatedFront &f,
                       std::size_t n) {
  const auto age = static_cast<std::size_t>(f.Delay / Step);
  const std::size_t at = (sim.StepNumber - age) % HistorySteps;
  return static_cast<double>(sim.Backends[n].History.at(at)) -
         f.OwnHistory[n].at(at) + f.Own[n];
}

void endCalls(Simulation &sim, SimulatedBackend &b, std::size_t at, bool all) {
  std::erase_if(b.Calls, [&](const auto &c) {
    if (!all && c.first > sim.Now)
      return false;
    SimulatedFront &f = sim.Fronts[c.second];
    --f.Own[at];
    if (all)
      recordGuardLoss(f.Guards[at]);
    else {
      recordAcceptedCall(f.Guards[at]);
      recordFreedSlot(f.Guards[at], sim.Now);
    }
    return true;
  });
}

void reject(Simulation &sim, SimulatedFront &from, std::size_t at) {
  SimulatedBackend &b = sim.Backends[at];
  recordRejection(
      from.Guards[at],
      usefulRejections(sim.Run.Limit, static_cast<double>(sim.Run.Slots)),
      sim.Run.Fronts, sim.Now);
  ++sim.Result.Rejections;
  b.Rejected.push_back(sim.Now);
  while (sim.Now - b.Rejected.front() > seconds(1))
    b.Rejected.pop_front();
  const auto count = static_cast<std::uint32_t>(b.Rejected.size());
  sim.Result.MostInSecond = std::max(sim.Result.MostInSecond, count);
  if (count <= sim.Run.Limit)
    return;
  ++sim.Result.Falls;
  b.Rejected.clear();
  b.DownUntil = sim.Now + RestartTime;
  endCalls(sim, b, at, true);
}

/// Sends one call of front \p index if it may. Returns whether it was sent.
bool sendOne(Simulation &sim, std::size_t index) {
  SimulatedFront &f = sim.Fronts[index];
  std::vector<Candidate> list(sim.Backends.size());
  for (std::size_t n = 0; n < list.size(); ++n) {
    const SimulatedBackend &b = sim.Backends[n];
    Candidate &c = list[n];
    c.Slots = static_cast<double>(sim.Run.Slots);
    c.Running = believedRunning(sim, f, n);
    c.Usable = sim.Now >= b.DownUntil;
    c.EventMs = 20.0 + static_cast<double>(n % 5);
    c.Paused =
        sim.Run.Guarded &&
        !mayRiskRejection(f.Guards[n], usefulRejections(sim.Run.Limit, c.Slots),
                          {sim.Run.Fronts, c.Slots, c.Running, f.Own[n], false},
                          sim.Now);
  }
  const auto at = chooseBackend(list, {}, {});
  if (!at)
    return false;
  SimulatedBackend &b = sim.Backends[*at];
  recordRiskedCall(f.Guards[*at], sim.Now);
  if (b.Calls.size() >= sim.Run.Slots) {
    reject(sim, f, *at);
    return true;
  }
  b.Calls.emplace_back(sim.Now + serviceTime(sim), index);
  ++f.Own[*at];
  f.Waiting -= 1;
  return true;
}

void step(Simulation &sim) {
  const double perstep = sim.Run.Load *
                         static_cast<double>(sim.Run.Backends * sim.Run.Slots) /
                         MeanServiceSeconds / sim.Run.Fronts *
                         std::chrono::duration<double>(Step).count();
  std::size_t held = 0;
  for (std::size_t n = 0; n < sim.Backends.size(); ++n) {
    endCalls(sim, sim.Backends[n], n, false);
    held += sim.Backends[n].Calls.size();
  }
  sim.Result.Used += static_cast<double>(held);
  // Callers give up, so the queue stays short.
  constexpr double MostWaiting = 30;
  for (std::size_t n = 0; n < sim.Fronts.size(); ++n) {
    SimulatedFront &f = sim.Fronts[n];
    f.Waiting = std::min(f.Waiting + 2 * perstep * randomFraction(sim),
                         std::max(f.Waiting, MostWaiting));
    for (int sent = 0; sent < 4 && f.Waiting >= 1 && sendOne(sim, n); ++sent)
      ;
  }
  const std::size_t at = sim.StepNumber % HistorySteps;
  for (std::size_t n = 0; n < sim.Backends.size(); ++n) {
    sim.Backends[n].History.at(at) =
        static_cast<std::uint32_t>(sim.Backends[n].Calls.size());
    for (SimulatedFront &f : sim.Fronts)
      f.OwnHistory[n].at(at) = f.Own[n];
  }
  ++sim.StepNumber;
  sim.Now += Step;
}

BrittleResult simulate(const BrittleRun &run) {
  Simulation sim = makeSimulation(run);
  const auto steps = static_cast<std::size_t>(run.Span / Step);
  for (std::size_t n = 0; n < steps; ++n)
    step(sim);
  sim.Result.Used /= static_cast<double>(steps * run.Backends * run.Slots);
  return sim.Result;
}

/// Deployments of the usual kinds: fronts, back ends and their slots.
struct BrittlePool {
  std::uint32_t Fronts;
  std::size_t Backends;
  std::size_t Slots;
};

constexpr std::array<BrittlePool, 4> Pools = {
    {{6, 9, 14}, {6, 4, 6}, {30, 60, 8}, {75, 100, 8}}};

double allowedFalls(const BrittleRun &run) {
  return 2 + 0.1 * static_cast<double>(run.Backends);
}

/// The run of \p pool with views of up to \p delay.
BrittleRun runOf(const BrittlePool &pool, double limit, Duration delay,
                 double load) {
  BrittleRun run;
  run.Fronts = pool.Fronts;
  run.Backends = pool.Backends;
  run.Slots = pool.Slots;
  run.Limit = limit;
  run.MostDelay = delay;
  run.Load = load;
  return run;
}

/// Whether \p check holds for all pools, limits, ages of views and loads.
template <typename CheckFn> void forAllRuns(CheckFn check) {
  for (const BrittlePool &pool : Pools)
    for (const double limit : {0.0, 1.0, 3.0, 10.0})
      for (const Duration delay : {milliseconds(60), milliseconds(500)})
        for (const double load : {0.7, 1.3})
          check(runOf(pool, limit, delay, load));
}

/// A back end with a free slot and no calls of this front.
BackendRoom someRoom(std::uint32_t fronts) { return {fronts, 8, 3, 0, false}; }

} // namespace

TEST_CASE("fronts with old views don't make brittle back ends fail",
          "[rejections]") {
  forAllRuns([](const BrittleRun &run) {
    const BrittleResult r = simulate(run);
    INFO(run.Fronts << " fronts, limit " << run.Limit << ", load " << run.Load
                    << ", views of " << run.MostDelay / milliseconds(1)
                    << " ms; rejections " << r.Rejections << ", most "
                    << r.MostInSecond << ", used " << r.Used);
    CHECK(r.Falls <= allowedFalls(run));
    // Nine tenths of what arrives at 0.7, and most of the slots above.
    if (run.Limit >= 3)
      CHECK(r.Used >= (run.Load < 1 ? 0.9 * run.Load : 0.8));
  });
}

TEST_CASE("without the limit of rejections brittle back ends fail",
          "[rejections]") {
  for (const BrittlePool &pool : Pools)
    for (const double limit : {0.0, 3.0, 10.0}) {
      BrittleRun run = runOf(pool, limit, milliseconds(60), 1.3);
      run.Guarded = false;
      INFO(run.Fronts << " fronts, limit " << limit);
      CHECK(simulate(run).Falls > allowedFalls(run));
    }
}

TEST_CASE("a high limit of rejections isn't used up", "[rejections]") {
  for (const BrittlePool &pool : Pools) {
    const BrittleRun run = runOf(pool, 1000, milliseconds(60), 0.7);
    const BrittleResult r = simulate(run);
    INFO(run.Fronts << " fronts; rejections " << r.Rejections);
    CHECK(r.Falls == 0);
    CHECK(r.Used >= 0.9 * run.Load);
    CHECK(r.MostInSecond <= 2 * run.Slots);
  }
}

TEST_CASE("a rejection pauses the calls to a brittle back end",
          "[rejections]") {
  std::uint64_t random = 5;
  const Time now(seconds(50));
  RejectionGuard guard;
  startGuard(guard, now, random);
  REQUIRE(mayRiskRejection(guard, 3, someRoom(6), now));
  recordRiskedCall(guard, now);
  const Duration first = recordRejection(guard, 3, 6, now);
  // All fronts together cause at most the limit.
  CHECK(first >= seconds(2));
  CHECK_FALSE(mayRiskRejection(guard, 3, someRoom(6), now + seconds(1)));
  CHECK(mayRiskRejection(guard, 3, someRoom(6), now + first));
  const Time again = now + first;
  recordRiskedCall(guard, again);
  CHECK(recordRejection(guard, 3, 6, again) > first);
  CHECK(recordRejection(guard, 0, 1000, again) <=
        MaxRejectionPause + RejectionTurn);
  recordAcceptedCall(guard);
  CHECK(guard.Repeats == 0);
}

TEST_CASE("a brittle back end gets no call that would wait inside it",
          "[rejections]") {
  std::uint64_t random = 5;
  const Time now(seconds(50));
  RejectionGuard guard;
  startGuard(guard, now, random);
  BackendRoom room = someRoom(1);
  CHECK(mayRiskRejection(guard, 1000, room, now));
  room.HasWaiting = true;
  CHECK_FALSE(mayRiskRejection(guard, 1000, room, now));
  room.HasWaiting = false;
  room.Running = 8;
  CHECK_FALSE(mayRiskRejection(guard, 1000, room, now));
}

TEST_CASE("fronts take turns if the limit is lower than their number",
          "[rejections]") {
  std::uint64_t random = 5;
  const Time now(seconds(50));
  constexpr std::uint32_t Fronts = 75;
  constexpr double Limit = 5;
  std::vector<RejectionGuard> guards(Fronts);
  for (RejectionGuard &g : guards)
    startGuard(g, now, random);
  std::size_t most = 0;
  std::size_t sum = 0;
  std::vector<bool> had(Fronts);
  constexpr int Seconds = 120;
  for (int s = 0; s < Seconds; ++s) {
    std::size_t count = 0;
    for (std::size_t n = 0; n < guards.size(); ++n)
      if (mayRiskRejection(guards[n], Limit, someRoom(Fronts),
                           now + seconds(s))) {
        ++count;
        had[n] = true;
      }
    most = std::max(most, count);
    sum += count;
  }
  CHECK(sum <= Seconds * static_cast<std::size_t>(Limit));
  CHECK(std::count(had.begin(), had.end(), true) == Fronts);
}

TEST_CASE("the slot of a call that ended is used again without a turn",
          "[rejections]") {
  std::uint64_t random = 5;
  const Time now(seconds(50));
  RejectionGuard guard;
  startGuard(guard, now, random);
  guard.Phase = 0.5; // Its turn comes later.
  REQUIRE_FALSE(mayRiskRejection(guard, 1, someRoom(1000), now));
  recordFreedSlot(guard, now);
  CHECK(mayRiskRejection(guard, 1, someRoom(1000), now));
  CHECK_FALSE(
      mayRiskRejection(guard, 1, someRoom(1000), now + milliseconds(20)));
  recordRiskedCall(guard, now);
  CHECK_FALSE(mayRiskRejection(guard, 1, someRoom(1000), now));
}

TEST_CASE("a back end that comes back gets one call at first", "[rejections]") {
  std::uint64_t random = 5;
  const Time now(seconds(50));
  RejectionGuard guard;
  startGuard(guard, now, random);
  recordGuardLoss(guard);
  CHECK(mayRiskRejection(guard, 1000, someRoom(1), now));
  recordRiskedCall(guard, now);
  CHECK_FALSE(mayRiskRejection(guard, 1000, someRoom(1), now));
  recordAcceptedCall(guard);
  recordRiskedCall(guard, now);
  CHECK(mayRiskRejection(guard, 1000, someRoom(1), now));
}

TEST_CASE("back ends that haven't responded have the limit of their pool",
          "[rejections]") {
  const Time now(seconds(50));
  RejectionLimit own;
  RejectionLimit pool;
  CHECK_FALSE(rejectionLimit(own, pool));
  CHECK(setRejectionLimit(pool, 4, now));
  CHECK_FALSE(setRejectionLimit(pool, 4, now + seconds(1)));
  CHECK(rejectionLimit(own, pool) == 4);
  CHECK_FALSE(setRejectionLimit(own, std::nullopt, now + seconds(1)));
  CHECK_FALSE(rejectionLimit(own, pool));
  CHECK(setRejectionLimit(own, 0, now + seconds(2)));
  CHECK(setRejectionLimit(pool, std::nullopt, now + seconds(3)));
  CHECK(rejectionLimit(own, pool) == 0);
}
