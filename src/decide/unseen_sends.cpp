#include "zinniagauge/decide/unseen_sends.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

/// Time constant of the moving average of arrivals, in seconds.
constexpr double AveragingSeconds = 2;

/// More sends are never assumed; it bounds the work of a choice.
constexpr double MaxAssumedSends = 1000;

double secondsOf(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

} // namespace

void countArrival(ArrivalRate &rate, Time now) noexcept {
  rate.PerSecond = arrivalsPerSecond(rate, now) + 1 / AveragingSeconds;
  rate.UpdatedAt = now;
}

double arrivalsPerSecond(const ArrivalRate &rate, Time now) noexcept {
  return rate.PerSecond *
         std::exp(-secondsOf(now - rate.UpdatedAt) / AveragingSeconds);
}

std::size_t assumedSends(ChoicePlace &place, double expected, Duration delay,
                         Time now, std::uint64_t &random) noexcept {
  if (place.DrawnAt == Time() || now - place.DrawnAt >= delay) {
    constexpr double Range = 1U << 24U;
    place.Fraction =
        static_cast<double>(randomBelow(random, std::size_t{1} << 24U)) / Range;
    place.DrawnAt = now;
  }
  const double count =
      expected > 0 ? place.Fraction * (std::min(expected, MaxAssumedSends) + 1)
                   : 0;
  return static_cast<std::size_t>(count);
}

void placeAssumedSends(std::span<Candidate> list, const CallEstimate &typical,
                       const ChoiceWeights &wt, std::size_t count) {
  if (count == 0)
    return;
  const PoolSpeed sp = poolSpeed(list);
  std::vector<double> costs;
  costs.reserve(list.size());
  for (const Candidate &c : list)
    costs.push_back(placementCost(c, sp, typical, wt));
  for (; count > 0; --count) {
    const auto best = std::min_element(costs.begin(), costs.end());
    if (best == costs.end() || std::isinf(*best))
      return; // No slot is left.
    Candidate &c = list[static_cast<std::size_t>(best - costs.begin())];
    c.Running += 1;
    c.PendingTokens += typical.PromptTokens;
    *best = placementCost(c, sp, typical, wt);
  }
}

} // namespace zinniagauge
