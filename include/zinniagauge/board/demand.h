// What workspaces ask of processes, and what each process may spend for them.
#ifndef ZINNIAGAUGE_BOARD_DEMAND_H
#define ZINNIAGAUGE_BOARD_DEMAND_H

#include "zinniagauge/board/ids.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// What one workspace lately asked of one process.
struct Demand {
  WorkspaceId Workspace;
  double CostPerSecond = 0;

  bool operator==(const Demand &) const = default;
};

/// The demand section of the board, sorted by workspace.
struct DemandList {
  std::vector<Demand> List;
};

/// What was spent for one workspace since the process began, or by several.
struct WorkspaceSpend {
  WorkspaceId Workspace;
  std::uint64_t Total = 0;
  std::uint64_t BeforeFirstReport =
      0; // Not in it: before those who spent were heard first.

  bool operator==(const WorkspaceSpend &) const = default;
};

/// The spent section of the board, sorted by workspace.
struct SpendList {
  std::vector<WorkspaceSpend> List;
};

/// Which part of a workspace's limit this process may spend.
struct AllowanceShare {
  WorkspaceId Workspace;
  double Share = 0; // 0 to 1.
};

/// The shares section of the board, sorted by workspace.
struct AllowanceShares {
  std::vector<AllowanceShare> List;
  /// Of a workspace of which nothing was asked lately. Until the other
  /// processes are known it is a part that few exceed together.
  double DefaultShare = 0.05;
  std::uint32_t AliveProcesses = 1; // That are known to live.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_DEMAND_H
