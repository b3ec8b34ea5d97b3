// What is known of endpoints besides the bundle: soft state, always some time
// old.
#ifndef ZINNIAGAUGE_BOARD_ENDPOINT_H
#define ZINNIAGAUGE_BOARD_ENDPOINT_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinniagauge {

/// What an endpoint reported of its load.
struct LoadReport {
  Time MeasuredAt; // When the endpoint measured it, on the clock of this VM.
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t TokensInFlight = 0;
};

/// One endpoint's state. Merged by or of the flags and maximum of the rest.
struct EndpointState {
  EndpointId Id;
  bool Leaving = false;  // By any source; holds for this incarnation.
  bool Draining = false; // By an operator's order.
  std::uint64_t Incarnation = 0;
  std::optional<VersionId> ReportedVersion; // What it says it runs.
  std::optional<LoadReport> Load;
};

/// The endpoints section of the board, sorted by id. An endpoint of the bundle
/// that is not listed is usable with nothing known of it.
struct EndpointList {
  std::vector<EndpointState> Endpoints;
};

/// The state of \p id, or null if nothing is known of it.
[[nodiscard]] const EndpointState *findEndpointState(const EndpointList &list,
                                                     EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ENDPOINT_H
