// A small random number generator for choices that need no security, such as
// which peer to call. Its state is one integer, so a run can be reproduced from
// its seed.
#ifndef ZINNIAGAUGE_DECIDE_RANDOM_H
#define ZINNIAGAUGE_DECIDE_RANDOM_H

#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// The finalizer of SplitMix64: spreads every input bit over the output.
[[nodiscard]] constexpr std::uint64_t mix64(std::uint64_t x) noexcept {
  x ^= x >> 30U;
  x *= 0xBF58476D1CE4E5B9U;
  x ^= x >> 27U;
  x *= 0x94D049BB133111EBU;
  return x ^ (x >> 31U);
}

/// The next number of the generator with state \p state (SplitMix64).
[[nodiscard]] constexpr std::uint64_t
nextRandom(std::uint64_t &state) noexcept {
  state += 0x9E3779B97F4A7C15U;
  return mix64(state);
}

/// A random number below \p n, which must not be zero.
[[nodiscard]] constexpr std::size_t randomBelow(std::uint64_t &state,
                                                std::size_t n) noexcept {
  return static_cast<std::size_t>(nextRandom(state) % n);
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_RANDOM_H
