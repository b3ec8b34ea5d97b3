#include "zinniagauge/decide/allowance.h"

#include <algorithm>

namespace zinniagauge {

namespace {

double secondsOf(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

} // namespace

double bucketSize(const PlanWorkspace &ws,
                  const AllowanceMargin &margin) noexcept {
  const double steady = ws.RatePerSecond * secondsOf(margin.Window);
  const double limit =
      (steady + ws.Burst) * (1 + margin.Overage) + margin.Slack;
  return std::max(ws.Burst, UsedMarginFraction * (limit - steady));
}

namespace {

/// The smallest fraction by which spending is scaled up; it keeps the level
/// finite.
constexpr double MinHeardFraction = 0.001;

double heardFraction(const PeerSpending &peers) noexcept {
  return std::clamp(peers.HeardFraction, MinHeardFraction, 1.0);
}

/// Takes \p cost of processes that are heard, and as much in proportion for
/// those that aren't.
void spend(AllowanceState &st, double cost) noexcept {
  const double assumed = cost / st.HeardFraction - cost;
  st.Level -= cost + assumed;
  st.AssumedCost += assumed;
  st.RecentCost += cost;
}

/// Applies a new heard fraction. Those that are no longer heard spent unnoticed
/// for up to PeerReportTimeout before; those that are heard again report what
/// they spent, so that less of it is assumed.
void setHeardFraction(AllowanceState &st, double fraction,
                      double size) noexcept {
  if (fraction > st.HeardFraction) {
    const double kept = (1 / fraction - 1) / (1 / st.HeardFraction - 1);
    const double most = std::max(st.Level, size * MaxRejoinFraction);
    st.Level = std::min(st.Level + st.AssumedCost * (1 - kept), most);
    st.AssumedCost *= kept;
  } else {
    const double assumed =
        (st.RecentCost + st.FormerCost) * (1 / fraction - 1 / st.HeardFraction);
    st.Level -= assumed;
    st.AssumedCost += assumed;
  }
  st.HeardFraction = fraction;
}

void updateRecentCost(AllowanceState &st, Time now) noexcept {
  const Duration age = now - st.RecentSince;
  if (age < PeerReportTimeout)
    return;
  st.FormerCost = age < 2 * PeerReportTimeout ? st.RecentCost : 0;
  st.RecentCost = 0;
  st.RecentSince = now;
}

} // namespace

void updateAllowance(AllowanceState &st, const PlanWorkspace &ws,
                     const PeerSpending &peers, const AllowanceMargin &margin,
                     Time now) noexcept {
  initAllowance(st, ws, peers, margin, now);
  const double size = bucketSize(ws, margin);
  st.Level += ws.RatePerSecond * secondsOf(now - st.RefilledAt);
  st.Level = std::min(st.Level, size);
  st.RefilledAt = now;
  updateRecentCost(st, now);
  setHeardFraction(st, heardFraction(peers), size);
  if (peers.Total > st.PeerCostApplied)
    spend(st, static_cast<double>(peers.Total - st.PeerCostApplied));
  st.PeerCostApplied = std::max(st.PeerCostApplied, peers.Total);
  // A debt of more than a bucket would refuse calls for longer than the window
  // lasts that it protects.
  st.Level = std::max(st.Level, -size / st.HeardFraction);
}

void initAllowance(AllowanceState &st, const PlanWorkspace &ws,
                   const PeerSpending &peers, const AllowanceMargin &margin,
                   Time now) noexcept {
  if (st.Initialized)
    return;
  st.Initialized = true;
  st.RefilledAt = now;
  const double size = bucketSize(ws, margin);
  const double earliercost = peers.HeardFraction >= EnoughHeardFraction
                                 ? static_cast<double>(peers.BeforeFirstReport)
                                 : size;
  st.Level = std::max(size - earliercost, size * InitialLevelFraction);
  st.PeerCostApplied = peers.Total;
}

std::optional<Duration> takeAllowance(AllowanceState &st,
                                      const PlanWorkspace &ws,
                                      const PeerSpending &peers,
                                      const AllowanceMargin &margin,
                                      double cost, Time now) noexcept {
  if (ws.RatePerSecond <= 0)
    return std::nullopt;
  const double size = bucketSize(ws, margin);
  updateAllowance(st, ws, peers, margin, now);
  const double scaledcost = cost / st.HeardFraction;
  // A cost larger than the whole bucket fits once the bucket is full, and
  // leaves a negative level.
  const double needed = std::min(scaledcost, size);
  if (st.Level >= needed && size > 0) {
    spend(st, cost);
    return std::nullopt;
  }
  constexpr double MaxWait = 5; // Seconds; demand may change in this time.
  const double wait = std::min((needed - st.Level) / ws.RatePerSecond, MaxWait);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait));
}

void recordSpent(AllowanceState &st, double cost) noexcept {
  st.SpentTotal += static_cast<std::uint64_t>(cost);
}

void refundAllowance(AllowanceState &st, double cost) noexcept {
  const double assumed =
      std::min(cost / st.HeardFraction - cost, st.AssumedCost);
  st.Level += cost + assumed;
  st.AssumedCost -= assumed;
  st.RecentCost = std::max(st.RecentCost - cost, 0.0);
}

} // namespace zinniagauge
