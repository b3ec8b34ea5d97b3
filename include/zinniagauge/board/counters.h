// Counters that the path of a request adds to: plain atomics, no lock.
#ifndef ZINNIAGAUGE_BOARD_COUNTERS_H
#define ZINNIAGAUGE_BOARD_COUNTERS_H

#include "zinniagauge/board/outcome.h"
#include "zinniagauge/board/tier.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace zinniagauge {

/// A count that never falls.
class Counter {
public:
  /// Adds \p n; never waits.
  void add(std::uint64_t n = 1) noexcept {
    Value.fetch_add(n, std::memory_order_relaxed);
  }
  /// The count so far.
  [[nodiscard]] std::uint64_t get() const noexcept {
    return Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// Upper bounds, in milliseconds, of the buckets in which waits and answer
/// times are counted; a last bucket takes the rest.
inline constexpr std::array<std::uint32_t, 14> LatencyBoundsMs = {
    1, 2, 5, 10, 20, 41, 100, 200, 360, 1000, 2000, 5000, 20000, 60000};

/// A histogram over LatencyBoundsMs.
struct LatencyHistogram {
  std::array<Counter, LatencyBoundsMs.size() + 1> Buckets;
  Counter SumMicros;

  /// Counts one observation of \p micros microseconds.
  void observe(std::uint64_t micros) noexcept;
};

/// What is counted of one tier.
struct TierCounters {
  std::array<Counter, OutcomeCount> ByOutcome;
  Counter Good;                    // Completed within the tier's objective.
  LatencyHistogram QueueTime;      // From arrival to grant.
  LatencyHistogram FirstTokenTime; // From arrival to the first byte.
  LatencyHistogram TotalTime;      // From arrival to the end.
};

/// All counters of a process.
struct Counters {
  std::array<TierCounters, MaxTiers> ByTier;
  Counter Grants;
  Counter GrantsExpired;
  Counter Refusals;
  Counter Retries;
  Counter ClaimsAcquired;
  Counter ClaimsDenied;
  Counter ClaimsUndetermined;
  Counter PromptTokens;
  Counter OutputTokens;
  Counter WastedPrefillTokens; // Prefilled though some engine had them cached.
  Counter CallersDisconnected;
  Counter ExchangeBytesSent;
  Counter ExchangeBytesReceived;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_COUNTERS_H
