// The back ends that discovery has read from the table service.
#ifndef ZINNIAGAUGE_BOARD_BACKEND_H
#define ZINNIAGAUGE_BOARD_BACKEND_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniagauge {

/// One incarnation of a back end. It has a new id after each restart.
struct Backend {
  std::string Name; // The back end's own name; sent with each call.
  EndpointId Id;
  /// Unix milliseconds; differs for each incarnation.
  std::uint64_t StartedAtMs = 0;
  PoolId Pool;
  PeerAddress Address;
  ZoneId Zone;
  VersionId Version;
  std::uint32_t Slots = 1; // Calls that it runs at the same time.
  bool Leaving = false;
  /// By bootNow; in the past if it is warm as far as its row says.
  Time ColdUntil;
  /// What its row states; zero: it is warm, or the row doesn't say; empty: the
  /// row's value can't be read. Only in readings of the list.
  std::optional<Duration> ColdRemaining = Duration::zero();

  bool operator==(const Backend &) const = default;
};

/// All back ends that may take calls or are finishing theirs, sorted by id.
struct BackendList {
  std::vector<Backend> List;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BACKEND_H
