#include "zinniagauge/decide/zone_order.h"

#include <algorithm>

namespace zinniagauge {

ZoneId zoneToTry(const Bundle &b, PoolId pool, ZoneId own, std::uint64_t salt,
                 std::uint32_t n) noexcept {
  const std::span<const ZoneId> zones = zonesOf(b, pool);
  if (zones.empty())
    return own;
  const std::size_t turn = n % zones.size();
  const auto it = std::lower_bound(zones.begin(), zones.end(), own);
  if (it == zones.end() || *it != own)
    return zones[(salt + turn) % zones.size()];
  if (turn == 0)
    return own;
  // The others, as if the own zone were taken out of the list.
  const auto skip = static_cast<std::size_t>(it - zones.begin());
  const std::size_t pick = (salt + turn) % (zones.size() - 1);
  return zones[pick < skip ? pick : pick + 1];
}

} // namespace zinniagauge
