#include "zinniagauge/decide/admission_forecast.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniagauge {

namespace {

/// Time constant of the moving average of sends. A front of a model pool sends
/// 7 to 20 calls a second, so a shorter one would measure chance.
constexpr Duration AveragingTime = std::chrono::seconds(2);

/// Sends after which the rate counts as measured.
constexpr std::uint32_t MinSends = 8;

/// After a time without sends in which this many were due, the rate is at most
/// what that time allows. At a steady rate such a gap is rare (5%).
constexpr double SendsDueInGap = 3;

/// A rate measured before a longer time without waiting calls may be that of
/// other back ends.
constexpr Duration MaxIdleTime = std::chrono::minutes(1);

/// The rate isn't assumed to be lower, in calls a second; it bounds forecasts.
constexpr double MinSendsPerSecond = 0.05;

/// Latest start of a call as a multiple of its latency target. A late call is
/// still worth a part, and the most urgent ones get the next free slots anyway.
constexpr double LatestStart = 1;
constexpr double LatestStartMostUrgent = 2;

/// The same for a call that may have been refused before: a second refusal
/// costs its caller everything.
constexpr double LatestStartLittleTimeLeft = 2;

/// An accepted call is refused only if its forecast exceeds its limit by this
/// factor; chance changes the measured rate by about a quarter.
constexpr double AcceptedTolerance = 1.5;

/// After this fraction of its latency target an accepted call is refused only
/// if it can't end before its deadline: a late refusal helps nobody.
constexpr double EarlyRefusal = 0.5;

/// How often a call that waits is decided again.
constexpr Duration DecisionPeriod = std::chrono::milliseconds(100);

/// The fraction of the sends that callers who return are expected to get; the
/// others are for new calls. With a half, callers refused early in a burst
/// returned within it and displaced new calls.
constexpr double ReturningFraction = 0.25;

/// Callers are scheduled at most this far ahead.
constexpr Duration MaxReturnTime = std::chrono::seconds(15);

/// Callers don't wait longer than this part of the time that they have left.
constexpr int MaxReturnDivisor = 3;

double secondsOf(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

Duration fromSeconds(double s) noexcept {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

Duration scaled(Duration d, double factor) noexcept {
  return fromSeconds(secondsOf(d) * factor);
}

/// A random number from 0 to below 1.
double randomFraction(std::uint64_t &random) noexcept {
  constexpr std::size_t Range = std::size_t{1} << 24U;
  return static_cast<double>(randomBelow(random, Range)) /
         static_cast<double>(Range);
}

/// Brings \p rate to \p now.
void advance(ServiceRate &rate, Time now) noexcept {
  const Duration span = now - rate.UpdatedAt;
  rate.UpdatedAt = now;
  if (!rate.CallsWait || span <= Duration::zero())
    return;
  rate.Average *= std::exp(-secondsOf(span) / secondsOf(AveragingTime));
  rate.Span += span;
  rate.SinceLastSend += span;
}

/// Until when a start is useful.
Time latestStart(const WaitLimits &limits) noexcept {
  double factor = LatestStart;
  if (limits.MostUrgent)
    factor = LatestStartMostUrgent;
  else if (limits.LittleTimeLeft)
    factor = LatestStartLittleTimeLeft;
  return limits.Arrived + scaled(limits.LatencyTarget, factor);
}

} // namespace

void setCallsWait(ServiceRate &rate, bool wait, Time now) noexcept {
  if (!rate.CallsWait && wait && now - rate.UpdatedAt > MaxIdleTime)
    rate = {};
  if (rate.CallsWait || wait)
    advance(rate, now);
  rate.CallsWait = wait;
}

void countSend(ServiceRate &rate, Time now) noexcept {
  if (!rate.CallsWait)
    return;
  advance(rate, now);
  rate.Average += 1 / secondsOf(AveragingTime);
  rate.Sends = std::min(rate.Sends + 1, MinSends);
  rate.SinceLastSend = Duration::zero();
}

std::optional<double> sendsPerSecond(const ServiceRate &rate,
                                     Time now) noexcept {
  ServiceRate at = rate;
  advance(at, now);
  if (at.Sends < MinSends || at.Span <= Duration::zero())
    return std::nullopt;
  // The average started at zero, Span ago.
  const double covered =
      -std::expm1(-secondsOf(at.Span) / secondsOf(AveragingTime));
  double persecond = at.Average / covered;
  if (at.SinceLastSend > Duration::zero())
    persecond =
        std::min(persecond, SendsDueInGap / secondsOf(at.SinceLastSend));
  return std::max(persecond, MinSendsPerSecond);
}

Duration forecastStart(const WaitingCalls &waiting, double persecond) noexcept {
  auto ahead = static_cast<double>(waiting.Ahead);
  const auto own = static_cast<double>(waiting.Own);
  // The rate is this front's share of the sends of all, so calls elsewhere
  // count as far as they exceed the own queue.
  const double more = static_cast<double>(waiting.Elsewhere) /
                          std::max(waiting.LivingFronts - 1.0, 1.0) -
                      own;
  if (!waiting.MostUrgent && waiting.LivingFronts > 1 && more > 0)
    ahead += more * (own > 0 ? ahead / own : 1);
  return fromSeconds((ahead + 1) / std::max(persecond, MinSendsPerSecond));
}

std::string_view toString(WaitRefusal reason) noexcept {
  constexpr std::array<std::string_view, 3> Names = {"", "would start too late",
                                                     "could not end in time"};
  return Names[static_cast<std::size_t>(reason)];
}

WaitDecision decideAdmission(const WaitLimits &limits, Duration forecast,
                             bool waiting, Time now) noexcept {
  WaitDecision out;
  const Time start = now + forecast;
  const Time last = limits.Deadline - limits.ExpectedRun;
  const bool early =
      now < limits.Arrived + scaled(limits.LatencyTarget, EarlyRefusal);
  const Duration room = std::max(latestStart(limits) - now, Duration::zero());
  if (now >= limits.Deadline || (start > last && !limits.MayHaveRun))
    out.Refusal = WaitRefusal::DeadlineMissed;
  else if (!limits.MayHaveRun &&
           ((!waiting && forecast > room) ||
            (early && forecast > scaled(room, AcceptedTolerance))))
    out.Refusal = WaitRefusal::TargetMissed;
  out.DecideAgainAt = std::min(limits.Deadline, now + DecisionPeriod);
  return out;
}

Duration retryAfter(ReturnSchedule &schedule, const WaitLimits &limits,
                    Duration forecast, double persecond, Duration least,
                    Time now, std::uint64_t &random) noexcept {
  const Duration room = std::max(latestStart(limits) - now, Duration::zero());
  const Time free = now + std::max(forecast - room, Duration::zero());
  const double perreturn =
      std::max(persecond, MinSendsPerSecond) * ReturningFraction;
  schedule.RoomAt =
      std::min(std::max(schedule.RoomAt, free) + fromSeconds(1 / perreturn),
               now + MaxReturnTime);
  const Duration most =
      std::max(limits.Deadline - now, Duration::zero()) / MaxReturnDivisor;
  const Duration time = std::min(schedule.RoomAt - now, most);
  // Half of the time is certain, so that nobody returns to the same backlog.
  const Duration spread = scaled(time, (1 + randomFraction(random)) / 2);
  return std::min(std::max(spread, least), most);
}

} // namespace zinniagauge
