// Adds up version statistics of several threads or processes.
#ifndef ZINNIAGAUGE_DECIDE_VERSION_STATS_SUM_H
#define ZINNIAGAUGE_DECIDE_VERSION_STATS_SUM_H

#include "zinniagauge/board/move.h"

#include <span>

namespace zinniagauge {

/// Adds the rows of \p more to \p sum. Counts of rows with equal keys are added
/// up.
void addVersionStats(VersionStatsList &sum, std::span<const VersionStats> more);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_VERSION_STATS_SUM_H
