// The report of a VM's entry to its agent.
#ifndef ZINNIAGAUGE_BOARD_ENTRY_REPORT_H
#define ZINNIAGAUGE_BOARD_ENTRY_REPORT_H

#include "zinniagauge/board/move.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// The entry's response to the last update of its board. If the last update got
/// no response, the other members are from the last one that did.
struct EntryReport {
  bool Reachable = false; // The last update got a response.
  Time LastResponseAt;
  std::uint64_t BundleVersion = 0;
  VersionStatsList Stats;
  MoveList BadMoves; // Moves whose new version the entry found to be bad.
  bool Stopping = false;
  std::uint64_t InProgress = 0; // Number of requests.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ENTRY_REPORT_H
