// Implements the membership controller.
#include "zinniagauge/decide/member.h"

#include <algorithm>
#include <tuple>

namespace zinniagauge {

namespace {

/// The names and addresses of a VM. If two records differ in them, all VMs must
/// keep the same one.
auto contactOf(const Member &m) noexcept {
  return std::tie(m.Name, m.ZoneName, m.Zone, m.EntryAddress, m.AgentAddress,
                  m.MetricsAddress);
}

bool raiseTo(std::uint64_t &into, std::uint64_t val) noexcept {
  const bool rose = val > into;
  into = std::max(into, val);
  return rose;
}

bool isNewer(const MemberRecord &a, const MemberRecord &b) noexcept {
  if (a.Info.Incarnation != b.Info.Incarnation)
    return a.Info.Incarnation > b.Info.Incarnation;
  return a.Info.Heartbeat > b.Info.Heartbeat;
}

/// Returns whether two records differ in more than heartbeats and bundle
/// versions.
bool differ(const MemberRecord &a, const MemberRecord &b) noexcept {
  return a.Info.Incarnation != b.Info.Incarnation || a.Leaving != b.Leaving ||
         isDown(a) != isDown(b) || contactOf(a.Info) != contactOf(b.Info);
}

/// Merges a record of this VM received from another one. The own record takes
/// precedence, except that the Leaving flag is adopted, and that a higher
/// incarnation comes from an earlier run or from a process that replaced this
/// one.
bool mergeSelf(Membership &ms, const MemberRecord &rec, Time now) {
  MemberRecord &self = selfRecord(ms);
  if (rec.Info.Incarnation > self.Info.Incarnation) {
    ms.Superseded = now - ms.StartedAt > IncarnationRecoveryWindow;
    if (!ms.Superseded)
      self.Info.Incarnation = rec.Info.Incarnation + 1;
    return !ms.Superseded;
  }
  if (rec.Info.Incarnation < self.Info.Incarnation)
    return false;
  const MemberRecord old = self;
  self.Leaving = self.Leaving || rec.Leaving;
  self.Info.Heartbeat = std::max(
      {self.Info.Heartbeat, rec.Info.Heartbeat, rec.DownAtHeartbeat + 1});
  return differ(old, self);
}

/// Returns when a heartbeat of each zone was last seen to rise.
std::map<ZoneId, Time> lastHeartbeatByZone(const Membership &ms) {
  std::map<ZoneId, Time> last;
  for (const auto &[id, m] : ms.ById) {
    Time &t = last[m.Record.Info.Zone];
    t = std::max(t, m.LastHeartbeatAt);
  }
  return last;
}

MemberState stateBySilence(Duration silence, Duration suspect,
                           Duration dead) noexcept {
  if (silence > dead)
    return MemberState::Dead;
  return silence > suspect ? MemberState::Suspect : MemberState::Alive;
}

MemberState observedState(const Membership &ms, const TrackedMember &m,
                          Time now, Time lastofzone) noexcept {
  if (m.Record.Info.Id == ms.Self)
    return MemberState::Alive;
  if (isDown(m.Record))
    return MemberState::Dead;
  if (m.Record.Info.Zone == ms.Zone)
    return stateBySilence(now - m.LastHeartbeatAt, SuspectTimeout, DeadTimeout);
  return stateBySilence(now - lastofzone, ZoneSuspectTimeout, ZoneDeadTimeout);
}

bool declareSilentDead(Membership &ms, Time now) {
  bool changed = false;
  for (auto &[id, m] : ms.ById) {
    MemberRecord &r = m.Record;
    if (id == ms.Self || r.Info.Zone != ms.Zone || isDown(r))
      continue;
    if (now - m.LastHeartbeatAt <= DeadTimeout)
      continue;
    r.DownAtHeartbeat = r.Info.Heartbeat;
    changed = true;
  }
  return changed;
}

/// Removes VMs that have been dead for longer than ForgetTimeout. Only VMs that
/// their own zone declared dead are removed: a zone that is silent may come
/// back, and other VMs would send its records again.
bool removeDead(Membership &ms, Time now) {
  return std::erase_if(ms.ById, [&](const auto &it) {
           return isDown(it.second.Record) &&
                  now - it.second.LastHeartbeatAt > ForgetTimeout;
         }) != 0;
}

} // namespace

bool joinRecord(MemberRecord &into, const MemberRecord &from) {
  if (from.Info.Incarnation < into.Info.Incarnation)
    return false;
  const MemberRecord old = into;
  if (from.Info.Incarnation > into.Info.Incarnation) {
    into = from;
    return true;
  }
  if (contactOf(from.Info) > contactOf(into.Info)) {
    const auto heartbeat = into.Info.Heartbeat;
    const auto bundleversion = into.Info.BundleVersion;
    into.Info = from.Info;
    into.Info.Heartbeat = heartbeat;
    into.Info.BundleVersion = bundleversion;
  }
  raiseTo(into.Info.Heartbeat, from.Info.Heartbeat);
  raiseTo(into.Info.BundleVersion, from.Info.BundleVersion);
  raiseTo(into.DownAtHeartbeat, from.DownAtHeartbeat);
  into.Leaving = into.Leaving || from.Leaving;
  return into != old;
}

Membership startMembership(const Member &self, Time now) {
  Membership ms;
  ms.Self = self.Id;
  ms.Zone = self.Zone;
  ms.StartedAt = ms.LastOwnHeartbeatAt = ms.LastStepAt = now;
  TrackedMember &m = ms.ById[self.Id];
  m.Record.Info = self;
  m.Record.Info.State = MemberState::Alive;
  m.Record.Info.Heartbeat = std::max<std::uint64_t>(self.Heartbeat, 1);
  m.LastHeartbeatAt = now;
  return ms;
}

bool mergeMember(Membership &ms, const MemberRecord &rec, Time now) {
  if (rec.Info.Id == ms.Self)
    return mergeSelf(ms, rec, now);
  const auto it = ms.ById.find(rec.Info.Id);
  if (it == ms.ById.end() && isDown(rec))
    return false;
  if (it == ms.ById.end()) {
    TrackedMember &m = ms.ById[rec.Info.Id];
    m.Record = rec;
    m.Record.Info.State = MemberState::Alive;
    m.LastHeartbeatAt = now;
    return true;
  }
  TrackedMember &m = it->second;
  const MemberRecord old = m.Record;
  if (isNewer(rec, m.Record))
    m.LastHeartbeatAt = now;
  joinRecord(m.Record, rec);
  m.Record.Info.State = MemberState::Alive;
  return differ(old, m.Record);
}

bool mergeHeartbeat(Membership &ms, VmId id, std::uint64_t incarnation,
                    std::uint64_t heartbeat, std::uint64_t bundleversion,
                    Time now) {
  const auto it = ms.ById.find(id);
  if (id == ms.Self || it == ms.ById.end())
    return false;
  Member &info = it->second.Record.Info;
  if (info.Incarnation != incarnation)
    return false;
  const bool wasdown = isDown(it->second.Record);
  if (raiseTo(info.Heartbeat, heartbeat))
    it->second.LastHeartbeatAt = now;
  raiseTo(info.BundleVersion, bundleversion);
  return wasdown && !isDown(it->second.Record);
}

void applyVmList(Membership &ms, std::span<const ListedVm> list) {
  for (auto &[id, m] : ms.ById) {
    const VmId own = id;
    m.ListedLeaving =
        std::any_of(list.begin(), list.end(), [&](const ListedVm &vm) {
          return vm.Id == own && vm.Leaving;
        });
  }
}

void markLeaving(Membership &ms) { selfRecord(ms).Leaving = true; }

bool step(Membership &ms, Time now) {
  if (now - ms.LastStepAt > MinPauseGap)
    for (auto &[id, m] : ms.ById)
      m.LastHeartbeatAt = std::max(m.LastHeartbeatAt, now);
  ms.LastStepAt = now;
  if (now - ms.LastOwnHeartbeatAt >= OwnHeartbeatPeriod) {
    ++selfRecord(ms).Info.Heartbeat;
    ms.LastOwnHeartbeatAt = now;
    ms.ById[ms.Self].LastHeartbeatAt = now;
  }
  const bool declared = declareSilentDead(ms, now);
  return removeDead(ms, now) || declared;
}

MemberRecord &selfRecord(Membership &ms) { return ms.ById[ms.Self].Record; }

MemberList publishMembers(const Membership &ms, Time now) {
  const std::map<ZoneId, Time> last = lastHeartbeatByZone(ms);
  MemberList list;
  list.Members.reserve(ms.ById.size());
  for (const auto &[id, m] : ms.ById) {
    Member &out = list.Members.emplace_back(m.Record.Info);
    out.State = observedState(ms, m, now, last.at(out.Zone));
    const bool leaving = m.Record.Leaving || m.ListedLeaving;
    if (leaving && out.State != MemberState::Dead)
      out.State = MemberState::Leaving;
  }
  return list;
}

} // namespace zinniagauge
