// Tracks which endpoints probably hold a prompt's prefix in their cache.
#ifndef ZINNIAGAUGE_DECIDE_AFFINITY_H
#define ZINNIAGAUGE_DECIDE_AFFINITY_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace zinniagauge {

/// An endpoint that a prefix was sent to.
struct PrefixHolder {
  EndpointId Endpoint;
  Time LastUsedAt;
};

/// One prefix: the endpoints that it was last sent to, and its length in tokens
/// as observed from cache hits (zero: none observed yet).
struct Prefix {
  std::array<PrefixHolder, 4> Holders;
  std::uint32_t Tokens = 0;
};

/// The prefixes of a pool, in at most two generations of MaxPrefixes each.
/// Prefixes that are not used for a whole generation are dropped.
struct PrefixTable {
  std::unordered_map<std::uint64_t, Prefix> Young;
  std::unordered_map<std::uint64_t, Prefix> Old;
};

/// The maximum number of prefixes in a generation.
inline constexpr std::size_t MaxPrefixes = 16'384;

/// The entry of \p hash, or null if there is none.
[[nodiscard]] const Prefix *findPrefix(const PrefixTable &table,
                                       std::uint64_t hash) noexcept;

/// Whether \p p was sent to \p ep after \p since.
[[nodiscard]] bool isHeldBy(const Prefix &p, EndpointId ep,
                            Time since) noexcept;

/// Whether \p p was sent to any endpoint other than \p ep after \p since.
[[nodiscard]] bool isHeldElsewhere(const Prefix &p, EndpointId ep,
                                   Time since) noexcept;

/// The number of tokens of a prompt of \p prompt tokens that need no prefill at
/// an endpoint that holds \p p: half of them as long as the length of the
/// prefix is unknown.
[[nodiscard]] std::uint32_t savedTokens(const Prefix &p,
                                        std::uint32_t prompt) noexcept;

/// Records that \p hash was sent to \p ep, which had \p cached tokens of it in
/// its cache.
void recordPrefix(PrefixTable &table, std::uint64_t hash, EndpointId ep,
                  std::uint32_t cached, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_AFFINITY_H
