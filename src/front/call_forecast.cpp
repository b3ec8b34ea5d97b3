// The forecast of a waiting call's start, from the queue and the board.
#include "zinniagauge/front/admission.h"

#include <algorithm>
#include <tuple>

namespace zinniagauge {

namespace {

/// What a caller that returns after the shortest Retry-After has lost of its
/// time, less the time on the way.
constexpr Duration ReturnedTimeLoss = DefaultRetryAfter / 2;

/// Whether \p other is sent before \p call as far as is known: calls that
/// missed their target have to be served, too, although newer calls of the
/// same priority go before them.
bool isAhead(const CallRank &other, const CallRank &call) {
  const auto priority = [](const CallRank &r) {
    return std::tie(r.Priority, r.RoutePriority);
  };
  return other < call ||
         (other.TargetMissed == 1 && priority(other) == priority(call) &&
          other.WaitingSince < call.WaitingSince);
}

WaitingCalls callsBefore(const RequestLoop &rl, const PoolState &pool,
                         const Call &call) {
  WaitingCalls out;
  out.Ahead = static_cast<std::size_t>(std::count_if(
      pool.Queue.begin(), pool.Queue.end(), [&](const auto &waiting) {
        return waiting.second != &call && isAhead(waiting.first, call.Rank);
      }));
  out.Own = pool.Queue.size() - (call.Queued ? 1 : 0);
  out.LivingFronts = rl.Board.LivingFronts;
  out.MostUrgent = call.Plan.MostUrgent;
  const ReadGuard guard;
  out.Elsewhere = waitingFor(rl.Board.PeerQueues.read(guard), call.Plan.Pool);
  return out;
}

WaitLimits waitLimits(const PoolState &pool, const Call &call) {
  WaitLimits out;
  out.Arrived = call.Arrived;
  out.Deadline = call.Deadline;
  out.LatencyTarget = call.Plan.LatencyTarget;
  out.ExpectedRun = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          pool.PromptMs * static_cast<double>(call.Work.PromptTokens) +
          pool.EventMs * call.Work.ExpectedEvents));
  out.MostUrgent = call.Plan.MostUrgent && call.Facts.Kind == CallKind::Stream;
  out.MayHaveRun = call.Facts.MayHaveRun;
  out.LittleTimeLeft =
      call.Deadline - call.Arrived < call.Plan.Timeout - ReturnedTimeLoss;
  return out;
}

} // namespace

std::optional<WaitDecision> decideWait(RequestLoop &rl, Call &call) {
  PoolState &pool = rl.Pools[call.Plan.Pool];
  const Time now = rl.EventLoop.Now;
  if (!pool.StatesPace || call.Facts.ResponseStarted || isHeldBack(rl, call) ||
      isPoolEvacuated(rl, call.Plan.Pool) ||
      timeUntilSend(rl, call.Plan.Pool) > Duration::zero())
    return std::nullopt;
  const auto persecond = sendsPerSecond(pool.Sends, now);
  if (!persecond)
    return std::nullopt;
  const bool waiting = call.Forecast.has_value() || call.Arrived < now;
  const WaitingCalls before = callsBefore(rl, pool, call);
  call.Forecast = forecastStart(before, *persecond);
  if (call.ForecastStart == Time())
    call.ForecastStart = now + *call.Forecast;
  // The next call to be sent waits, whatever the rate was: if all were refused,
  // a rate measured while sends had stopped would never be measured again.
  const Duration start = before.Ahead == 0 ? Duration::zero() : *call.Forecast;
  return decideAdmission(waitLimits(pool, call), start, waiting, now);
}

Duration forecastRetryAfter(RequestLoop &rl, const Call &call) {
  PoolState &pool = rl.Pools[call.Plan.Pool];
  const Time now = rl.EventLoop.Now;
  const auto persecond = sendsPerSecond(pool.Sends, now);
  if (!persecond || !call.Forecast)
    return DefaultRetryAfter;
  return retryAfter(pool.Returns, waitLimits(pool, call), *call.Forecast,
                    *persecond, DefaultRetryAfter, now, rl.RandomState);
}

} // namespace zinniagauge
