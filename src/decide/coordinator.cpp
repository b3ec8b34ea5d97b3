#include "zinniagauge/decide/coordinator.h"

#include "zinniagauge/board/ids.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <set>

namespace zinniagauge {

namespace {

std::uint64_t rendezvousWeight(std::string_view node,
                               std::string_view coordinator) noexcept {
  return mix64(nameHash(node) ^ mix64(nameHash(coordinator)));
}

} // namespace

std::string slotKey(std::string_view zone, std::uint32_t slot) {
  return std::string(zone) + "/" + std::to_string(slot);
}

void updateCoordinators(CoordinatorTable &table,
                        std::span<const CoordinatorRow> read, std::uint64_t era,
                        Time now) {
  const bool restored = table.LastReadAt != Time() && era != table.Era;
  const Duration gap = now - table.LastReadAt;
  if (table.LastReadAt != Time() && gap > MaxReadingGap)
    for (auto &[key, entry] : table.Entries)
      entry.ChangedAt += gap - MaxReadingGap;
  table.LastReadAt = now;
  table.Era = era;
  for (auto &[key, entry] : table.Entries)
    entry.Row.Version = 0; // Unless the row is among those that were read.
  for (const CoordinatorRow &row : read) {
    auto [it, inserted] = table.Entries.try_emplace(
        row.Key, CoordinatorTable::Entry{row, now, false});
    if (inserted)
      continue;
    if (restored) {
      it->second.Row.Version = row.Version;
      continue;
    }
    if (it->second.Row.Heartbeat != row.Heartbeat ||
        it->second.Row.Incarnation != row.Incarnation)
      it->second.ChangedAt = now;
    it->second.Row = row;
  }
  for (auto &[key, entry] : table.Entries)
    entry.Vacant = now - entry.ChangedAt > SlotTimeout;
}

std::optional<SlotWrite> heldSlot(const CoordinatorTable &table,
                                  std::string_view node) {
  for (const auto &[key, entry] : table.Entries)
    if (entry.Row.Node == node)
      return SlotWrite{key, entry.Row.Version, table.Era};
  return std::nullopt;
}

std::optional<SlotWrite> claimableSlot(const CoordinatorTable &table,
                                       std::string_view zone) {
  for (std::uint32_t slot = 0; slot < CoordinatorsPerZone; ++slot) {
    const std::string key = slotKey(zone, slot);
    const auto it = table.Entries.find(key);
    if (it == table.Entries.end())
      return SlotWrite{key, 0, table.Era};
    if (it->second.Vacant)
      return SlotWrite{key, it->second.Row.Version, table.Era};
  }
  return std::nullopt;
}

std::vector<std::string> zonesWithVacancy(const CoordinatorTable &table) {
  std::set<std::string> zones;
  for (const auto &[key, entry] : table.Entries)
    zones.insert(entry.Row.Zone);
  std::vector<std::string> out;
  for (const std::string &zone : zones)
    if (claimableSlot(table, zone))
      out.push_back(zone);
  return out;
}

std::vector<CoordinatorRow> coordinatorOrder(const CoordinatorTable &table,
                                             std::string_view node,
                                             std::string_view zone) {
  std::vector<CoordinatorRow> out;
  for (const auto &[key, entry] : table.Entries)
    if (!entry.Vacant && entry.Row.Node != node)
      out.push_back(entry.Row);
  const auto before = [&](const CoordinatorRow &a, const CoordinatorRow &b) {
    if ((a.Zone == zone) != (b.Zone == zone))
      return a.Zone == zone;
    return rendezvousWeight(node, a.Node) < rendezvousWeight(node, b.Node);
  };
  std::sort(out.begin(), out.end(), before);
  return out;
}

std::uint32_t livingFronts(const CoordinatorTable &table) {
  std::uint32_t sum = 0;
  for (const auto &[key, entry] : table.Entries)
    if (!entry.Vacant)
      sum += entry.Row.GroupSize;
  return std::max(sum, 1U);
}

Duration claimDelay(double cpushare, double random) noexcept {
  // A machine with half of a core claims within 0.2 to 0.8 s, one with an
  // eighth within 0.8 to 3.2 s.
  constexpr double SecondsPerCore = 0.1;
  constexpr double MinShare = 0.05;
  const double base = SecondsPerCore / std::max(cpushare, MinShare);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(base * (1 + 3 * random)));
}

} // namespace zinniagauge
