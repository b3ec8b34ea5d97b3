// The order in which a request is sent to the schedulers of the zones.
#ifndef ZINNIAGAUGE_DECIDE_ZONE_ORDER_H
#define ZINNIAGAUGE_DECIDE_ZONE_ORDER_H

#include "zinniagauge/board/bundle.h"

#include <cstdint>

namespace zinniagauge {

/// The zone whose scheduler gets try \p n (from 0) for a grant in \p pool.
/// \p own comes first if it has endpoints of the pool, then the other zones,
/// starting at one that \p salt selects so that overflow spreads. After the
/// last zone the order repeats. Returns \p own if no zone has endpoints of the
/// pool.
[[nodiscard]] ZoneId zoneToTry(const Bundle &b, PoolId pool, ZoneId own,
                               std::uint64_t salt, std::uint32_t n) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ZONE_ORDER_H
