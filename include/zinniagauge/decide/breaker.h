// A circuit breaker for each endpoint: one that fails or slows gets no work
// for a while, then one probe at a time until a probe succeeds.
#ifndef ZINNIAGAUGE_DECIDE_BREAKER_H
#define ZINNIAGAUGE_DECIDE_BREAKER_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// When breakers open and how long they stay so.
struct BreakerLimits {
  std::uint32_t OpenPermille = 500; // Of failures, lately.
  std::uint32_t MinUses = 5;        // Before a breaker may open.
  std::uint32_t SlowFactor = 5;     // Times the usual time for the same work.
  std::uint32_t MinSamples = 32;    // Before the usual time is known.
  Duration InitialBackoff = std::chrono::seconds(1);
  Duration MaxBackoff = std::chrono::seconds(30);
};

/// One endpoint, as one worker thread has seen it.
struct Breaker {
  EndpointId Id;
  std::uint32_t Uses = 0;                 // Since it closed last.
  std::uint32_t FailuresPermille = 0;     // Moving average, recent uses.
  std::uint32_t Samples = 0;              // Of times.
  Duration UsualTime = Duration::zero();  // For a unit of work, slow average.
  Duration RecentTime = Duration::zero(); // Likewise, fast average.
  bool Open = false;
  bool Probing = false;                       // A probe is under way.
  Time RetryAt;                               // When the next probe may go.
  Duration CurrentBackoff = Duration::zero(); // Doubles with each failed probe.
};

/// The breakers of one worker thread, sorted by id; closed ones that never saw
/// a use are absent.
struct BreakerList {
  BreakerLimits Limits;
  std::vector<Breaker> Breakers;
};

/// How one use of an endpoint went.
struct EndpointUse {
  EndpointId Id;
  bool Failed = false;
  Duration TimePerUnit =
      Duration::zero(); // Time for a unit of work; zero: none.
};

/// Learns from a use, and opens or closes the endpoint's breaker.
void recordUse(BreakerList &list, const EndpointUse &use, Time now);

/// A use that noteUse was promised for did not happen: a probe that never left.
void cancelProbe(BreakerList &list, EndpointId id);

/// Whether a request should go to \p id now. True for an open breaker means
/// that the request is its probe.
[[nodiscard]] bool mayTry(BreakerList &list, EndpointId id, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BREAKER_H
