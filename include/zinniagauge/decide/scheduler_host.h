// The schedulers that one VM runs: those of its roles, and any other that
// entries address here, since VMs may disagree on who holds a role.
#ifndef ZINNIAGAUGE_DECIDE_SCHEDULER_HOST_H
#define ZINNIAGAUGE_DECIDE_SCHEDULER_HOST_H

#include "zinniagauge/decide/schedule.h"

#include <compare>
#include <cstdint>
#include <map>

namespace zinniagauge {

/// The scope of a scheduler: one pool's endpoints in one zone.
struct SchedulerKey {
  ZoneId Zone;
  PoolId Pool;

  auto operator<=>(const SchedulerKey &) const = default;
};

/// The schedulers of one process.
struct SchedulerHost {
  VmId Self;
  std::uint64_t Incarnation = 0;
  std::map<SchedulerKey, Scheduler> Schedulers;
};

/// The scheduler of \p key; creates it if there is none.
[[nodiscard]] Scheduler &findOrCreateScheduler(SchedulerHost &host,
                                               SchedulerKey key);

/// Whether a ticket is queued or a grant is open, so that the passage of time
/// alone may change something.
[[nodiscard]] bool hasWork(const SchedulerHost &host) noexcept;

/// Runs one step of every scheduler of \p host. Appends the decisions to
/// \p out.
void step(SchedulerHost &host, const ScheduleView &view, Time now,
          ScheduleActions &out);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SCHEDULER_HOST_H
