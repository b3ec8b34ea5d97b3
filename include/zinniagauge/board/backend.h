// Back ends as discovery knows them.
#ifndef ZINNIAGAUGE_BOARD_BACKEND_H
#define ZINNIAGAUGE_BOARD_BACKEND_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace zinniagauge {

/// One back end in one lifetime.
struct Backend {
  std::string Name; // What it calls itself; sent with each call.
  EndpointId Id;
  std::uint64_t StartedAtMs =
      0; // Unix ms of its start; another start, another life.
  PoolId Pool;
  PeerAddress Address;
  ZoneId Zone;
  VersionId Version;
  std::uint32_t Slots = 1; // Calls that it runs at once.
  bool Leaving = false;

  bool operator==(const Backend &) const = default;
};

/// All that may be used or finish its work, sorted by id.
struct BackendList {
  std::vector<Backend> List;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BACKEND_H
