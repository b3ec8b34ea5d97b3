#include "zinniagauge/decide/assign.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The finaliser of SplitMix64: spreads every input bit over the output.
constexpr std::uint64_t mix(std::uint64_t x) noexcept {
  x ^= x >> 30U;
  x *= 0xBF58476D1CE4E5B9U;
  x ^= x >> 27U;
  x *= 0x94D049BB133111EBU;
  return x ^ (x >> 31U);
}

} // namespace

std::uint64_t roleWeight(VmId vm, SchedulerRole role) noexcept {
  std::uint64_t x = mix(vm.Value);
  x = mix(x ^ role.Zone.Value);
  x = mix(x ^ role.Pool.Value);
  return mix(x ^ role.Shard);
}

const Member *schedulerFor(std::span<const Member> members, SchedulerRole role,
                           std::span<const VmId> lost) noexcept {
  const Member *best = nullptr;
  bool bestlocal = false;
  for (const Member &m : members) {
    if (!mayHoldRoles(m) ||
        std::find(lost.begin(), lost.end(), m.Id) != lost.end())
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
