// Which VM holds a role: rendezvous hashing over the live members.
#ifndef ZINNIAGAUGE_DECIDE_ASSIGN_H
#define ZINNIAGAUGE_DECIDE_ASSIGN_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/member.h"

#include <cstdint>
#include <span>

namespace zinniagauge {

/// A scheduling role: one shard of one pool in one zone.
struct SchedulerRole {
  ZoneId Zone;
  PoolId Pool;
  std::uint32_t Shard = 0;
};

/// The weight of \p vm for \p role; the member with the highest one holds it.
[[nodiscard]] std::uint64_t roleWeight(VmId vm, SchedulerRole role) noexcept;

/// The member that schedules \p role: of the members of its zone that may hold
/// roles the one with the highest weight; if the zone has none, the one of all
/// zones; null if there is none at all. Two VMs with different views may both
/// think that they hold a role: too much is then admitted, nothing worse.
/// Members of \p lost, which this VM could not reach lately, are passed over.
[[nodiscard]] const Member *
schedulerFor(std::span<const Member> members, SchedulerRole role,
             std::span<const VmId> lost = {}) noexcept;

/// Whether \p m may hold roles.
[[nodiscard]] constexpr bool mayHoldRoles(const Member &m) noexcept {
  return m.State == MemberState::Alive || m.State == MemberState::Suspect;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ASSIGN_H
