// Which endpoint a ticket goes to.
#ifndef ZINNIAGAUGE_DECIDE_PLACEMENT_H
#define ZINNIAGAUGE_DECIDE_PLACEMENT_H

#include "zinniagauge/decide/schedule.h"

#include <cstdint>
#include <optional>

namespace zinniagauge {

/// Whether some usable endpoint, with room or without, runs a version that may
/// serve \p t.
[[nodiscard]] bool isServable(const UsableCount &usable,
                              const Ticket &t) noexcept;

/// Where a ticket goes.
struct Placement {
  std::optional<std::uint32_t> Account;
  bool WaitsForCapacity = false; // For room, at an endpoint that suits it.
};

/// The account that serves \p q soonest of those with room, counting the
/// prefill that a cached prefix saves. If it has to wait for room, that room is
/// claimed for the rest of the step, so that smaller or lower tickets don't
/// nibble it away.
[[nodiscard]] Placement placeTicket(Scheduler &s, const QueuedTicket &q,
                                    Time now);

/// An account with room that is likely to hold the prefix of \p q.
[[nodiscard]] std::optional<std::uint32_t>
placeAtPrefixHolder(const Scheduler &s, const QueuedTicket &q, Time now);

/// Whether \p q should wait a little longer for an endpoint that holds its
/// prefix, though others have room: as long as the wait costs less than the
/// prefill that it saves. In a busy pool the prefill is worth more, since it
/// makes room for others.
[[nodiscard]] bool shouldWaitForPrefix(const Scheduler &s,
                                       const QueuedTicket &q, Time now);

/// How long \p q takes at the fastest of the usable endpoints.
[[nodiscard]] Duration minServiceTime(const Scheduler &s,
                                      const Ticket &t) noexcept;

/// Whether \p q can't meet its deadline even if it is granted now.
[[nodiscard]] bool isTooLate(const Scheduler &s, const QueuedTicket &q,
                             Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_PLACEMENT_H
