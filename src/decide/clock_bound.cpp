#include "zinniagauge/decide/clock_bound.h"

namespace zinniagauge {

namespace {

constexpr std::int64_t Million = 1'000'000;

bool sameProcess(const ClockBound &a, const ClockBound &b) noexcept {
  return a.Scheduler == b.Scheduler && a.Incarnation == b.Incarnation;
}

} // namespace

Time latestTheirs(const ClockBound &cb, Time now) noexcept {
  const Duration age = now - cb.Sent;
  return cb.Theirs + age + age / Million * MaxClockDriftPpm;
}

void tighten(ClockBound &cb, const ClockBound &seen, Time now) noexcept {
  const bool keep = cb.Known && sameProcess(cb, seen) &&
                    now - cb.Sent <= MaxBoundAge / 2 &&
                    latestTheirs(cb, now) <= latestTheirs(seen, now);
  if (!keep)
    cb = seen;
}

bool mayUse(const ClockBound &cb, const Grant &g, Time now) noexcept {
  if (!cb.Known || cb.Scheduler != g.Id.Scheduler ||
      cb.Incarnation != g.Id.Incarnation)
    return false;
  if (now < cb.Sent || now - cb.Sent > MaxBoundAge)
    return false;
  return latestTheirs(cb, now) < g.Issued + g.Ttl;
}

} // namespace zinniagauge
