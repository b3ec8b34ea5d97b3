#include "zinniagauge/decide/backpressure.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

constexpr LimitTolerance Tolerance;

double secondsOf(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

/// The permissions that one of \p fronts gets a second.
double ratePerFront(const Backpressure &bp, std::uint32_t fronts) noexcept {
  return UsedLimitFraction * bp.LimitPerSecond / std::max(fronts, 1U);
}

/// Whether all fronts may use a permission at the same time, and go on at their
/// rates, without exceeding the tolerance.
bool fitsAtOnce(const Backpressure &bp, std::uint32_t fronts) noexcept {
  const double steady = bp.LimitPerSecond * secondsOf(Tolerance.Window);
  return fronts + UsedLimitFraction * steady <=
         steady * (1 + Tolerance.Overage) + Tolerance.Slack;
}

} // namespace

bool setLimit(Backpressure &bp, double persecond, Time now,
              std::uint64_t &random) noexcept {
  const double limit = persecond > 0 ? std::clamp(persecond, MinLimitPerSecond,
                                                  MaxLimitPerSecond)
                                     : 0;
  if (limit == bp.LimitPerSecond)
    return false;
  if (bp.LimitPerSecond == 0) {
    constexpr std::size_t Parts = 1U << 20U;
    bp.Level = static_cast<double>(randomBelow(random, Parts)) / Parts;
    bp.UpdatedAt = now;
  }
  bp.LimitPerSecond = limit;
  return true;
}

double permissions(const Backpressure &bp, std::uint32_t fronts,
                   Time now) noexcept {
  const double rate = ratePerFront(bp, fronts);
  const double level = bp.Level + rate * secondsOf(now - bp.UpdatedAt);
  const double kept = rate * secondsOf(PermissionLifetime);
  if (level <= 1 + kept)
    return level;
  // Unused permissions expire, the oldest first.
  if (kept < 1 && !fitsAtOnce(bp, fronts))
    return level - std::floor(level - kept);
  return 1 + kept;
}

bool maySend(const Backpressure &bp, std::uint32_t fronts, Time now) noexcept {
  return nextSendAt(bp, fronts, now) <= now;
}

Time nextSendAt(const Backpressure &bp, std::uint32_t fronts,
                Time now) noexcept {
  if (bp.Leaving)
    return Time::max();
  const Time earliest = std::max(now, bp.RetryAt);
  if (bp.LimitPerSecond == 0)
    return earliest;
  const double missing = 1 - permissions(bp, fronts, earliest);
  if (missing <= 0)
    return earliest;
  return earliest +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(missing / ratePerFront(bp, fronts)));
}

void usePermission(Backpressure &bp, std::uint32_t fronts, Time now) noexcept {
  if (bp.LimitPerSecond == 0)
    return;
  bp.Level = permissions(bp, fronts, now) - 1;
  bp.UpdatedAt = now;
}

namespace {

bool byId(const BackendLimit &a, const BackendLimit &b) noexcept {
  return a.Id < b.Id;
}

/// Whether \p next replaces \p now.
bool isNewer(const BackendLimit &next, const BackendLimit &now) noexcept {
  const Duration margin =
      next.PerSecond == 0 ? LimitEndMargin : Duration::zero();
  return next.At > now.At + margin;
}

/// Drops the entries that were heard first until MaxSharedLimits are left.
void dropOldest(BackendLimitList &list) {
  while (list.List.size() > MaxSharedLimits)
    list.List.erase(
        std::min_element(list.List.begin(), list.List.end(),
                         [](const BackendLimit &a, const BackendLimit &b) {
                           return a.At < b.At;
                         }));
}

} // namespace

bool mergeLimits(BackendLimitList &list, std::span<const BackendLimit> more) {
  bool changed = false;
  for (const BackendLimit &m : more) {
    const auto it =
        std::lower_bound(list.List.begin(), list.List.end(), m, byId);
    const bool known = it != list.List.end() && it->Id == m.Id;
    if (known && !isNewer(m, *it))
      continue;
    changed = changed || !known || it->PerSecond != m.PerSecond;
    if (known)
      *it = m;
    else
      list.List.insert(it, m);
  }
  dropOldest(list);
  return changed;
}

bool dropExpired(BackendLimitList &list, Time now) {
  return std::erase_if(list.List, [&](const BackendLimit &l) {
           return now - l.At > SharedLimitLifetime;
         }) > 0;
}

bool sameLimits(std::span<const BackendLimit> a,
                std::span<const BackendLimit> b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const BackendLimit &x, const BackendLimit &y) {
                      return x.Id == y.Id && x.PerSecond == y.PerSecond;
                    });
}

} // namespace zinniagauge
