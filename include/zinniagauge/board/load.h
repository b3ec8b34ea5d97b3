// How many calls run at back ends, by what one process knows.
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

  bool operator==(const BackendLoad &) const = default;
};

/// Loads sorted by back end; one that is absent has none.
struct LoadList {
  std::vector<BackendLoad> List;
};

/// The load of \p id, or zero.
[[nodiscard]] std::uint32_t loadOf(const LoadList &loads,
                                   EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_LOAD_H
