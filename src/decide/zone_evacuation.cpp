#include "zinniagauge/decide/zone_evacuation.h"

#include <algorithm>

namespace zinniagauge {

namespace {

ZoneId zoneOf(const EvacuationOrder &order) noexcept {
  return ZoneId::of(order.ZoneName);
}

/// The position of \p zone in the sorted orders.
auto positionOf(std::vector<EvacuationOrder> &list, ZoneId zone) {
  return std::lower_bound(
      list.begin(), list.end(), zone,
      [](const EvacuationOrder &o, ZoneId id) { return zoneOf(o) < id; });
}

void recordEnd(EvacuationOrders &orders, ZoneId zone, Time now) {
  const auto it = std::lower_bound(
      orders.Ended.begin(), orders.Ended.end(), zone,
      [](const EndedEvacuation &e, ZoneId id) { return e.Zone < id; });
  if (it != orders.Ended.end() && it->Zone == zone)
    it->At = now;
  else
    orders.Ended.insert(it, {zone, now});
}

} // namespace

bool applyEvacuation(EvacuationOrders &orders, std::string_view zone,
                     TableVersion row) {
  const ZoneId id = ZoneId::of(zone);
  const auto it = positionOf(orders.InForce, id);
  if (it != orders.InForce.end() && zoneOf(*it) == id) {
    it->Row = std::max(it->Row, row);
    it->InLatestReading = true;
    return false;
  }
  orders.InForce.insert(it, {std::string(zone), row, true});
  return true;
}

bool endEvacuation(EvacuationOrders &orders, std::string_view zone,
                   TableVersion row, Time now) {
  const ZoneId id = ZoneId::of(zone);
  const auto it = positionOf(orders.InForce, id);
  if (it == orders.InForce.end() || zoneOf(*it) != id || it->Row > row)
    return false;
  orders.InForce.erase(it);
  recordEnd(orders, id, now);
  return true;
}

void beginFullReading(EvacuationOrders &orders) noexcept {
  for (EvacuationOrder &o : orders.InForce)
    o.InLatestReading = false;
}

std::vector<EvacuationChange> dropMissingOrders(EvacuationOrders &orders,
                                                Time now) {
  std::vector<EvacuationChange> out;
  for (const EvacuationOrder &o : orders.InForce)
    if (!o.InLatestReading) {
      out.push_back({o.ZoneName, o.Row, false});
      recordEnd(orders, zoneOf(o), now);
    }
  std::erase_if(orders.InForce,
                [](const EvacuationOrder &o) { return !o.InLatestReading; });
  return out;
}

bool lacksOrders(const EvacuationOrders &orders) noexcept {
  return std::any_of(
      orders.InForce.begin(), orders.InForce.end(),
      [](const EvacuationOrder &o) { return !o.InLatestReading; });
}

EvacuatedZones evacuatedZones(const EvacuationOrders &orders) {
  EvacuatedZones out;
  for (const EvacuationOrder &o : orders.InForce)
    out.Zones.push_back(zoneOf(o));
  out.Ended = orders.Ended;
  return out;
}

bool isEvacuated(const EvacuatedZones &zones, ZoneId zone) noexcept {
  return std::binary_search(zones.Zones.begin(), zones.Zones.end(), zone);
}

} // namespace zinniagauge
