// The availability zones whose back ends get no calls, by order of operators.
#ifndef ZINNIAGAUGE_BOARD_EVACUATION_H
#define ZINNIAGAUGE_BOARD_EVACUATION_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <vector>

namespace zinniagauge {

/// The end of an evacuation.
struct EndedEvacuation {
  ZoneId Zone;
  Time At; // By bootNow, when this front learned of it.

  bool operator==(const EndedEvacuation &) const = default;
};

/// The evacuations in force, and those that have ended.
struct EvacuatedZones {
  std::vector<ZoneId> Zones;          // Sorted.
  std::vector<EndedEvacuation> Ended; // One for each zone, sorted by zone.

  bool operator==(const EvacuatedZones &) const = default;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_EVACUATION_H
