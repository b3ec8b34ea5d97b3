// Counters that are updated on the path of a request: atomics without a lock.
#ifndef ZINNIAGAUGE_BOARD_COUNTERS_H
#define ZINNIAGAUGE_BOARD_COUNTERS_H

#include "zinniagauge/board/outcome.h"
#include "zinniagauge/board/tier.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace zinniagauge {

/// A count that never decreases.
class Counter {
public:
  /// Adds \p n; never blocks.
  void add(std::uint64_t n = 1) noexcept {
    Value.fetch_add(n, std::memory_order_relaxed);
  }
  /// The current count.
  [[nodiscard]] std::uint64_t get() const noexcept {
    return Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// Upper bounds, in milliseconds, of the histogram buckets for queue and
/// response times. A last bucket counts everything above.
inline constexpr std::array<std::uint32_t, 14> LatencyBoundsMs = {
    1, 2, 5, 10, 20, 41, 100, 200, 360, 1000, 2000, 5000, 20000, 60000};

/// A histogram over LatencyBoundsMs.
struct LatencyHistogram {
  std::array<Counter, LatencyBoundsMs.size() + 1> Buckets;
  Counter SumMicros;

  /// Counts one observation of \p micros microseconds.
  void observe(std::uint64_t micros) noexcept;
};

/// The counters of one tier.
struct TierCounters {
  std::array<Counter, OutcomeCount> ByOutcome;
  Counter Good;               // Completed within the tier's first-token target.
  LatencyHistogram QueueTime; // From arrival to grant.
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
  /// Prefilled although another engine had them cached.
  Counter WastedPrefillTokens;
  Counter CallersDisconnected;
  Counter ExchangeBytesSent;
  Counter ExchangeBytesReceived;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_COUNTERS_H
