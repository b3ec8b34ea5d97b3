#include "zinniagauge/decide/outlier.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void passOver(ResultRecord &rec, const OutlierLimits &lim, Time now) noexcept {
  rec.Pause = rec.Pause == Duration::zero()
                  ? lim.FirstPause
                  : std::min(rec.Pause * 2, lim.MostPause);
  rec.PassedOverUntil = now + rec.Pause;
  rec.LostInRow = 0;
  rec.Results = 0;
  rec.Failures = 0;
}

void average(ResultRecord &rec, bool failed, double weight) noexcept {
  ++rec.Results;
  rec.Failures += weight * ((failed ? 1.0 : 0.0) - rec.Failures);
}

} // namespace

bool noteResult(ResultRecord &rec, ResultRecord &pool, bool failed,
                const OutlierLimits &lim, Time now) noexcept {
  rec.LostInRow = 0;
  average(rec, failed, lim.Weight);
  // The pool's average moves slowly, so that one back end doesn't carry it.
  average(pool, failed, lim.Weight / 4);
  if (!failed && rec.Results >= lim.LeastResults)
    rec.Pause = Duration::zero();
  if (isPassedOver(rec, now) || rec.Results < lim.LeastResults ||
      rec.Failures < pool.Failures + lim.ExcessFailures)
    return false;
  passOver(rec, lim, now);
  return true;
}

bool noteLost(ResultRecord &rec, const OutlierLimits &lim, Time now) noexcept {
  if (isPassedOver(rec, now) || ++rec.LostInRow < lim.LostInRow)
    return false;
  passOver(rec, lim, now);
  return true;
}

} // namespace zinniagauge
