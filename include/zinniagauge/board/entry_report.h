// What the entry of a VM tells its agent.
#ifndef ZINNIAGAUGE_BOARD_ENTRY_REPORT_H
#define ZINNIAGAUGE_BOARD_ENTRY_REPORT_H

#include "zinniagauge/board/move.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// The entry's answer to the last update of its board.
struct EntryReport {
  bool Reachable = false; // The last update was answered; all else is of then.
  Time LastResponseAt;    // When it was.
  std::uint64_t BundleVersion = 0;
  VersionStatsList Stats;
  MoveList BadMoves; // Moves whose version the entry has seen to be bad.
  bool Stopping = false;
  std::uint64_t InProgress = 0; // Requests.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ENTRY_REPORT_H
