// The latency histogram.
#include "zinniagauge/board/counters.h"

#include <algorithm>

namespace zinniagauge {

void LatencyHistogram::observe(std::uint64_t micros) noexcept {
  constexpr std::uint64_t MicrosPerMs = 1000;
  const auto it = std::lower_bound(
      LatencyBoundsMs.begin(), LatencyBoundsMs.end(), micros,
      [](std::uint32_t ms, std::uint64_t us) { return ms * MicrosPerMs < us; });
  Buckets[static_cast<std::size_t>(it - LatencyBoundsMs.begin())].add();
  SumMicros.add(micros);
}

} // namespace zinniagauge
