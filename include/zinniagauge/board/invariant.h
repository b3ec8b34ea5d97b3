// Invariants that are checked while the program runs. A broken one is counted;
// in tests it ends the process.
#ifndef ZINNIAGAUGE_BOARD_INVARIANT_H
#define ZINNIAGAUGE_BOARD_INVARIANT_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace zinniagauge {

/// What must always hold.
enum class Invariant : std::uint8_t {
  OneDispatchPerAttempt, ///< No attempt of a request is dispatched twice.
  NotRunIsTrue,          ///< No not_run after a possible dispatch.
  TierOrder,             ///< No higher tier is shed while a lower one waits.
  GrantInTime,           ///< No grant is used after its end.
  SlotsBalance,          ///< Slots never negative, none leaked at rest.
  VersionRises,          ///< A bundle's version in force never falls.
  ShareBound,            ///< A version's share is never passed.
  MoveEndsOnce,          ///< A version move has one end.
  LeavingGetsNone,       ///< No grant to an endpoint past its leaving bound.
};

/// The number of invariants, for tables indexed by one.
inline constexpr std::size_t InvariantCount = 9;

/// The name of \p inv as metrics carry it, words joined by '_'.
[[nodiscard]] std::string_view toString(Invariant inv) noexcept;

/// Counts a failure of \p inv if \p holds is false, and ends the process if
/// failures are fatal. Returns \p holds, so that a caller may take the safe
/// way out.
bool check(Invariant inv, bool holds) noexcept;

/// How often \p inv has failed since the process started.
[[nodiscard]] std::uint64_t failures(Invariant inv) noexcept;

/// Makes failures end the process (tests) or not (the default).
void setInvariantsFatal(bool fatal) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_INVARIANT_H
