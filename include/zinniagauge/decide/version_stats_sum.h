// Adds up evidence that several threads or processes have counted.
#ifndef ZINNIAGAUGE_DECIDE_VERSION_STATS_SUM_H
#define ZINNIAGAUGE_DECIDE_VERSION_STATS_SUM_H

#include "zinniagauge/board/move.h"

#include <span>

namespace zinniagauge {

/// Adds \p more to \p sum, row by row; rows of equal keys are added up.
void addVersionStats(VersionStatsList &sum, std::span<const VersionStats> more);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_VERSION_STATS_SUM_H
