// Which endpoints are likely to hold a prompt's prefix in their cache.
#ifndef ZINNIAGAUGE_DECIDE_AFFINITY_H
#define ZINNIAGAUGE_DECIDE_AFFINITY_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace zinniagauge {

/// An endpoint that was sent a prefix.
struct PrefixHolder {
  EndpointId Endpoint;
  Time LastUsedAt;
};

/// One prefix: its latest holders and its length in tokens, as far as caches
/// have shown it (zero: not yet).
struct Prefix {
  std::array<PrefixHolder, 4> Holders;
  std::uint32_t Tokens = 0;
};

/// The prefixes of a pool, at most two generations of MaxPrefixes each: the
/// ones not used for a whole generation are forgotten.
struct PrefixTable {
  std::unordered_map<std::uint64_t, Prefix> Young;
  std::unordered_map<std::uint64_t, Prefix> Old;
};

/// The most prefixes of one generation.
inline constexpr std::size_t MaxPrefixes = 16'384;

/// The entry of \p hash, or null if it is not known.
[[nodiscard]] const Prefix *findPrefix(const PrefixTable &table,
                                       std::uint64_t hash) noexcept;

/// Whether \p p was sent to \p ep after \p since.
[[nodiscard]] bool isHeldBy(const Prefix &p, EndpointId ep,
                            Time since) noexcept;

/// Whether \p p was sent to any endpoint but \p ep after \p since.
[[nodiscard]] bool isHeldElsewhere(const Prefix &p, EndpointId ep,
                                   Time since) noexcept;

/// The tokens of a prompt of \p prompt tokens that a holder of \p p saves.
[[nodiscard]] std::uint32_t savedTokens(const Prefix &p,
                                        std::uint32_t prompt) noexcept;

/// Notes that \p hash was sent to \p ep, which had \p cached tokens of it.
void recordPrefix(PrefixTable &table, std::uint64_t hash, EndpointId ep,
                  std::uint32_t cached, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_AFFINITY_H
