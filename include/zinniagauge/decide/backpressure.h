// What back ends ask of their senders in their responses: to send at most so
// many calls a second, no more calls, or none for some time.
#ifndef ZINNIAGAUGE_DECIDE_BACKPRESSURE_H
#define ZINNIAGAUGE_DECIDE_BACKPRESSURE_H

#include "zinniagauge/board/backend_limit.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace zinniagauge {

/// What one response asks for.
struct BackpressureSignal {
  bool Leaving = false;
  std::optional<double> LimitPerSecond; // Of all fronts together.
  std::optional<Duration> RetryAfter;   // Only in a refusal.
  /// Of all fronts together; the back end fails above it.
  std::optional<double> RejectionsPerSecond;
  bool Rejected = false; // For want of room.
};

/// How much more than its limit a back end tolerates: in any span of length
/// Window, limit * Window * (1 + Overage) + Slack calls of all fronts.
struct LimitTolerance {
  Duration Window = std::chrono::seconds(4);
  double Overage = 0.5;
  double Slack = 5;
};

/// The fraction of a limit that the fronts use together. The rest covers fronts
/// that start, and calls that happen to coincide.
inline constexpr double UsedLimitFraction = 0.8;

/// A lower limit counts as this one, in calls a second. The responses to these
/// few calls show when the limit ends.
inline constexpr double MinLimitPerSecond = 0.1;

inline constexpr double MaxLimitPerSecond = 1e6;

/// The longest time for which a refusal keeps calls away from a back end.
inline constexpr Duration MaxRetryAfter = std::chrono::minutes(10);

/// For how long a permission to send can be used if the fronts are so many that
/// using all of their unused ones at once would exceed the tolerance.
inline constexpr Duration PermissionLifetime = std::chrono::seconds(1);

/// What a back end asked one front for, and the permissions that this front has
/// left. Permissions accrue at the front's part of the limit; Level counts
/// them at UpdatedAt.
struct Backpressure {
  bool Leaving = false;
  Time RetryAt;              // No calls before this time.
  double LimitPerSecond = 0; // Of all fronts together; zero: none.
  double Level = 0;
  Time UpdatedAt;
};

/// Sets the limit of all fronts; zero: none. Returns whether it changed. \p
/// random is the state of a generator: fronts that learn of a limit at the same
/// time get their first permissions at different times.
bool setLimit(Backpressure &bp, double persecond, Time now,
              std::uint64_t &random) noexcept;

/// The permissions at \p now in one of \p fronts.
[[nodiscard]] double permissions(const Backpressure &bp, std::uint32_t fronts,
                                 Time now) noexcept;

/// Whether one of \p fronts may send a call at \p now.
[[nodiscard]] bool maySend(const Backpressure &bp, std::uint32_t fronts,
                           Time now) noexcept;

/// The earliest time at which one of \p fronts may send a call, if no other is
/// sent before; Time::max() if the back end leaves.
[[nodiscard]] Time nextSendAt(const Backpressure &bp, std::uint32_t fronts,
                              Time now) noexcept;

/// Uses one permission for a call that is sent at \p now.
void usePermission(Backpressure &bp, std::uint32_t fronts, Time now) noexcept;

/// The limits that are shared between fronts; the oldest are dropped.
inline constexpr std::size_t MaxSharedLimits = 256;

/// How long a limit is shared after it was last heard.
inline constexpr Duration SharedLimitLifetime = std::chrono::seconds(60);

/// The end of a limit that was heard elsewhere must be newer by this much than
/// the limit: responses may arrive in another order than they were sent.
inline constexpr Duration LimitEndMargin = std::chrono::milliseconds(500);

/// Adds \p more to \p list; of two entries of one back end the newer one stays.
/// Returns whether a limit changed.
bool mergeLimits(BackendLimitList &list, std::span<const BackendLimit> more);

/// Drops what was last heard too long ago. Returns whether there was any.
bool dropExpired(BackendLimitList &list, Time now);

/// Whether both name the same limits.
[[nodiscard]] bool sameLimits(std::span<const BackendLimit> a,
                              std::span<const BackendLimit> b) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BACKPRESSURE_H
