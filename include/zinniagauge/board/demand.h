// The demand of workspaces at each process, what was spent for them, and the
// share of their limits that each process may spend.
#ifndef ZINNIAGAUGE_BOARD_DEMAND_H
#define ZINNIAGAUGE_BOARD_DEMAND_H

#include "zinniagauge/board/ids.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// The recent demand of one workspace at one process.
struct Demand {
  WorkspaceId Workspace;
  double CostPerSecond = 0;

  bool operator==(const Demand &) const = default;
};

/// The demand section of the board, sorted by workspace.
struct DemandList {
  std::vector<Demand> List;
};

/// The cost spent for one workspace by one or several processes since they
/// started.
struct WorkspaceSpend {
  WorkspaceId Workspace;
  std::uint64_t Total = 0;
  /// Not in Total: spent by peers before the first report from them.
  std::uint64_t BeforeFirstReport = 0;

  bool operator==(const WorkspaceSpend &) const = default;
};

/// A spend section of the board, sorted by workspace.
struct SpendList {
  std::vector<WorkspaceSpend> List;
};

/// The share of a workspace's limit that this process may spend.
struct AllowanceShare {
  WorkspaceId Workspace;
  double Share = 0; // 0 to 1.
};

/// The shares section of the board, sorted by workspace.
struct AllowanceShares {
  std::vector<AllowanceShare> List;
  /// The share of a workspace without recent demand. The initial value applies
  /// until the other processes are known: it is so small that up to 20
  /// processes don't exceed the limit together.
  double DefaultShare = 0.05;
  /// Processes known to be alive, this one included.
  std::uint32_t AliveProcesses = 1;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_DEMAND_H
