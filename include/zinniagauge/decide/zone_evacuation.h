// Which availability zones are evacuated, from the operators' rows. Load: an
// order during an outage, a restore of the table service, or while several
// zones are evacuated or taken back at the same time.
#ifndef ZINNIAGAUGE_DECIDE_ZONE_EVACUATION_H
#define ZINNIAGAUGE_DECIDE_ZONE_EVACUATION_H

#include "zinniagauge/board/evacuation.h"
#include "zinniagauge/board/store_era.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The order to evacuate one zone.
struct EvacuationOrder {
  std::string ZoneName;
  TableVersion Row;
  bool InLatestReading = true; // False: the latest full reading lacks it.
};

/// The orders that are in force at one front, and the ends of earlier ones.
struct EvacuationOrders {
  std::vector<EvacuationOrder> InForce; // Sorted by zone id.
  std::vector<EndedEvacuation> Ended;   // One for each zone, sorted by zone.
};

/// A change that a reading brought about, for the log.
struct EvacuationChange {
  std::string ZoneName;
  TableVersion Row;
  bool Evacuated = false; // False: the zone is used again.
};

/// Puts the order for \p zone into force. Returns whether it is new.
bool applyEvacuation(EvacuationOrders &orders, std::string_view zone,
                     TableVersion row);

/// Ends the order for \p zone: its row was deleted in \p row. Returns false if
/// no order is in force, or a later one than that.
bool endEvacuation(EvacuationOrders &orders, std::string_view zone,
                   TableVersion row, Time now);

/// Starts a full reading: marks the orders as missing until they are applied
/// again.
void beginFullReading(EvacuationOrders &orders) noexcept;

/// Ends the orders that the latest full reading lacks, and returns what
/// changed. Not to be called while the table service may lack rows that
/// operators have written.
[[nodiscard]] std::vector<EvacuationChange>
dropMissingOrders(EvacuationOrders &orders, Time now);

/// Whether the latest full reading lacks an order that is in force.
[[nodiscard]] bool lacksOrders(const EvacuationOrders &orders) noexcept;

/// The zones for the board.
[[nodiscard]] EvacuatedZones evacuatedZones(const EvacuationOrders &orders);

/// Whether \p zone is evacuated.
[[nodiscard]] bool isEvacuated(const EvacuatedZones &zones,
                               ZoneId zone) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ZONE_EVACUATION_H
