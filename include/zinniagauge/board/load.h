// How many calls run at back ends, and how fast these are, as known to one
// process.
#ifndef ZINNIAGAUGE_BOARD_LOAD_H
#define ZINNIAGAUGE_BOARD_LOAD_H

#include "zinniagauge/board/ids.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// The calls of one or several processes at one back end.
struct BackendLoad {
  EndpointId Id;
  std::uint32_t Running = 0;
  std::uint32_t PendingTokens = 0; // Prompt tokens that aren't processed yet.
  /// Microseconds for each event; zero: unknown.
  std::uint32_t MicrosPerEvent = 0;

  bool operator==(const BackendLoad &) const = default;
};

/// Loads sorted by back end. A back end that isn't listed has no load.
struct LoadList {
  std::vector<BackendLoad> List;
};

/// The load of \p id; zero if it isn't listed.
[[nodiscard]] BackendLoad findLoad(const LoadList &loads,
                                   EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_LOAD_H
