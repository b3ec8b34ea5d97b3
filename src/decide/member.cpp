#include "zinniagauge/decide/member.h"

#include <algorithm>
#include <tuple>

namespace zinniagauge {

namespace {

/// What a VM says of its whereabouts; of two that differ, all VMs must keep
/// the same one.
auto whereabouts(const Member &m) noexcept {
  return std::tie(m.Name, m.ZoneName, m.Zone, m.EntryAddress, m.AgentAddress,
                  m.MetricsAddress);
}

bool raise(std::uint64_t &into, std::uint64_t val) noexcept {
  const bool rose = val > into;
  into = std::max(into, val);
  return rose;
}

bool isNewer(const MemberRecord &a, const MemberRecord &b) noexcept {
  if (a.Info.Incarnation != b.Info.Incarnation)
    return a.Info.Incarnation > b.Info.Incarnation;
  return a.Info.Heartbeat > b.Info.Heartbeat;
}

/// Whether two records differ in more than their counts.
bool differ(const MemberRecord &a, const MemberRecord &b) noexcept {
  return a.Info.Incarnation != b.Info.Incarnation || a.Leaving != b.Leaving ||
         isDown(a) != isDown(b) || whereabouts(a.Info) != whereabouts(b.Info);
}

/// Another VM told of this one. Its own process knows better, save for being
/// told to leave and for an earlier life with a higher incarnation.
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

/// When a heartbeat of each zone was last seen to rise.
std::map<ZoneId, Time> lastRises(const Membership &ms) {
  std::map<ZoneId, Time> last;
  for (const auto &[id, m] : ms.ById) {
    Time &t = last[m.Record.Info.Zone];
    t = std::max(t, m.LastHeartbeatAt);
  }
  return last;
}

MemberState bySilence(Duration silence, Duration suspect,
                      Duration dead) noexcept {
  if (silence > dead)
    return MemberState::Dead;
  return silence > suspect ? MemberState::Suspect : MemberState::Alive;
}

MemberState heardState(const Membership &ms, const TrackedMember &m, Time now,
                       Time lastofzone) noexcept {
  if (m.Record.Info.Id == ms.Self)
    return MemberState::Alive;
  if (isDown(m.Record))
    return MemberState::Dead;
  if (m.Record.Info.Zone == ms.Zone)
    return bySilence(now - m.LastHeartbeatAt, SuspectTimeout, DeadTimeout);
  return bySilence(now - lastofzone, ZoneSuspectTimeout, ZoneDeadTimeout);
}

bool giveUpSilent(Membership &ms, Time now) {
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

/// Only VMs that their zone gave up are forgotten: a zone that is silent may
/// come back, and others would tell of its VMs again.
bool forgetDead(Membership &ms, Time now) {
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
  if (whereabouts(from.Info) > whereabouts(into.Info)) {
    const auto heartbeat = into.Info.Heartbeat;
    const auto bundleversion = into.Info.BundleVersion;
    into.Info = from.Info;
    into.Info.Heartbeat = heartbeat;
    into.Info.BundleVersion = bundleversion;
  }
  raise(into.Info.Heartbeat, from.Info.Heartbeat);
  raise(into.Info.BundleVersion, from.Info.BundleVersion);
  raise(into.DownAtHeartbeat, from.DownAtHeartbeat);
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
  Member &said = it->second.Record.Info;
  if (said.Incarnation != incarnation)
    return false;
  const bool wasdown = isDown(it->second.Record);
  if (raise(said.Heartbeat, heartbeat))
    it->second.LastHeartbeatAt = now;
  raise(said.BundleVersion, bundleversion);
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
  const bool gaveup = giveUpSilent(ms, now);
  return forgetDead(ms, now) || gaveup;
}

MemberRecord &selfRecord(Membership &ms) { return ms.ById[ms.Self].Record; }

MemberList publishMembers(const Membership &ms, Time now) {
  const std::map<ZoneId, Time> last = lastRises(ms);
  MemberList list;
  list.Members.reserve(ms.ById.size());
  for (const auto &[id, m] : ms.ById) {
    Member &out = list.Members.emplace_back(m.Record.Info);
    out.State = heardState(ms, m, now, last.at(out.Zone));
    const bool leaving = m.Record.Leaving || m.ListedLeaving;
    if (leaving && out.State != MemberState::Dead)
      out.State = MemberState::Leaving;
  }
  return list;
}

} // namespace zinniagauge
