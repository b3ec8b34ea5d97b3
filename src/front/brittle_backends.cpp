// Which calls brittle back ends are sent: those that fail if they have to
// reject more than a stated number of calls a second.
#include "zinniagauge/front/request_loop.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void logRejectionLimit(RequestLoop &rl, const BackendState &b) {
  constexpr double MilliPerUnit = 1000;
  const std::optional<double> limit = b.Rejections.PerSecond;
  EventLine line = eventLine(limit ? "backend_brittle" : "backend_not_brittle");
  add(line, "backend", b.Info.Name);
  if (limit) {
    add(line, "rejections_per_second_milli",
        static_cast<std::int64_t>(*limit * MilliPerUnit));
    add(line, "fronts", std::int64_t{rl.Board.LivingFronts});
  }
  rl.Log.write(line);
}

/// The limit of \p b as far as it is of use; starts to guard it if it has one.
/// Nothing: it isn't brittle.
std::optional<double> guardedLimit(RequestLoop &rl, const PoolState &pool,
                                   BackendState &b) {
  auto limit = rejectionLimit(b.Rejections, pool.Rejections);
  if (limit)
    limit = usefulRejections(*limit, std::max(b.Info.Slots, 1U));
  if (limit && b.Guard.StartedAt == Time())
    startGuard(b.Guard, rl.EventLoop.Now, rl.RandomState);
  return limit;
}

/// The load of a brittle back end. Its reports count although they state no
/// pace.
LoadEstimate brittleLoad(const BackendState &b, const LoadEstimate &load,
                         const BackendLoad &peers, Time now) {
  constexpr std::uint32_t UsualPace = 100;
  ReportedLoad said = b.Reports.Newest;
  if (said.At == Time() || said.Pace > 0)
    return load;
  said.Pace = UsualPace;
  return estimateLoad(said, load, b.Info.Slots,
                      callsSince(b.Reports, peers.Running), now);
}

} // namespace

bool isBrittle(const PoolState &pool, const BackendState &b) noexcept {
  return rejectionLimit(b.Rejections, pool.Rejections).has_value();
}

void recordRejectionLimit(RequestLoop &rl, BackendState &to,
                          std::optional<double> persecond) {
  const Time now = rl.EventLoop.Now;
  PoolState &pool = rl.Pools[to.Info.Pool];
  const bool wasbrittle = to.Rejections.PerSecond.has_value();
  if (setRejectionLimit(to.Rejections, persecond, now))
    logRejectionLimit(rl, to);
  if (persecond || wasbrittle)
    setRejectionLimit(pool.Rejections, persecond, now);
  if (!persecond)
    to.Guard = {};
}

void recordOutcome(RequestLoop &rl, BackendState &to, bool rejected) {
  const auto limit = guardedLimit(rl, rl.Pools[to.Info.Pool], to);
  if (!limit)
    return;
  if (!rejected) {
    recordAcceptedCall(to.Guard);
    return;
  }
  const Duration pause = recordRejection(
      to.Guard, *limit, rl.Board.LivingFronts, rl.EventLoop.Now);
  EventLine line = eventLine("backend_rejection_pause");
  add(line, "backend", to.Info.Name);
  add(line, "for_ms", pause);
  add(line, "in_a_row", std::int64_t{to.Guard.Repeats});
  rl.Log.write(line);
}

bool isPaused(RequestLoop &rl, const PoolState &pool, BackendState &b,
              const LoadEstimate &load, const BackendLoad &peers) {
  const auto limit = guardedLimit(rl, pool, b);
  if (!limit)
    return false;
  const Time now = rl.EventLoop.Now;
  const LoadEstimate known = brittleLoad(b, load, peers, now);
  BackendRoom room;
  room.Fronts = rl.Board.LivingFronts;
  room.Slots = std::max(b.Info.Slots, 1U);
  room.Running = known.Running;
  room.OwnRunning = b.Running;
  room.HasWaiting = known.HasWaiting;
  return !mayRiskRejection(b.Guard, *limit, room, now);
}

void setBrittleGauge(RequestLoop &rl) {
  std::size_t count = 0;
  for (const auto &[id, st] : rl.Backends) {
    const auto it = rl.Pools.find(st->Info.Pool);
    count += st->Listed && it != rl.Pools.end() && isBrittle(it->second, *st)
                 ? 1
                 : 0;
  }
  setGauge(rl.Metrics, "backends_brittle", static_cast<double>(count));
}

} // namespace zinniagauge
