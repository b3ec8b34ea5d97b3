// Rendezvous hashing of scheduling roles over the live members.
#include "zinniagauge/decide/assign.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>

namespace zinniagauge {

std::uint64_t roleWeight(VmId vm, SchedulerRole role) noexcept {
  std::uint64_t x = mix64(vm.Value);
  x = mix64(x ^ role.Zone.Value);
  x = mix64(x ^ role.Pool.Value);
  return mix64(x ^ role.Shard);
}

const Member *schedulerFor(std::span<const Member> members, SchedulerRole role,
                           std::span<const VmId> unreachable) noexcept {
  const Member *best = nullptr;
  bool bestlocal = false;
  for (const Member &m : members) {
    if (!mayHoldRoles(m) || std::find(unreachable.begin(), unreachable.end(),
                                      m.Id) != unreachable.end())
      continue;
    const bool local = m.Zone == role.Zone;
    const bool better = !best || local > bestlocal ||
                        (local == bestlocal &&
                         roleWeight(m.Id, role) > roleWeight(best->Id, role));
    if (!better)
      continue;
    best = &m;
    bestlocal = local;
  }
  return best;
}

} // namespace zinniagauge
