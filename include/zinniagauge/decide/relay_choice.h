// Chooses the front through which a call is relayed, and how many of the call's
// attempts that front may use.
#ifndef ZINNIAGAUGE_DECIDE_RELAY_CHOICE_H
#define ZINNIAGAUGE_DECIDE_RELAY_CHOICE_H

#include "zinniagauge/decide/next_step.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace zinniagauge {

/// A front that accepts relayed calls, as far as the choice depends on it.
struct RelayCandidate {
  bool Usable = true; // It reaches the pool, and nothing speaks against it.
  bool SameZone = false;
  bool Tried = false;        // An attempt of the call was relayed through it.
  std::uint32_t Running = 0; // Calls that this front relays through it.
};

/// The index of the front to use: one that wasn't tried goes before one that
/// was, then one of the own zone before others, then the one with the fewest
/// calls. \p random decides ties. One with \p maxrunning calls gets no more;
/// nothing if there is no other.
[[nodiscard]] std::optional<std::size_t>
chooseRelayPeer(std::span<const RelayCandidate> list, std::uint32_t maxrunning,
                std::uint64_t &random) noexcept;

/// Whether this front keeps one attempt of a call that it relays, for the case
/// that the other front is lost.
[[nodiscard]] bool keepsAttempt(const CallFacts &facts) noexcept;

/// How many attempts the front that a call is relayed to may use, at least one.
/// As it may be lost before it says how many it used, these count as used up;
/// one more is kept if the call can be sent again.
[[nodiscard]] std::uint32_t attemptsForPeer(const CallFacts &facts) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RELAY_CHOICE_H
