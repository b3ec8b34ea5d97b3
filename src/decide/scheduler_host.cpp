// Creates and steps the schedulers of one process.
#include "zinniagauge/decide/scheduler_host.h"

#include <algorithm>

namespace zinniagauge {

Scheduler &findOrCreateScheduler(SchedulerHost &host, SchedulerKey key) {
  const auto [it, added] = host.Schedulers.try_emplace(key);
  if (added) {
    it->second.Zone = key.Zone;
    it->second.Pool = key.Pool;
    it->second.Self = host.Self;
    it->second.Incarnation = host.Incarnation;
  }
  return it->second;
}

bool hasWork(const SchedulerHost &host) noexcept {
  return std::any_of(host.Schedulers.begin(), host.Schedulers.end(),
                     [](const auto &it) {
                       const Scheduler &s = it.second;
                       return size(s.Queue) > 0 || !s.OpenGrants.empty();
                     });
}

void step(SchedulerHost &host, const ScheduleView &view, Time now,
          ScheduleActions &out) {
  for (auto &it : host.Schedulers)
    step(it.second, view, now, out);
}

} // namespace zinniagauge
