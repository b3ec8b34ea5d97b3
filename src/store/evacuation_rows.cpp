// Keeps the board's evacuated zones up to date.
#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void logChange(PlanController &pc, const EvacuationChange &change,
               std::string_view why) {
  const ReadGuard guard;
  const BackendList &list = pc.Owner->Board.Backends.read(guard);
  const auto backends =
      std::count_if(list.List.begin(), list.List.end(), [&](const Backend &b) {
        return b.Zone == ZoneId::of(change.ZoneName);
      });
  EventLine line =
      eventLine(change.Evacuated ? "zone_evacuated" : "zone_restored");
  add(line, "zone", change.ZoneName);
  add(line, "why", why);
  add(line, "era", static_cast<std::int64_t>(change.Row.Era));
  add(line, "row", static_cast<std::int64_t>(change.Row.Number));
  // Zero: the zone is unknown, or has no back ends at present.
  add(line, "backends", static_cast<std::int64_t>(backends));
  pc.Owner->Log.write(line);
}

/// Applies one row. Returns whether the evacuated zones have changed.
bool applyRow(PlanController &pc, const TableRow &row, const StoreEra &era) {
  return handleResult(
      [&] { return pc.Owner->Protocol.ParseEvacuation(row); },
      [&](const std::string &zone) {
        const TableVersion version{era.Number, row.Version};
        const bool changed =
            row.Deleted
                ? endEvacuation(pc.Evacuations, zone, version, bootNow())
                : applyEvacuation(pc.Evacuations, zone, version);
        if (changed)
          logChange(pc, {zone, version, !row.Deleted},
                    row.Deleted ? "row deleted" : "row written");
        return changed;
      },
      [&](const Error &err) {
        if (err.Code == ErrorCode::NotFound)
          return false;
        EventLine line = eventLine("evacuation_unreadable");
        add(line, err);
        pc.Owner->Log.write(line);
        return false;
      });
}

} // namespace

void applyEvacuationRows(PlanController &pc, const TableReadResult &rd,
                         Time requestedat) {
  FrontBoard &board = pc.Owner->Board;
  const StoreEra era = board.TableEra.copy();
  if (pc.ReadsAll)
    beginFullReading(pc.Evacuations);
  bool changed = false;
  for (const TableRow &row : rd.Rows)
    changed = applyRow(pc, row, era) || changed;
  if (!rd.HasMore && !mayLackRows(era, requestedat))
    for (const EvacuationChange &c :
         dropMissingOrders(pc.Evacuations, bootNow())) {
      logChange(pc, c, "row missing");
      changed = true;
    }
  if (!changed)
    return;
  board.Evacuations.publish(evacuatedZones(pc.Evacuations));
  pc.Owner->OnChange();
}

} // namespace zinniagauge
