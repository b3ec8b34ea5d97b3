// The state of version moves, and request statistics for each version.
#ifndef ZINNIAGAUGE_BOARD_MOVE_H
#define ZINNIAGAUGE_BOARD_MOVE_H

#include "zinniagauge/board/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace zinniagauge {

/// The stage of a version move. The last two are final.
enum class MoveStage : std::uint8_t { Waiting, Moving, Completed, RolledBack };
inline constexpr std::size_t MoveStageCount = 4;

/// Whether a move in stage \p st has ended.
[[nodiscard]] constexpr bool isFinal(MoveStage st) noexcept {
  return st == MoveStage::Completed || st == MoveStage::RolledBack;
}

/// The state of one version move.
struct MoveState {
  MoveId Id;
  std::uint64_t FencingToken = 0; // Of the lease under which the share was set.
  std::uint32_t SharePermille = 0;
  MoveStage Stage = MoveStage::Waiting;
  /// Some node found the new version to be bad. Never reset.
  bool VersionIsBad = false;
  std::string BadReason; // One sentence; empty if the version isn't bad.

  bool operator==(const MoveState &) const = default;
};

/// The moves section of the board, sorted by id.
struct MoveList {
  std::vector<MoveState> Moves;
};

/// How loaded the endpoint was when a request ran. Statistics are kept for each
/// class, because a version may be bad only under load.
enum class LoadClass : std::uint8_t { Light, Busy, Full };

/// The key by which requests are grouped for statistics.
struct VersionStatsKey {
  PoolId Pool;
  VersionId Version;
  EndpointId Endpoint;
  RouteId Route;
  LoadClass Load = LoadClass::Light;

  auto operator<=>(const VersionStatsKey &) const = default;
};

/// Counts since the process started; they never decrease within an incarnation.
struct VersionStatsCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  std::uint64_t FirstTokenNanos = 0; // Sum over the requests that succeeded.
  std::uint64_t TotalNanos = 0;      // Sum over the requests that succeeded.
  std::uint64_t OutputTokens = 0;    // Sum over the requests that succeeded.
  std::uint64_t SlowResponses = 0;   // Of those that succeeded.
};

/// The statistics for one key.
struct VersionStats {
  VersionStatsKey Key;
  VersionStatsCounts Counts;
};

/// A statistics section of the board, sorted by key.
struct VersionStatsList {
  std::vector<VersionStats> Rows;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_MOVE_H
