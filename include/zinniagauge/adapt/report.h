// The report on service-level burn and version moves, over all nodes that could
// be reached.
#ifndef ZINNIAGAUGE_ADAPT_REPORT_H
#define ZINNIAGAUGE_ADAPT_REPORT_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/decide/burn.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The longest text report: what a phone shows at once.
inline constexpr std::size_t MaxReportLines = 20;
inline constexpr std::size_t MaxReportColumns = 60;

/// One tier, of one node or of all.
struct TierReport {
  std::string Name;
  double Objective = 0;
  WindowCounts Windows{};
};

/// One version move, as one node or all of them know it.
struct MoveReport {
  std::string Name;
  std::string OldVersion;
  std::string NewVersion;
  MoveStage Stage = MoveStage::Waiting;
  std::uint32_t SharePermille = 0;
  bool Bad = false;
  std::string Evidence;
};

/// What one node answered to GET /burn.
struct NodeReport {
  std::string VmName;
  std::string ZoneName;
  std::uint64_t BundleVersion = 0;
  std::uint32_t HistoryMinutes = 0; // That the node has counted so far.
  std::vector<TierReport> Tiers;
  std::vector<MoveReport> Moves;
};

/// What all nodes together say.
struct FleetReport {
  std::uint32_t ReachedNodes = 0;
  std::vector<std::string> UnreachableNodes; // Addresses.
  std::uint64_t MinBundleVersion = 0;
  std::uint64_t MaxBundleVersion = 0;
  std::uint32_t MinHistoryMinutes = 0; // Minutes, of the node that has least.
  std::vector<TierReport> Tiers;       // By rank.
  std::vector<MoveReport> Moves;       // By name.
};

/// Reads what GET /burn answered. Fails with Broken.
[[nodiscard]] Result<NodeReport> decodeBurn(std::string_view text);

/// Adds up what the nodes said. Objectives and tiers are those of the newest
/// bundle; a move that any node saw taken back is taken back.
[[nodiscard]] FleetReport mergeReports(std::span<const NodeReport> nodes,
                                       std::span<const std::string> missed);

/// The report for a terminal: at most ReportLines lines of ReportColumns.
[[nodiscard]] std::string reportText(const FleetReport &rep);

/// The whole report as JSON.
[[nodiscard]] std::string reportJson(const FleetReport &rep);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_REPORT_H
