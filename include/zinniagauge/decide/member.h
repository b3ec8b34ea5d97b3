// Membership: which VMs are there, which of them are silent, and which leave.
// What VMs tell each other merges in any order; who is silent is each VM's own
// judgement, by its own clock.
#ifndef ZINNIAGAUGE_DECIDE_MEMBER_H
#define ZINNIAGAUGE_DECIDE_MEMBER_H

#include "zinniagauge/board/member.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <span>

namespace zinniagauge {

/// How often a VM raises its own heartbeat.
inline constexpr Duration OwnHeartbeatPeriod = std::chrono::seconds(1);

/// Silence after which a VM of the own zone is suspected.
inline constexpr Duration SuspectTimeout = std::chrono::seconds(5);

/// Silence after which a VM of the own zone is held to be dead.
inline constexpr Duration DeadTimeout = std::chrono::seconds(10);

/// Silence of a whole other zone after which its VMs are suspected.
inline constexpr Duration ZoneSuspectTimeout = std::chrono::seconds(8);

/// Silence of a whole other zone after which its VMs are held to be dead.
inline constexpr Duration ZoneDeadTimeout = std::chrono::seconds(15);

/// Time after which a VM that its zone has given up is forgotten.
inline constexpr Duration ForgetTimeout = std::chrono::hours(1);

/// A gap between two steps that means that this process itself was paused.
inline constexpr Duration MinPauseGap = std::chrono::seconds(2);

/// Time after its start in which a VM takes a higher incarnation of itself for
/// its own past, and goes above it.
inline constexpr Duration IncarnationRecoveryWindow = std::chrono::seconds(10);

/// What VMs tell each other of one VM. Records of one VM join in any order: a
/// higher incarnation replaces a lower one; in one incarnation, numbers join
/// by maximum and flags by or.
struct MemberRecord {
  Member Info;                       // Its State is not used.
  bool Leaving = false;              // Sticky for the incarnation.
  std::uint64_t DownAtHeartbeat = 0; // The heartbeat at which its zone gave it
                                     // up; void once a higher one is known.

  bool operator==(const MemberRecord &) const = default;
};

/// Whether the VM's own zone holds it to be dead.
[[nodiscard]] constexpr bool isDown(const MemberRecord &r) noexcept {
  return r.DownAtHeartbeat != 0 && r.DownAtHeartbeat >= r.Info.Heartbeat;
}

/// Joins \p from, which must be of the same VM, into \p into. Returns whether
/// that changed it.
bool joinRecord(MemberRecord &into, const MemberRecord &from);

/// A record and what this VM saw of it.
struct TrackedMember {
  MemberRecord Record;
  Time LastHeartbeatAt;       // When its heartbeat was last seen to rise.
  bool ListedLeaving = false; // The platform's VM list says that it leaves.
};

/// The state of one VM's membership controller.
struct Membership {
  VmId Self;
  ZoneId Zone;
  Time StartedAt;
  Time LastOwnHeartbeatAt;
  Time LastStepAt;
  bool Superseded = false; // A later process has taken this VM's name.
  std::map<VmId, TrackedMember> ById;
};

/// One line of the platform's VM list.
struct ListedVm {
  VmId Id;
  bool Leaving = false;
};

/// Membership of a VM that has just started and knows only itself.
[[nodiscard]] Membership startMembership(const Member &self, Time now);

/// Joins what another VM told. A VM that is heard of for the first time when it
/// is down already is ignored. Returns whether anything but heartbeats changed.
bool mergeMember(Membership &ms, const MemberRecord &rec, Time now);

/// Joins a heartbeat of a known VM; ignored if the incarnation isn't the known
/// one. Returns whether that revived a VM that was given up.
bool mergeHeartbeat(Membership &ms, VmId id, std::uint64_t incarnation,
                    std::uint64_t heartbeat, std::uint64_t bundleversion,
                    Time now);

/// Takes the platform's VM list over. The list lags and may name an earlier VM
/// of the same name, so its word holds only while it says so.
void applyVmList(Membership &ms, std::span<const ListedVm> list);

/// Says that this VM stops by plan.
void markLeaving(Membership &ms);

/// Raises the own heartbeat, gives up silent VMs of the own zone and forgets
/// the long dead. After a pause of its own the VM gives all others time to be
/// heard again first. Returns whether anything but heartbeats changed.
bool step(Membership &ms, Time now);

/// The own record.
[[nodiscard]] MemberRecord &selfRecord(Membership &ms);

/// The members section of the board, as this VM sees it at \p now.
[[nodiscard]] MemberList publishMembers(const Membership &ms, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_MEMBER_H
