// Which back ends are cold, and when this front may send them a call.
#include "zinniagauge/decide/cold_start.h"

#include "zinniagauge/front/request_loop.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Lines about back ends that became cold or warm, per update. A whole zone may
/// do so at once; the gauge has the number of all.
constexpr std::size_t MaxColdLines = 32;

/// For this long after the latest loss a back end that hasn't answered again
/// counts as unreachable. Without calls it can't answer.
constexpr Duration MaxUnreachableTime = std::chrono::seconds(60);

/// Calls of more expected events are long: a cold back end would run them for
/// several times as long as a warm one.
constexpr double MaxColdEvents = 64;

/// Whether \p call goes to a cold back end only if no warm one may take it.
bool avoidsCold(const Call &call) noexcept {
  const CallFacts &facts = call.Facts;
  return facts.Kind == CallKind::Unsafe ||
         (facts.Kind == CallKind::Stream && !facts.Resumable) ||
         call.Work.ExpectedEvents > MaxColdEvents;
}

void logColdChange(RequestLoop &rl, const BackendState &b, bool cold,
                   Time now) {
  EventLine line = eventLine(cold ? "backend_cold" : "backend_warm");
  add(line, "backend", b.Info.Name);
  if (cold) {
    const Time until = coldUntil(b.Cold, now);
    add(line, "unreachable", std::int64_t{b.Cold.Unreachable ? 1 : 0});
    if (until != Time::max())
      add(line, "for_ms", until - now);
    add(line, "fronts", std::int64_t{frontCount(rl.FrontsKnown, now)});
  }
  rl.Log.write(line);
}

/// Sets the rate at which this front may send to each cold back end of \p pool.
void updateColdRate(RequestLoop &rl, PoolState &pool, std::uint32_t fronts) {
  if (fronts == pool.ColdLimit.Fronts)
    return;
  pool.ColdLimit.Fronts = fronts;
  const ColdTolerance &tol = rl.Settings.ColdCalls;
  pool.ColdLimit.OwnPerSecond =
      fronts == 0
          ? 0
          : coldBudget(pool.ColdLimit.PerSecond,
                       pool.ColdLimit.PerSecond * tol.Factor + tol.Slack,
                       fronts) /
                fronts;
}

} // namespace

void refreshColdPools(RequestLoop &rl) {
  const ReadGuard guard;
  const TrafficPlan &plan = rl.Board.Plan.read(guard);
  const EvacuatedZones &evacuated = rl.Board.Evacuations.read(guard);
  const Time now = bootNow();
  for (auto &[id, pool] : rl.Pools) {
    const PlanPool *known = findPool(plan, id);
    const Duration start = known ? known->ColdStart : Duration::zero();
    const double persecond = known ? known->ColdCallsPerSecond : 0;
    if (persecond != pool.ColdLimit.PerSecond)
      pool.ColdLimit.Fronts = 0;
    pool.ColdLimit.Start = persecond > 0 ? start : Duration::zero();
    pool.ColdLimit.PerSecond = persecond;
    if (pool.ColdLimit.Start == Duration::zero())
      continue;
    for (BackendState *b : pool.Backends) {
      setRowCold(b->Cold, b->Info.ColdUntil, now);
      for (const EndedEvacuation &e : evacuated.Ended)
        if (e.Zone == b->Info.Zone)
          presumeCold(b->Cold, e.At + pool.ColdLimit.Start, now);
    }
  }
  updateColdBackends(rl);
}

void updateColdBackends(RequestLoop &rl) {
  const Time now = bootNow();
  const std::uint32_t living = rl.Board.LivingFronts;
  const bool heard = rl.Board.HeardAt != 0;
  const bool informed = heard && rl.Board.HeardFronts >= living / 2;
  if (informed || rl.FrontsKnown.KnownSince != Time())
    recordFrontCount(rl.FrontsKnown, living, informed, now);
  const std::uint32_t fronts = heard ? frontCount(rl.FrontsKnown, now) : 0;
  std::size_t count = 0;
  std::size_t lines = 0;
  bool any = false;
  for (auto &[id, pool] : rl.Pools) {
    if (pool.ColdLimit.Start == Duration::zero())
      continue;
    any = true;
    updateColdRate(rl, pool, fronts);
    for (BackendState *b : pool.Backends) {
      if (b->Cold.Unreachable && now - b->LostAt > MaxUnreachableTime)
        b->Cold.Unreachable = false;
      const bool cold = isCold(b->Cold, now);
      count += cold ? 1 : 0;
      setColdRate(b->Permits, cold ? pool.ColdLimit.OwnPerSecond : 0, now,
                  rl.RandomState);
      if (cold == b->Cold.LoggedCold || lines >= MaxColdLines)
        continue;
      b->Cold.LoggedCold = cold;
      logColdChange(rl, *b, cold, now);
      ++lines;
    }
  }
  if (any)
    setGauge(rl.Metrics, "backends_cold", static_cast<double>(count));
}

bool isCold(const PoolState &pool, const BackendState &b, Time now) noexcept {
  return pool.ColdLimit.Start > Duration::zero() && isCold(b.Cold, now);
}

Time nextColdSendAt(const RequestLoop &rl, const PoolState &pool,
                    const BackendState &b, Time now) noexcept {
  if (!rl.Settings.ColdCalls.Limited || !isCold(pool, b, now))
    return now;
  // Without a permission it may be sent calls once it is warm.
  return std::min(nextPermitAt(b.Permits, now), coldUntil(b.Cold, now));
}

void recordColdSend(const PoolState &pool, BackendState &to) noexcept {
  const Time now = bootNow();
  if (isCold(pool, to, now))
    usePermit(to.Permits, now);
}

std::vector<std::size_t> setColdAside(RequestLoop &rl, const PoolState &pool) {
  std::vector<std::size_t> out;
  if (pool.ColdLimit.Start == Duration::zero())
    return out;
  const Time now = bootNow();
  for (std::size_t n = 0; n < rl.Candidates.size(); ++n)
    if (rl.Candidates[n].Usable && isCold(pool, *pool.Backends[n], now)) {
      rl.Candidates[n].Usable = false;
      out.push_back(n);
    }
  return out;
}

bool useColdInstead(RequestLoop &rl, const Call &call,
                    std::span<const std::size_t> cold) {
  const auto usable = [](const Candidate &c) { return c.Usable; };
  if (cold.empty() ||
      (avoidsCold(call) &&
       std::any_of(rl.Candidates.begin(), rl.Candidates.end(), usable)))
    return false;
  for (Candidate &c : rl.Candidates)
    c.Usable = false;
  for (const std::size_t n : cold)
    rl.Candidates[n].Usable = true;
  return true;
}

bool isPoolCold(const RequestLoop &rl, PoolId id) {
  const auto it = rl.Pools.find(id);
  if (it == rl.Pools.end())
    return false;
  const PoolState &pool = it->second;
  const Time now = bootNow();
  const auto &list = pool.Backends;
  return std::any_of(list.begin(), list.end(),
                     [](const BackendState *b) { return isUsable(*b); }) &&
         std::all_of(list.begin(), list.end(), [&](const BackendState *b) {
           return !isUsable(*b) || isCold(pool, *b, now);
         });
}

void recordUnreachable(RequestLoop &rl, BackendState &to) {
  if (rl.Pools[to.Info.Pool].ColdLimit.Start == Duration::zero())
    return;
  to.LostAt = bootNow();
  to.Cold.Unreachable = true;
}

void recordReachable(RequestLoop &rl, BackendState &to) {
  if (!to.Cold.Unreachable)
    return;
  const Time now = bootNow();
  to.Cold.Unreachable = false;
  // What its row has stated since the loss counts instead.
  presumeCold(to.Cold, now + rl.Pools[to.Info.Pool].ColdLimit.Start, to.LostAt);
}

} // namespace zinniagauge
