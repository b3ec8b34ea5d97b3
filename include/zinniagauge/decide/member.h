// Membership: which VMs exist, which of them are silent, and which are leaving.
// Records received from other VMs merge in any order. Each VM decides by its
// own clock which VMs are silent.
#ifndef ZINNIAGAUGE_DECIDE_MEMBER_H
#define ZINNIAGAUGE_DECIDE_MEMBER_H

#include "zinniagauge/board/member.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <span>

namespace zinniagauge {

/// Interval at which a VM increments its own heartbeat.
inline constexpr Duration OwnHeartbeatPeriod = std::chrono::seconds(1);

/// Silence after which a VM of the own zone is suspect.
inline constexpr Duration SuspectTimeout = std::chrono::seconds(5);

/// Silence after which a VM of the own zone is considered dead.
inline constexpr Duration DeadTimeout = std::chrono::seconds(10);

/// Silence of an entire other zone after which its VMs are suspect.
inline constexpr Duration ZoneSuspectTimeout = std::chrono::seconds(8);

/// Silence of an entire other zone after which its VMs are considered dead.
inline constexpr Duration ZoneDeadTimeout = std::chrono::seconds(15);

/// Time after which a VM that its own zone declared dead is removed.
inline constexpr Duration ForgetTimeout = std::chrono::hours(1);

/// A gap between two steps that is longer than this shows that this process
/// itself was paused.
inline constexpr Duration MinPauseGap = std::chrono::seconds(2);

/// Time after its start in which a VM that receives a higher incarnation of
/// itself attributes it to an earlier run and adopts an even higher one.
inline constexpr Duration IncarnationRecoveryWindow = std::chrono::seconds(10);

/// Exchanged state of one VM. Records of one VM merge in any order: a higher
/// incarnation replaces a lower one; within an incarnation, numbers are
/// combined by maximum and flags by OR.
struct MemberRecord {
  Member Info;          // Its State is not used.
  bool Leaving = false; // Sticky within the incarnation.
  // The heartbeat at which its zone declared it dead; void once a higher
  // heartbeat is known.
  std::uint64_t DownAtHeartbeat = 0;

  bool operator==(const MemberRecord &) const = default;
};

/// Returns whether the VM's own zone has declared it dead.
[[nodiscard]] constexpr bool isDown(const MemberRecord &r) noexcept {
  return r.DownAtHeartbeat != 0 && r.DownAtHeartbeat >= r.Info.Heartbeat;
}

/// Merges \p from, a record of the same VM, into \p into. Returns whether
/// \p into changed.
bool joinRecord(MemberRecord &into, const MemberRecord &from);

/// A record, and this VM's observations of it.
struct TrackedMember {
  MemberRecord Record;
  Time LastHeartbeatAt;       // When its heartbeat was last seen to rise.
  bool ListedLeaving = false; // The platform's VM list shows it as leaving.
};

/// The state of the membership controller on one VM.
struct Membership {
  VmId Self;
  ZoneId Zone;
  Time StartedAt;
  Time LastOwnHeartbeatAt;
  Time LastStepAt;
  bool Superseded = false; // A later process runs under this VM's name.
  std::map<VmId, TrackedMember> ById;
};

/// One entry of the platform's VM list.
struct ListedVm {
  VmId Id;
  bool Leaving = false;
};

/// Returns the membership of a VM that has just started and knows only itself.
[[nodiscard]] Membership startMembership(const Member &self, Time now);

/// Merges a record received from another VM. A record of an unknown VM is
/// ignored if that VM is already declared dead. Returns whether anything but
/// heartbeats changed.
bool mergeMember(Membership &ms, const MemberRecord &rec, Time now);

/// Merges a heartbeat of a known VM. It is ignored if the incarnation differs
/// from the known one. Returns whether it revived a VM that was declared dead.
bool mergeHeartbeat(Membership &ms, VmId id, std::uint64_t incarnation,
                    std::uint64_t heartbeat, std::uint64_t bundleversion,
                    Time now);

/// Applies the platform's VM list. The list lags and may refer to an earlier VM
/// of the same name, so a VM is regarded as leaving only while the list says
/// so.
void applyVmList(Membership &ms, std::span<const ListedVm> list);

/// Records that this VM is about to stop as planned.
void markLeaving(Membership &ms);

/// Increments the own heartbeat, declares silent VMs of the own zone dead, and
/// removes VMs that have been dead for long. After a pause of this process, the
/// silence of all other VMs is first counted from now. Returns whether anything
/// but heartbeats changed.
bool step(Membership &ms, Time now);

/// Returns the record of this VM.
[[nodiscard]] MemberRecord &selfRecord(Membership &ms);

/// Returns the members section of the board, as this VM sees it at \p now.
[[nodiscard]] MemberList publishMembers(const Membership &ms, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_MEMBER_H
