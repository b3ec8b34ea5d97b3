// Upper bounds of schedulers' clocks.
#include "zinniagauge/decide/clock_bound.h"

namespace zinniagauge {

namespace {

constexpr std::int64_t Million = 1'000'000;

bool sameProcess(const ClockBound &a, const ClockBound &b) noexcept {
  return a.Scheduler == b.Scheduler && a.Incarnation == b.Incarnation;
}

} // namespace

Time latestSchedulerTime(const ClockBound &cb, Time now) noexcept {
  const Duration age = now - cb.SentAt;
  return cb.SchedulerTime + age + age / Million * MaxClockDriftPpm;
}

void tighten(ClockBound &cb, const ClockBound &measured, Time now) noexcept {
  const bool keep =
      cb.Measured && sameProcess(cb, measured) &&
      now - cb.SentAt <= MaxBoundAge / 2 &&
      latestSchedulerTime(cb, now) <= latestSchedulerTime(measured, now);
  if (!keep)
    cb = measured;
}

bool mayUse(const ClockBound &cb, const Grant &g, Time now) noexcept {
  if (!cb.Measured || cb.Scheduler != g.Id.Scheduler ||
      cb.Incarnation != g.Id.Incarnation)
    return false;
  if (now < cb.SentAt || now - cb.SentAt > MaxBoundAge)
    return false;
  return latestSchedulerTime(cb, now) < g.IssuedAt + g.Ttl;
}

} // namespace zinniagauge
