#include "zinniagauge/decide/cold_start.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

/// The probability that at least \p least of \p n events occur, each with
/// probability \p p.
double tailProbability(double n, double p, double least) noexcept {
  if (least <= 0)
    return 1;
  if (least > n || p <= 0)
    return 0;
  if (p >= 1)
    return 1;
  double sum = 0;
  for (double k = std::ceil(least); k <= n; ++k) {
    const double term = std::exp(std::lgamma(n + 1) - std::lgamma(k + 1) -
                                 std::lgamma(n - k + 1) + k * std::log(p) +
                                 (n - k) * std::log1p(-p));
    sum += term;
    if (k > n * p && term < sum * 1e-6)
      break;
  }
  return sum;
}

/// How often a second with more than \p allowed calls begins if \p fronts send
/// \p rate a second together. Each front sends once per period, at a time of
/// its own, and up to ColdPermitLifetime late.
double excessRate(double rate, double allowed, double fronts) noexcept {
  const double span =
      1 + std::chrono::duration<double>(ColdPermitLifetime).count();
  const double each = span * rate / fronts;
  const double whole = std::floor(each);
  return rate * tailProbability(fronts, each - whole, allowed - whole * fronts);
}

} // namespace

double coldBudget(double persecond, double tolerated,
                  std::uint32_t fronts) noexcept {
  const double allowed = std::floor(tolerated) - ReservedColdCalls;
  const double n = std::max(fronts, 1U);
  if (excessRate(persecond, allowed, n) <= MaxColdExcessRate)
    return persecond;
  constexpr int Halvings = 30;
  double low = 0;
  double high = persecond;
  for (int it = 0; it < Halvings; ++it) {
    const double mid = (low + high) / 2;
    (excessRate(mid, allowed, n) <= MaxColdExcessRate ? low : high) = mid;
  }
  return low;
}

void setColdRate(ColdPermits &permits, double persecond, Time now,
                 std::uint64_t &random) noexcept {
  // The longest period still lets every front send once an hour.
  constexpr double LongestPeriod = 3600;
  const Duration period =
      persecond > 0
          ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                std::min(1 / persecond, LongestPeriod)))
          : Duration::zero();
  if (period == permits.Period)
    return;
  permits.Period = period;
  permits.NextNumber = 0;
  constexpr std::size_t Parts = 1U << 20U;
  const double part = static_cast<double>(randomBelow(random, Parts)) / Parts;
  permits.FirstAt = now + std::chrono::duration_cast<Duration>(period * part);
}

namespace {

/// The number of the first permission that isn't used and hasn't expired.
std::int64_t firstValid(const ColdPermits &permits, Time now) noexcept {
  const Duration age = now - ColdPermitLifetime - permits.FirstAt;
  const std::int64_t expired =
      age < Duration::zero() ? 0 : age / permits.Period + 1;
  return std::max(permits.NextNumber, expired);
}

} // namespace

Time nextPermitAt(const ColdPermits &permits, Time now) noexcept {
  if (permits.Period == Duration::zero())
    return Time::max();
  return std::max(now,
                  permits.FirstAt + permits.Period * firstValid(permits, now));
}

void usePermit(ColdPermits &permits, Time now) noexcept {
  if (nextPermitAt(permits, now) <= now)
    permits.NextNumber = firstValid(permits, now) + 1;
}

void recordFrontCount(FrontCount &count, std::uint32_t fronts, bool informed,
                      Time now) noexcept {
  if (now - count.IntervalBegan > FrontCountMemory) {
    count.Previous = count.Current;
    count.Current = 0;
    count.IntervalBegan = now;
  }
  count.Current = std::max(count.Current, fronts);
  if (informed && count.KnownSince == Time())
    count.KnownSince = now;
}

std::uint32_t frontCount(const FrontCount &count, Time now) noexcept {
  if (count.KnownSince == Time() || now - count.KnownSince < FrontCountSettling)
    return 0;
  return std::max(count.Current, count.Previous);
}

void setRowCold(ColdPhase &phase, Time until, Time now) noexcept {
  if (until > phase.RowUntil)
    phase.RowSince = now;
  phase.RowUntil = until;
}

bool presumeCold(ColdPhase &phase, Time until, Time now) noexcept {
  if (until <= phase.PresumedUntil)
    return false;
  phase.PresumedUntil = until;
  phase.PresumedSince = now;
  return true;
}

Time coldUntil(const ColdPhase &phase, Time now) noexcept {
  if (phase.Unreachable)
    return Time::max();
  // A cold phase that the row has stated since then replaces the presumption.
  // A row that says warm may be older than the loss of the connection.
  const bool replaced =
      phase.RowSince != Time() && phase.RowSince > phase.PresumedSince;
  if (replaced || phase.PresumedUntil <= now)
    return phase.RowUntil;
  return std::max(phase.RowUntil, phase.PresumedUntil);
}

} // namespace zinniagauge
