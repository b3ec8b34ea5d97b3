// Chooses the endpoint for a ticket.
#ifndef ZINNIAGAUGE_DECIDE_PLACEMENT_H
#define ZINNIAGAUGE_DECIDE_PLACEMENT_H

#include "zinniagauge/decide/schedule.h"

#include <cstdint>
#include <optional>

namespace zinniagauge {

/// Whether some usable endpoint runs a version that may serve \p t, regardless
/// of its available capacity.
[[nodiscard]] bool isServable(const UsableCount &usable,
                              const Ticket &t) noexcept;

/// The result of placing a ticket.
struct Placement {
  std::optional<std::uint32_t> Account;
  /// No capacity now, but a suitable endpoint will have some.
  bool WaitsForCapacity = false;
};

/// The account with capacity available that serves \p q soonest, taking into
/// account the prefill that a cached prefix saves. If \p q has to wait for
/// capacity, it claims the suitable endpoints for the rest of the step, so that
/// smaller tickets or tickets of lower tiers don't use up the capacity as it
/// becomes available.
[[nodiscard]] Placement placeTicket(Scheduler &s, const QueuedTicket &q,
                                    Time now);

/// An account with capacity available that probably caches the prefix of \p q.
[[nodiscard]] std::optional<std::uint32_t>
placeAtPrefixHolder(const Scheduler &s, const QueuedTicket &q, Time now);

/// Whether \p q should keep waiting for an endpoint that holds its prefix
/// although others have capacity available. It should as long as the wait costs
/// less than the prefill that it saves. Prefill counts for more in a busy pool,
/// because saving it frees capacity for other requests.
[[nodiscard]] bool shouldWaitForPrefix(const Scheduler &s,
                                       const QueuedTicket &q, Time now);

/// The service time of \p t at the fastest usable endpoint.
[[nodiscard]] Duration minServiceTime(const Scheduler &s,
                                      const Ticket &t) noexcept;

/// Whether \p q would miss its deadline even if it were granted now.
[[nodiscard]] bool isTooLate(const Scheduler &s, const QueuedTicket &q,
                             Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_PLACEMENT_H
