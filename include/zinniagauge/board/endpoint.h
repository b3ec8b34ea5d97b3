// The state of endpoints beyond their configuration in the bundle. It is soft
// state and always somewhat out of date.
#ifndef ZINNIAGAUGE_BOARD_ENDPOINT_H
#define ZINNIAGAUGE_BOARD_ENDPOINT_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinniagauge {

/// The load that an endpoint reported.
struct LoadReport {
  Time MeasuredAt; // When the endpoint measured it, on the clock of this VM.
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t TokensInFlight = 0;
};

/// The state of one endpoint. States are merged by the logical or of their
/// flags and the maximum of their other members.
struct EndpointState {
  EndpointId Id;
  bool Leaving = false;  // Reported by any source; holds for this incarnation.
  bool Draining = false; // Ordered by an operator.
  std::uint64_t Incarnation = 0;
  /// The version that it reports to run.
  std::optional<VersionId> ReportedVersion;
  std::optional<LoadReport> Load;
};

/// The endpoints section of the board, sorted by id. An endpoint of the bundle
/// that isn't listed is usable, but its state is unknown.
struct EndpointList {
  std::vector<EndpointState> Endpoints;
};

/// The state of \p id, or null if it isn't listed.
[[nodiscard]] const EndpointState *findEndpointState(const EndpointList &list,
                                                     EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ENDPOINT_H
