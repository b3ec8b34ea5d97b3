#include "zinniagauge/decide/host.h"

namespace zinniagauge {

Scheduler &schedulerOf(SchedulerHost &host, ScheduleKey key) {
  const auto [it, added] = host.Schedulers.try_emplace(key);
  if (added) {
    it->second.Zone = key.Zone;
    it->second.Pool = key.Pool;
    it->second.Self = host.Self;
    it->second.Incarnation = host.Incarnation;
  }
  return it->second;
}

void step(SchedulerHost &host, const ScheduleView &view, Time now,
          ScheduleChanges &out) {
  for (auto &it : host.Schedulers)
    step(it.second, view, now, out);
}

} // namespace zinniagauge
