// The era of the table service. The service may be restored from a copy some
// seconds old: what was written since is gone, versions go back and are given
// out again for other rows. Each restore begins a new era.
#ifndef ZINNIAGAUGE_BOARD_STORE_ERA_H
#define ZINNIAGAUGE_BOARD_STORE_ERA_H

#include "zinniagauge/time/clock.h"

#include <compare>
#include <cstdint>

namespace zinniagauge {

/// The era of a service that was never restored.
inline constexpr std::uint64_t FirstStoreEra = 1;

/// A version of the service's rows. Numbers of different eras can't be compared
/// with each other, but a version of a later era is later.
struct TableVersion {
  std::uint64_t Era = 0; // Zero: the service names no eras.
  std::uint64_t Number = 0;

  auto operator<=>(const TableVersion &) const = default;
};

/// The current era, as far as a process knows.
struct StoreEra {
  std::uint64_t Number = 0; // Zero: no answer has named an era.
  Time KnownSince;          // When it was first named, by bootNow.
};

/// A version of rows, and when it was last known to be their newest.
struct ConfirmedVersion {
  TableVersion Version;
  std::int64_t ConfirmedAt = 0; // Nanoseconds of bootNow; zero: never.
  std::uint64_t Reporter = 0; // nameHash of the front that said so; zero: none.
  /// All rows up to it are known, also if the newest one was deleted before the
  /// first reading. Not used for reports.
  TableVersion ReadUpTo = {};
};

/// What proves that a plan is the newest.
struct PlanProof {
  std::uint64_t Version = 0;    // Of the plan.
  std::int64_t ConfirmedAt = 0; // Nanoseconds of bootNow; zero: never.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_STORE_ERA_H
