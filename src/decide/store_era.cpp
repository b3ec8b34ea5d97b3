#include "zinniagauge/decide/store_era.h"

namespace zinniagauge {

EraOrder compareEra(const StoreEra &known, std::uint64_t era,
                    Time requested) noexcept {
  if (era == 0 || era == known.Number)
    return EraOrder::Current;
  return era > known.Number || requested > known.KnownSince
             ? EraOrder::New
             : EraOrder::Outdated;
}

bool mayLackRows(const StoreEra &era, Time requested) noexcept {
  return era.Number > FirstStoreEra &&
         requested < era.KnownSince + RewriteGrace;
}

PlanRow nextPlanRow(const PlanRow &before, TableVersion read,
                    std::uint64_t plan) noexcept {
  if (read == before.Version)
    return before;
  // A copy keeps the number of a row, so the same plan under another one was
  // written again.
  const bool written =
      read.Era == before.Version.Era ||
      (plan == before.Plan && read.Number != before.Version.Number);
  return {read, plan, written};
}

bool confirmsPlan(const PlanRow &row, std::uint64_t active, const StoreEra &era,
                  Time requested) noexcept {
  return active > 0 && row.Plan >= active && row.Version.Era == era.Number &&
         (row.WrittenInEra || !mayLackRows(era, requested));
}

} // namespace zinniagauge
