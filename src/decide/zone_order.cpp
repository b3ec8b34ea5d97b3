// The order in which zones are tried for a grant.
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
  // Indexes the other zones as if the own one were not in the list.
  const auto skip = static_cast<std::size_t>(it - zones.begin());
  const std::size_t pick = (salt + turn) % (zones.size() - 1);
  return zones[pick < skip ? pick : pick + 1];
}

} // namespace zinniagauge
