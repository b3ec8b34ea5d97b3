// Reports service-level burn and version moves over all nodes that can be
// reached.
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

/// Maximum size of the text report, chosen to fit on the screen of a phone.
inline constexpr std::size_t MaxReportLines = 20;
inline constexpr std::size_t MaxReportColumns = 60;

/// The counts of one tier, on one node or summed over all.
struct TierReport {
  std::string Name;
  double Objective = 0;
  WindowCounts Windows{};
};

/// The state of one version move, on one node or merged from all.
struct MoveReport {
  std::string Name;
  std::string OldVersion;
  std::string NewVersion;
  MoveStage Stage = MoveStage::Waiting;
  std::uint32_t SharePermille = 0;
  bool VersionIsBad = false;
  std::string BadReason;
};

/// The response of one node to GET /burn.
struct NodeReport {
  std::string VmName;
  std::string ZoneName;
  std::uint64_t BundleVersion = 0;
  std::uint32_t HistoryMinutes = 0; // Minutes counted so far.
  std::vector<TierReport> Tiers;
  std::vector<MoveReport> Moves;
};

/// The merged reports of all nodes.
struct FleetReport {
  std::uint32_t ReachedNodes = 0;
  std::vector<std::string> UnreachableNodes; // Addresses.
  std::uint64_t MinBundleVersion = 0;
  std::uint64_t MaxBundleVersion = 0;
  std::uint32_t MinHistoryMinutes = 0; // Of the node with the shortest history.
  std::vector<TierReport> Tiers;       // Sorted by rank.
  std::vector<MoveReport> Moves;       // Sorted by name.
};

/// Decodes the body of a response to GET /burn. Fails with Broken if it is
/// malformed or incomplete.
[[nodiscard]] Result<NodeReport> decodeBurn(std::string_view text);

/// Merges the reports of \p nodes; \p unreachable lists the addresses of nodes
/// that did not respond. Tiers and objectives are those of the newest bundle. A
/// move that any node reports as rolled back is rolled back.
[[nodiscard]] FleetReport
mergeReports(std::span<const NodeReport> nodes,
             std::span<const std::string> unreachable);

/// Formats the report for a terminal, with up to MaxReportLines lines of up to
/// MaxReportColumns characters.
[[nodiscard]] std::string reportText(const FleetReport &rep);

/// Formats the whole report as JSON.
[[nodiscard]] std::string reportJson(const FleetReport &rep);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_REPORT_H
