// The schedulers that one VM runs: those of its roles, and any other that it is
// asked for, since two VMs may differ on who holds a role.
#ifndef ZINNIAGAUGE_DECIDE_SCHEDULER_HOST_H
#define ZINNIAGAUGE_DECIDE_SCHEDULER_HOST_H

#include "zinniagauge/decide/schedule.h"

#include <compare>
#include <cstdint>
#include <map>

namespace zinniagauge {

/// What a scheduler schedules: one pool's endpoints in one zone.
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

/// The scheduler of \p key, made if there is none yet.
[[nodiscard]] Scheduler &findOrCreateScheduler(SchedulerHost &host,
                                               SchedulerKey key);

/// Whether a ticket waits or a grant is open, so that the passing of time alone
/// may change something.
[[nodiscard]] bool hasWork(const SchedulerHost &host) noexcept;

/// Steps every scheduler of \p host. Appends to \p out.
void step(SchedulerHost &host, const ScheduleView &view, Time now,
          ScheduleActions &out);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SCHEDULER_HOST_H
