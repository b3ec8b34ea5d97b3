// What a process may conclude from answers of a table service that can be
// restored from a copy.
#ifndef ZINNIAGAUGE_DECIDE_STORE_ERA_H
#define ZINNIAGAUGE_DECIDE_STORE_ERA_H

#include "zinniagauge/board/store_era.h"

namespace zinniagauge {

/// How long after a restore operators may take to write again what the copy
/// lacks.
inline constexpr Duration RewriteGrace = std::chrono::seconds(1);

/// How the era of an answer relates to the one known so far.
enum class EraOrder : std::uint8_t {
  Current,  ///< The same, or the answer names none.
  New,      ///< The service was restored since.
  Outdated, ///< The answer was on its way while the service was restored.
};

/// Compares \p era, named by the answer to a request made at \p requested (by
/// bootNow), with the one in \p known. An answer to a request made after the
/// known era was named is never outdated: the service itself was replaced.
[[nodiscard]] EraOrder compareEra(const StoreEra &known, std::uint64_t era,
                                  Time requested) noexcept;

/// Whether a reading requested at \p requested (by bootNow) may still lack rows
/// that operators wrote before the restore that began \p era.
[[nodiscard]] bool mayLackRows(const StoreEra &era, Time requested) noexcept;

/// The version of a plan that can't be read: below that of any plan in force,
/// so that it confirms none.
inline constexpr std::uint64_t UnreadablePlan = 0;

/// The operators' plan as one reading returned it.
struct PlanRow {
  TableVersion Version;   // Of its row.
  std::uint64_t Plan = 0; // Its version.
  /// The operators wrote the row in this era, so it isn't just of the copy.
  bool WrittenInEra = false;
};

/// The row after \p read, the plan \p plan in a row of version \p read, follows
/// on \p before.
[[nodiscard]] PlanRow nextPlanRow(const PlanRow &before, TableVersion read,
                                  std::uint64_t plan) noexcept;

/// Whether a reading that was requested at \p requested and returned \p row
/// proves that \p active, the plan in force, is the newest. A copy may hold an
/// older plan, and lack a newer one, until the operators have written again.
[[nodiscard]] bool confirmsPlan(const PlanRow &row, std::uint64_t active,
                                const StoreEra &era, Time requested) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_STORE_ERA_H
