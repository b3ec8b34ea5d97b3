#include "zinniagauge/decide/burn.h"

#include <algorithm>
#include <limits>

namespace zinniagauge {

namespace {

std::int64_t minuteOf(Time t) noexcept {
  return std::chrono::floor<std::chrono::minutes>(t).time_since_epoch().count();
}

std::size_t slotOf(std::int64_t minute) noexcept {
  return static_cast<std::size_t>(minute) % BurnHistoryMinutes;
}

/// Clears the minutes after the newest one up to \p minute, which becomes the
/// newest.
void advance(BurnHistory &hist, std::int64_t minute) noexcept {
  const auto length = static_cast<std::int64_t>(BurnHistoryMinutes);
  std::int64_t at = std::max(hist.NewestMinute + 1, minute - length + 1);
  for (; at <= minute; ++at)
    hist.Minutes[slotOf(at)] = {};
  hist.NewestMinute = minute;
  if (hist.OldestMinute < 0)
    hist.OldestMinute = minute;
}

bool reachesBoth(const TierCount &longer, const TierCount &shorter,
                 double objective, double bound) noexcept {
  return burnRate(longer, objective) >= bound &&
         burnRate(shorter, objective) >= bound;
}

} // namespace

TierCounts readTierCounts(const Counters &counts) noexcept {
  TierCounts out{};
  for (std::size_t rank = 0; rank < MaxTiers; ++rank) {
    const TierCounters &tier = counts.ByTier[rank];
    // Good is read before the total, so that a request that ends in between
    // can't make it exceed the total.
    out[rank].Good = tier.Good.get();
    for (const Counter &it : tier.ByOutcome)
      out[rank].Total += it.get();
  }
  return out;
}

void updateBurnHistory(BurnHistory &hist, const TierCounts &counts,
                       Time now) noexcept {
  const std::int64_t minute = std::max(minuteOf(now), hist.NewestMinute);
  if (minute > hist.NewestMinute)
    advance(hist, minute);
  for (std::size_t rank = 0; rank < MaxTiers; ++rank) {
    BurnMinute &to = hist.Minutes[slotOf(minute)][rank];
    const TierCount &seen = hist.LastCounts[rank];
    to.Total += static_cast<std::uint32_t>(counts[rank].Total - seen.Total);
    to.Good += static_cast<std::uint32_t>(counts[rank].Good - seen.Good);
  }
  hist.LastCounts = counts;
}

std::uint32_t historyMinutes(const BurnHistory &hist) noexcept {
  const std::int64_t n =
      hist.OldestMinute < 0 ? 0 : hist.NewestMinute - hist.OldestMinute + 1;
  return static_cast<std::uint32_t>(
      std::min(n, static_cast<std::int64_t>(BurnHistoryMinutes)));
}

WindowCounts windowCounts(const BurnHistory &hist, Tier at) noexcept {
  WindowCounts out{};
  for (std::uint32_t age = 0; age < BurnHistoryMinutes; ++age) {
    const std::int64_t minute = hist.NewestMinute - age;
    if (minute < 0)
      break;
    const BurnMinute &from = hist.Minutes[slotOf(minute)][at.Rank];
    for (std::size_t i = 0; i < BurnWindowMinutes.size(); ++i) {
      if (age >= BurnWindowMinutes[i])
        continue;
      out[i].Total += from.Total;
      out[i].Good += from.Good;
    }
  }
  return out;
}

void addWindowCounts(WindowCounts &to,
                     std::span<const TierCount> from) noexcept {
  const std::size_t n = std::min(to.size(), from.size());
  for (std::size_t i = 0; i < n; ++i) {
    to[i].Total += from[i].Total;
    to[i].Good += from[i].Good;
  }
}

double burnRate(const TierCount &count, double objective) noexcept {
  if (count.Good >= count.Total)
    return 0;
  if (objective >= 1)
    return std::numeric_limits<double>::infinity();
  const auto bad = static_cast<double>(count.Total - count.Good);
  return bad / static_cast<double>(count.Total) / (1 - objective);
}

BurnAlert burnAlertOf(const WindowCounts &counts, double objective) noexcept {
  const auto &[five, thirty, hour, six] = counts;
  if (reachesBoth(hour, five, objective, FastBurn))
    return BurnAlert::Fast;
  if (reachesBoth(six, thirty, objective, SlowBurn))
    return BurnAlert::Slow;
  return BurnAlert::Ok;
}

} // namespace zinniagauge
