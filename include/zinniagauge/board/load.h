// How many calls run at back ends, and how fast those are, by what one process
// knows.
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
  std::uint32_t PendingTokens = 0;  // Of prompts that are still to be read.
  std::uint32_t MicrosPerEvent = 0; // Time for an event; zero: unknown.

  bool operator==(const BackendLoad &) const = default;
};

/// Loads sorted by back end; one that is absent has none.
struct LoadList {
  std::vector<BackendLoad> List;
};

/// The load of \p id; one without calls if it isn't listed.
[[nodiscard]] BackendLoad findLoad(const LoadList &loads,
                                   EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_LOAD_H
