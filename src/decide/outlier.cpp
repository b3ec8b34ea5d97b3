#include "zinniagauge/decide/outlier.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void passOver(ResultStats &rec, const OutlierLimits &lim, Time now) noexcept {
  rec.EjectionTime = rec.EjectionTime == Duration::zero()
                         ? lim.InitialEjection
                         : std::min(rec.EjectionTime * 2, lim.MaxEjection);
  rec.EjectedUntil = now + rec.EjectionTime;
  rec.ConsecutiveLosses = 0;
  rec.Results = 0;
  rec.FailureRate = 0;
}

void average(ResultStats &rec, bool failed, double weight) noexcept {
  ++rec.Results;
  rec.FailureRate += weight * ((failed ? 1.0 : 0.0) - rec.FailureRate);
}

} // namespace

bool recordResult(ResultStats &rec, ResultStats &pool, bool failed,
                  const OutlierLimits &lim, Time now) noexcept {
  rec.ConsecutiveLosses = 0;
  average(rec, failed, lim.Weight);
  // The pool's average moves slowly, so that one back end doesn't carry it.
  average(pool, failed, lim.Weight / 4);
  if (!failed && rec.Results >= lim.MinResults)
    rec.EjectionTime = Duration::zero();
  if (isEjected(rec, now) || rec.Results < lim.MinResults ||
      rec.FailureRate < pool.FailureRate + lim.ExcessFailures)
    return false;
  passOver(rec, lim, now);
  return true;
}

bool recordLostConnection(ResultStats &rec, const OutlierLimits &lim,
                          Time now) noexcept {
  if (isEjected(rec, now) || ++rec.ConsecutiveLosses < lim.MaxConsecutiveLosses)
    return false;
  passOver(rec, lim, now);
  return true;
}

} // namespace zinniagauge
