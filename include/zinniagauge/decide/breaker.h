// A circuit breaker for each endpoint: an endpoint that fails or becomes slow
// gets no requests for a while, then one probe at a time until a probe
// succeeds.
#ifndef ZINNIAGAUGE_DECIDE_BREAKER_H
#define ZINNIAGAUGE_DECIDE_BREAKER_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// When breakers open, and how long they stay open.
struct BreakerLimits {
  std::uint32_t OpenPermille = 500; // Rate of recent failures.
  std::uint32_t MinUses = 5;        // Before failures may open a breaker.
  std::uint32_t SlowFactor = 5;     // Multiple of the usual time.
  std::uint32_t MinSamples = 32;    // Before slowness may open a breaker.
  Duration InitialBackoff = std::chrono::seconds(1);
  Duration MaxBackoff = std::chrono::seconds(30);
};

/// The breaker of one endpoint in one worker thread.
struct Breaker {
  EndpointId Id;
  std::uint32_t Uses = 0;             // Since it was last closed.
  std::uint32_t FailuresPermille = 0; // Moving average over recent uses.
  std::uint32_t Samples = 0;          // Number of measured times.
  /// Per unit of work, slow moving average.
  Duration UsualTime = Duration::zero();
  /// Per unit of work, fast moving average.
  Duration RecentTime = Duration::zero();
  bool Open = false;
  bool Probing = false; // A probe is under way.
  Time RetryAt;         // When the next probe may be sent.
  Duration CurrentBackoff = Duration::zero(); // Doubles with each failed probe.
};

/// The breakers of one worker thread, sorted by id. Endpoints that were never
/// used have none.
struct BreakerList {
  BreakerLimits Limits;
  std::vector<Breaker> Breakers;
};

/// The result of one use of an endpoint.
struct EndpointUse {
  EndpointId Id;
  bool Failed = false;
  Duration TimePerUnit = Duration::zero(); // Zero: not measured.
};

/// Records a use, and opens or closes the endpoint's breaker accordingly.
void recordUse(BreakerList &list, const EndpointUse &use, Time now);

/// Cancels a probe that mayTry allowed but that was never sent, so that
/// recordUse won't be called for it.
void cancelProbe(BreakerList &list, EndpointId id);

/// Whether a request may be sent to \p id now. If its breaker is open, a result
/// of true makes the request its probe.
[[nodiscard]] bool mayTry(BreakerList &list, EndpointId id, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BREAKER_H
