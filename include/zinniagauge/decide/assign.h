// Assigns scheduling roles to VMs by rendezvous hashing over the live members.
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

/// The hash weight of \p vm for \p role. The member with the highest weight
/// holds the role.
[[nodiscard]] std::uint64_t roleWeight(VmId vm, SchedulerRole role) noexcept;

/// The member that holds \p role: the one with the highest weight among the
/// eligible members of its zone, or among those of all zones if the zone has
/// none. Null if there is no eligible member. Two VMs with different membership
/// views may both believe that they hold a role; the only consequence is that
/// too much is admitted. Members in \p unreachable, which this VM could not
/// reach recently, are excluded.
[[nodiscard]] const Member *
schedulerFor(std::span<const Member> members, SchedulerRole role,
             std::span<const VmId> unreachable = {}) noexcept;

/// Whether \p m may hold roles.
[[nodiscard]] constexpr bool mayHoldRoles(const Member &m) noexcept {
  return m.State == MemberState::Alive || m.State == MemberState::Suspect;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ASSIGN_H
