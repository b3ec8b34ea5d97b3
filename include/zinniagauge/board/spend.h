// What processes spent for workspaces.
#ifndef ZINNIAGAUGE_BOARD_SPEND_H
#define ZINNIAGAUGE_BOARD_SPEND_H

#include "zinniagauge/board/ids.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

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

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_SPEND_H
