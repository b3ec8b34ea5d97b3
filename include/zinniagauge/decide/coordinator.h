// Coordinators: in each availability zone a few fronts hold a slot in the table
// of coordinators. They exchange sums with each other; every other front talks
// to one of them only, so its work doesn't grow with the number of fronts.
#ifndef ZINNIAGAUGE_DECIDE_COORDINATOR_H
#define ZINNIAGAUGE_DECIDE_COORDINATOR_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Coordinators in each zone. A zone with at most as many fronts has no others;
/// its fronts then exchange reports directly.
inline constexpr std::uint32_t CoordinatorsPerZone = 3;

/// A holder that doesn't renew its row for this long has lost its slot. It also
/// bounds how long its group counts after its last renewal: a front serves
/// calls with keys for some seconds without a new proof of the configuration
/// (FreshnessLimits).
inline constexpr Duration SlotTimeout = std::chrono::seconds(9);

/// A longer time between two readings doesn't count towards SlotTimeout: the
/// holders may have been unable to renew their rows, too.
inline constexpr Duration MaxReadingGap = std::chrono::seconds(5);

/// A row of the table of coordinators.
struct CoordinatorRow {
  std::string Key; // "<zone>/<slot>".
  std::string Zone;
  std::string Node;              // Name of the front that holds the slot.
  std::uint64_t Incarnation = 0; // Of the holder; random.
  std::uint64_t Heartbeat = 0;   // Increases with each renewal.
  PeerAddress Address;           // Where it receives reports.
  std::uint32_t GroupSize = 1;   // Fronts of its group, itself included.
  std::uint64_t Version = 0;     // Of the row, for conditional writes.
};

/// The rows as last read, by key.
struct CoordinatorTable {
  struct Entry {
    CoordinatorRow Row;
    Time ChangedAt; // When this heartbeat or incarnation was first read.
    bool Vacant = false;
  };
  std::map<std::string, Entry> Entries;
  Time LastReadAt;       // Zero: never read.
  std::uint64_t Era = 0; // Of the table service at that time.
};

/// The slot of a zone that a front may write, with the condition of the write.
struct SlotWrite {
  std::string Key;
  std::uint64_t ExpectedVersion = 0; // Zero: the row must not exist.
  std::uint64_t Era = 0;             // To which that version belongs.
};

/// The key of slot \p slot of \p zone.
[[nodiscard]] std::string slotKey(std::string_view zone, std::uint32_t slot);

/// Updates \p table from a complete reading of \p era at \p now. Slots that
/// weren't renewed for SlotTimeout become vacant. The first reading of a new
/// era changes only the rows' versions: the holders known before write the rows
/// again that the service's copy lacks.
void updateCoordinators(CoordinatorTable &table,
                        std::span<const CoordinatorRow> read, std::uint64_t era,
                        Time now);

/// The slot that \p node holds, or nothing.
[[nodiscard]] std::optional<SlotWrite> heldSlot(const CoordinatorTable &table,
                                                std::string_view node);

/// A slot of \p zone that any front may claim, or nothing.
[[nodiscard]] std::optional<SlotWrite>
claimableSlot(const CoordinatorTable &table, std::string_view zone);

/// The zones that have rows and a vacant slot, sorted.
[[nodiscard]] std::vector<std::string>
zonesWithVacancy(const CoordinatorTable &table);

/// The holders that a front of \p zone may report to, in the order in which it
/// tries them: those of its zone first, within a zone by rendezvous hash, so
/// that fronts spread over them and few change when one leaves.
[[nodiscard]] std::vector<CoordinatorRow>
coordinatorOrder(const CoordinatorTable &table, std::string_view node,
                 std::string_view zone);

/// The number of fronts in the groups of all holders, at least 1.
[[nodiscard]] std::uint32_t livingFronts(const CoordinatorTable &table);

/// How long a front waits before it claims a vacant slot. Machines with more
/// processor time claim first, and \p random (0 to 1) spreads equal ones.
[[nodiscard]] Duration claimDelay(double cpushare, double random) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_COORDINATOR_H
