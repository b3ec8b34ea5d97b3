// In which order the zones' schedulers are asked for one request.
#ifndef ZINNIAGAUGE_DECIDE_ZONE_ORDER_H
#define ZINNIAGAUGE_DECIDE_ZONE_ORDER_H

#include "zinniagauge/board/bundle.h"

#include <cstdint>

namespace zinniagauge {

/// The zone whose scheduler is asked at turn \p n (from 0) for a grant in
/// \p pool: \p own first if it has endpoints of the pool, then the others,
/// starting at a place that \p salt picks so that overflow spreads. After the
/// last one it starts again. \p own if no zone has any.
[[nodiscard]] ZoneId zoneToTry(const Bundle &b, PoolId pool, ZoneId own,
                               std::uint64_t salt, std::uint32_t n) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ZONE_ORDER_H
