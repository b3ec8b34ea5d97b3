#include "zinniagauge/decide/backend_choice.h"

#include "zinniagauge/decide/random.h"

namespace zinniagauge {

std::uint64_t homeRank(std::uint64_t affinity, EndpointId id) noexcept {
  return mix64(affinity ^ mix64(id.Value));
}

std::optional<std::size_t> chooseBackend(std::span<const Candidate> list,
                                         const ChoiceWork &work,
                                         const ChoiceWeights &wt) noexcept {
  // The home is found among all, so that one that is busy for a moment doesn't
  // move it.
  std::optional<std::size_t> home;
  if (work.Affinity != 0)
    for (std::size_t n = 0; n < list.size(); ++n)
      if (list[n].Usable &&
          (!home || homeRank(work.Affinity, list[n].Id) >
                        homeRank(work.Affinity, list[*home].Id)))
        home = n;
  std::optional<std::size_t> best;
  double bestcost = 0;
  for (std::size_t n = 0; n < list.size(); ++n) {
    const Candidate &c = list[n];
    if (!c.Usable || c.Running + 1 > c.Slots * wt.Room + 1e-9)
      continue;
    // Load is in calls of an engine of mean speed with eight slots.
    constexpr double UsualSlots = 8;
    double cost = (c.Running + 1) / c.Slots / c.Speed * UsualSlots;
    cost -= wt.Cached * c.CachedShare;
    if (home && *home == n)
      cost -= wt.Home;
    if (c.SameZone)
      cost -= wt.Zone;
    if (!best || cost < bestcost) {
      best = n;
      bestcost = cost;
    }
  }
  return best;
}

} // namespace zinniagauge
