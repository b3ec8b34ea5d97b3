// Version moves in progress, and what nodes saw of versions.
#ifndef ZINNIAGAUGE_BOARD_MOVE_H
#define ZINNIAGAUGE_BOARD_MOVE_H

#include "zinniagauge/board/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace zinniagauge {

/// How far a version move is. The last two are final.
enum class MoveStage : std::uint8_t { Waiting, Moving, Completed, RolledBack };

/// Whether a move in this stage has ended.
[[nodiscard]] constexpr bool isFinal(MoveStage st) noexcept {
  return st == MoveStage::Completed || st == MoveStage::RolledBack;
}

/// One version move as the board knows it.
struct MoveState {
  MoveId Id;
  std::uint64_t FencingToken = 0; // Of the lease under which the share was set.
  std::uint32_t SharePermille = 0;
  MoveStage Stage = MoveStage::Waiting;
  bool VersionIsBad =
      false;             // Sticky: some node has seen the version to be bad.
  std::string BadReason; // Why, in one sentence; empty if not bad.

  bool operator==(const MoveState &) const = default;
};

/// The moves section of the board, sorted by id.
struct MoveList {
  std::vector<MoveState> Moves;
};

/// How loaded the endpoint was when a request ran there, since a version may
/// be bad only under load.
enum class LoadClass : std::uint8_t { Light, Busy, Full };

/// What evidence is counted by.
struct VersionStatsKey {
  PoolId Pool;
  VersionId Version;
  EndpointId Endpoint;
  RouteId Route;
  LoadClass Load = LoadClass::Light;

  auto operator<=>(const VersionStatsKey &) const = default;
};

/// Counts since the process started; never falls in one incarnation.
struct VersionStatsCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  std::uint64_t FirstTokenNanos = 0; // Sum over the requests that succeeded.
  std::uint64_t TotalNanos = 0;      // Likewise.
  std::uint64_t OutputTokens = 0;    // Likewise.
};

/// One row of evidence.
struct VersionStats {
  VersionStatsKey Key;
  VersionStatsCounts Counts;
};

/// The evidence section of the board, sorted by key.
struct VersionStatsList {
  std::vector<VersionStats> Rows;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_MOVE_H
