// The priority class of a request.
#ifndef ZINNIAGAUGE_BOARD_TIER_H
#define ZINNIAGAUGE_BOARD_TIER_H

#include <compare>
#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// The maximum number of tiers in a bundle.
inline constexpr std::size_t MaxTiers = 8;

/// A priority class. Rank 0 is served first and shed last.
struct Tier {
  std::uint8_t Rank = 0;

  auto operator<=>(const Tier &) const = default;
};

/// Whether \p a is served before \p b.
[[nodiscard]] constexpr bool isHigher(Tier a, Tier b) noexcept {
  return a.Rank < b.Rank;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_TIER_H
