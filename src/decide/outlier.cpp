#include "zinniagauge/decide/outlier.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void eject(ResultStats &stats, const OutlierLimits &lim, Time now) noexcept {
  stats.EjectionTime = stats.EjectionTime == Duration::zero()
                           ? lim.InitialEjection
                           : std::min(stats.EjectionTime * 2, lim.MaxEjection);
  stats.EjectedUntil = now + stats.EjectionTime;
  stats.ConsecutiveLosses = 0;
  stats.Results = 0;
  stats.FailureRate = 0;
}

void updateAverage(ResultStats &stats, bool failed, double weight) noexcept {
  ++stats.Results;
  stats.FailureRate += weight * ((failed ? 1.0 : 0.0) - stats.FailureRate);
}

} // namespace

bool recordResult(ResultStats &stats, ResultStats &pool, bool failed,
                  const OutlierLimits &lim, Time now) noexcept {
  stats.ConsecutiveLosses = 0;
  updateAverage(stats, failed, lim.Weight);
  // The pool's average changes slowly, so that a single back end doesn't
  // dominate it.
  updateAverage(pool, failed, lim.Weight / 4);
  if (!failed && stats.Results >= lim.MinResults)
    stats.EjectionTime = Duration::zero();
  if (isEjected(stats, now) || stats.Results < lim.MinResults ||
      stats.FailureRate < pool.FailureRate + lim.ExcessFailures)
    return false;
  eject(stats, lim, now);
  return true;
}

bool recordLostConnection(ResultStats &stats, const OutlierLimits &lim,
                          Time now) noexcept {
  if (isEjected(stats, now) ||
      ++stats.ConsecutiveLosses < lim.MaxConsecutiveLosses)
    return false;
  eject(stats, lim, now);
  return true;
}

bool recordWrongAnswer(ResultStats &stats, ResultStats &pool,
                       const OutlierLimits &lim, Time now) noexcept {
  const std::uint32_t losses = stats.ConsecutiveLosses;
  if (recordResult(stats, pool, true, lim, now))
    return true;
  stats.ConsecutiveLosses = losses;
  return recordLostConnection(stats, lim, now);
}

void revokeEjection(ResultStats &stats, const OutlierLimits &lim,
                    Time since) noexcept {
  stats.ConsecutiveLosses = 0;
  if (stats.EjectedUntil - stats.EjectionTime < since)
    return;
  stats.EjectedUntil = Time();
  stats.EjectionTime = stats.EjectionTime <= lim.InitialEjection
                           ? Duration::zero()
                           : stats.EjectionTime / 2;
}

} // namespace zinniagauge
