// Invariants that are checked at run time. A violation is counted; in tests it
// ends the process.
#ifndef ZINNIAGAUGE_BOARD_INVARIANT_H
#define ZINNIAGAUGE_BOARD_INVARIANT_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace zinniagauge {

/// The conditions that must always hold.
enum class Invariant : std::uint8_t {
  OneDispatchPerAttempt, ///< No attempt of a request is dispatched twice.
  NotRunIsTrue,    ///< No request that may have been dispatched is reported as
                   ///< not_run.
  TierOrder,       ///< No higher tier is shed while a lower one waits.
  GrantInTime,     ///< No grant is used after its expiry.
  SlotsBalance,    ///< The slots in use are never negative, and none are leaked
                   ///< when idle.
  VersionRises,    ///< The version of the active bundle never decreases.
  ShareBound,      ///< A version's share is never exceeded.
  MoveEndsOnce,    ///< A version move ends only once.
  LeavingGetsNone, ///< No grant goes to an endpoint known to be leaving or
                   ///< draining.
};

/// The number of invariants, for tables indexed by one.
inline constexpr std::size_t InvariantCount = 9;

/// The name of \p inv in metrics, with words joined by '_'.
[[nodiscard]] std::string_view toString(Invariant inv) noexcept;

/// Counts a failure of \p inv if \p holds is false, and ends the process if
/// failures are fatal. Returns \p holds, so that a caller can fall back to a
/// safe action.
bool check(Invariant inv, bool holds) noexcept;

/// How often \p inv has failed since the process started.
[[nodiscard]] std::uint64_t failures(Invariant inv) noexcept;

/// Sets whether failures end the process, as in tests, or not, which is the
/// default in programs.
void setInvariantsFatal(bool fatal) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_INVARIANT_H
