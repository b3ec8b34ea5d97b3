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
  if (a.Said.Incarnation != b.Said.Incarnation)
    return a.Said.Incarnation > b.Said.Incarnation;
  return a.Said.Heartbeat > b.Said.Heartbeat;
}

/// Whether two records differ in more than their counts.
bool differ(const MemberRecord &a, const MemberRecord &b) noexcept {
  return a.Said.Incarnation != b.Said.Incarnation || a.Leaving != b.Leaving ||
         isDown(a) != isDown(b) || whereabouts(a.Said) != whereabouts(b.Said);
}

/// Another VM told of this one. Its own process knows better, save for being
/// told to leave and for an earlier life with a higher incarnation.
bool mergeSelf(Membership &ms, const MemberRecord &rec, Time now) {
  MemberRecord &self = selfRecord(ms);
  if (rec.Said.Incarnation > self.Said.Incarnation) {
    ms.Superseded = now - ms.Started > RecoverWithin;
    if (!ms.Superseded)
      self.Said.Incarnation = rec.Said.Incarnation + 1;
    return !ms.Superseded;
  }
  if (rec.Said.Incarnation < self.Said.Incarnation)
    return false;
  const MemberRecord old = self;
  self.Leaving = self.Leaving || rec.Leaving;
  self.Said.Heartbeat =
      std::max({self.Said.Heartbeat, rec.Said.Heartbeat, rec.DownAt + 1});
  return differ(old, self);
}

/// When a heartbeat of each zone was last seen to rise.
std::map<ZoneId, Time> lastRises(const Membership &ms) {
  std::map<ZoneId, Time> last;
  for (const auto &[id, m] : ms.ById) {
    Time &t = last[m.Record.Said.Zone];
    t = std::max(t, m.LastRise);
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
  if (m.Record.Said.Id == ms.Self)
    return MemberState::Alive;
  if (isDown(m.Record))
    return MemberState::Dead;
  if (m.Record.Said.Zone == ms.Zone)
    return bySilence(now - m.LastRise, SuspectAfter, DeadAfter);
  return bySilence(now - lastofzone, ZoneSuspectAfter, ZoneDeadAfter);
}

bool giveUpSilent(Membership &ms, Time now) {
  bool changed = false;
  for (auto &[id, m] : ms.ById) {
    MemberRecord &r = m.Record;
    if (id == ms.Self || r.Said.Zone != ms.Zone || isDown(r))
      continue;
    if (now - m.LastRise <= DeadAfter)
      continue;
    r.DownAt = r.Said.Heartbeat;
    changed = true;
  }
  return changed;
}

/// Only VMs that their zone gave up are forgotten: a zone that is silent may
/// come back, and others would tell of its VMs again.
bool forgetDead(Membership &ms, Time now) {
  return std::erase_if(ms.ById, [&](const auto &it) {
           return isDown(it.second.Record) &&
                  now - it.second.LastRise > ForgetAfter;
         }) != 0;
}

} // namespace

bool joinRecord(MemberRecord &into, const MemberRecord &from) {
  if (from.Said.Incarnation < into.Said.Incarnation)
    return false;
  const MemberRecord old = into;
  if (from.Said.Incarnation > into.Said.Incarnation) {
    into = from;
    return true;
  }
  if (whereabouts(from.Said) > whereabouts(into.Said)) {
    const auto heartbeat = into.Said.Heartbeat;
    const auto bundleversion = into.Said.BundleVersion;
    into.Said = from.Said;
    into.Said.Heartbeat = heartbeat;
    into.Said.BundleVersion = bundleversion;
  }
  raise(into.Said.Heartbeat, from.Said.Heartbeat);
  raise(into.Said.BundleVersion, from.Said.BundleVersion);
  raise(into.DownAt, from.DownAt);
  into.Leaving = into.Leaving || from.Leaving;
  return into != old;
}

Membership startMembership(const Member &self, Time now) {
  Membership ms;
  ms.Self = self.Id;
  ms.Zone = self.Zone;
  ms.Started = ms.LastBeat = ms.LastStep = now;
  TrackedMember &m = ms.ById[self.Id];
  m.Record.Said = self;
  m.Record.Said.State = MemberState::Alive;
  m.Record.Said.Heartbeat = std::max<std::uint64_t>(self.Heartbeat, 1);
  m.LastRise = now;
  return ms;
}

bool mergeMember(Membership &ms, const MemberRecord &rec, Time now) {
  if (rec.Said.Id == ms.Self)
    return mergeSelf(ms, rec, now);
  const auto it = ms.ById.find(rec.Said.Id);
  if (it == ms.ById.end() && isDown(rec))
    return false;
  if (it == ms.ById.end()) {
    TrackedMember &m = ms.ById[rec.Said.Id];
    m.Record = rec;
    m.Record.Said.State = MemberState::Alive;
    m.LastRise = now;
    return true;
  }
  TrackedMember &m = it->second;
  const MemberRecord old = m.Record;
  if (isNewer(rec, m.Record))
    m.LastRise = now;
  joinRecord(m.Record, rec);
  m.Record.Said.State = MemberState::Alive;
  return differ(old, m.Record);
}

bool mergeBeat(Membership &ms, VmId id, std::uint64_t incarnation,
               std::uint64_t heartbeat, std::uint64_t bundleversion, Time now) {
  const auto it = ms.ById.find(id);
  if (id == ms.Self || it == ms.ById.end())
    return false;
  Member &said = it->second.Record.Said;
  if (said.Incarnation != incarnation)
    return false;
  const bool wasdown = isDown(it->second.Record);
  if (raise(said.Heartbeat, heartbeat))
    it->second.LastRise = now;
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

void leave(Membership &ms) { selfRecord(ms).Leaving = true; }

bool step(Membership &ms, Time now) {
  if (now - ms.LastStep > PauseGap)
    for (auto &[id, m] : ms.ById)
      m.LastRise = std::max(m.LastRise, now);
  ms.LastStep = now;
  if (now - ms.LastBeat >= BeatPeriod) {
    ++selfRecord(ms).Said.Heartbeat;
    ms.LastBeat = now;
    ms.ById[ms.Self].LastRise = now;
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
    Member &out = list.Members.emplace_back(m.Record.Said);
    out.State = heardState(ms, m, now, last.at(out.Zone));
    const bool leaving = m.Record.Leaving || m.ListedLeaving;
    if (leaving && out.State != MemberState::Dead)
      out.State = MemberState::Leaving;
  }
  return list;
}

} // namespace zinniagauge
