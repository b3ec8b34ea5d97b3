// Implements the state exchange between VMs.
#include "zinniagauge/decide/exchange.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace zinniagauge {

namespace {

using Buckets = std::array<std::uint32_t, DigestBuckets>;

std::size_t bucketOf(std::uint64_t id) noexcept { return id % DigestBuckets; }

std::uint64_t combine(std::uint64_t h, std::uint64_t x) noexcept {
  return mix64(h + 0x9E3779B97F4A7C15U + x);
}

/// A VM that its zone declared dead hashes to zero, so that VMs that never knew
/// it agree with VMs that remember it.
std::uint64_t hashOf(const MemberRecord &r) noexcept {
  if (isDown(r))
    return 0;
  std::uint64_t h = combine(r.Info.Id.Value, r.Info.Incarnation);
  h = combine(h, nameHash(r.Info.EntryAddress));
  h = combine(h, nameHash(r.Info.AgentAddress));
  h = combine(h, nameHash(r.Info.MetricsAddress));
  h = combine(h, r.Info.Zone.Value);
  return combine(h, r.Leaving ? 1 : 0);
}

/// Returns whether nothing but the id is known.
template <typename Record> bool isBlank(const Record &r) {
  Record blank;
  blank.Id = r.Id;
  return r == blank;
}

std::uint64_t hashOf(const EndpointRecord &r) noexcept {
  if (isBlank(r))
    return 0;
  std::uint64_t h = combine(r.Id.Value, r.Incarnation);
  h = combine(h, (r.Leaving ? 1U : 0U) | (r.Draining ? 2U : 0U));
  return combine(combine(h, r.ReportedAt), r.Reported.Value);
}

std::uint64_t hashOf(const MoveState &st) noexcept {
  if (isBlank(st))
    return 0;
  std::uint64_t h = combine(st.Id.Value, st.FencingToken);
  h = combine(h, st.SharePermille);
  h = combine(h, static_cast<std::uint64_t>(st.Stage));
  return combine(combine(h, st.VersionIsBad ? 1 : 0), nameHash(st.BadReason));
}

void addHash(Buckets &into, std::uint64_t id, std::uint64_t hash) noexcept {
  into[bucketOf(id)] += static_cast<std::uint32_t>(hash);
}

StateDigest digestOf(const Exchange &ex) noexcept {
  StateDigest d;
  d.BundleVersion = ex.ActiveBundle.Version;
  for (const auto &[id, m] : ex.Members.ById)
    addHash(d.Members, id.Value, hashOf(m.Record));
  for (const auto &[id, r] : ex.Endpoints)
    addHash(d.Endpoints, id.Value, hashOf(r));
  for (const auto &[id, st] : ex.Moves)
    addHash(d.Moves, id.Value, hashOf(st));
  return d;
}

/// Orders the states of one move by their progress.
auto progress(const MoveState &st) noexcept {
  const auto stage = static_cast<unsigned>(st.Stage);
  return std::tuple(isFinal(st.Stage) ? stage : 0U, st.FencingToken, stage,
                    st.SharePermille);
}

CompactHeartbeat compactHeartbeat(const MemberRecord &r) noexcept {
  return {heartbeatKey(r.Info.Id, r.Info.Incarnation),
          static_cast<std::uint32_t>(r.Info.Heartbeat),
          static_cast<std::uint32_t>(r.Info.BundleVersion)};
}

/// Appends the \p max heartbeats in \p all that rose last.
void addLatest(std::vector<const TrackedMember *> &all, std::size_t max,
               std::vector<CompactHeartbeat> &out) {
  const std::size_t n = std::min(max, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n),
                    all.end(), [](const auto *a, const auto *b) {
                      return a->LastHeartbeatAt > b->LastHeartbeatAt;
                    });
  for (std::size_t k = 0; k < n; ++k)
    out.push_back(compactHeartbeat(all[k]->Record));
}

/// Returns the heartbeats for a peer in zone \p to: all of the own zone if the
/// peer is in it, and of every other zone only the latest ones, which show that
/// the zone is reachable.
std::vector<CompactHeartbeat> heartbeatsFor(const Exchange &ex, ZoneId to,
                                            Time now) {
  std::map<ZoneId, std::vector<const TrackedMember *>> byzone;
  for (const auto &[id, m] : ex.Members.ById)
    if (now - m.LastHeartbeatAt <= DeadTimeout && !isDown(m.Record))
      byzone[m.Record.Info.Zone].push_back(&m);
  std::vector<CompactHeartbeat> heartbeats;
  for (auto &[zone, all] : byzone) {
    const bool ownzone = zone == ex.Members.Zone && zone == to;
    addLatest(all, ownzone ? all.size() : RelaysPerZone, heartbeats);
  }
  return heartbeats;
}

ExchangeMessage makeMessage(const Exchange &ex) {
  ExchangeMessage s;
  s.From = ex.Members.Self;
  s.FromZone = ex.Members.Zone;
  s.Digest = digestOf(ex);
  return s;
}

/// Appends to \p s all records in buckets in which the peer differs. Returns
/// whether there were any.
bool addDifferences(const Exchange &ex, const StateDigest &peer,
                    ExchangeMessage &s) {
  const auto differs = [](const Buckets &a, const Buckets &b,
                          std::uint64_t id) {
    return a[bucketOf(id)] != b[bucketOf(id)];
  };
  for (const auto &[id, m] : ex.Members.ById)
    if (differs(s.Digest.Members, peer.Members, id.Value))
      s.Members.push_back(m.Record);
  for (const auto &[id, r] : ex.Endpoints)
    if (!isBlank(r) && differs(s.Digest.Endpoints, peer.Endpoints, id.Value))
      s.Endpoints.push_back(r);
  for (const auto &[id, st] : ex.Moves)
    if (!isBlank(st) && differs(s.Digest.Moves, peer.Moves, id.Value))
      s.Moves.push_back(st);
  if (ex.ActiveBundle.Version > peer.BundleVersion)
    s.Bundle = ex.ActiveBundle;
  return !s.Members.empty() || !s.Endpoints.empty() || !s.Moves.empty() ||
         s.Bundle;
}

bool mergeHeartbeats(Exchange &ex, std::span<const CompactHeartbeat> heartbeats,
                     Time now) {
  std::unordered_map<std::uint32_t, const Member *> bykey;
  for (const auto &[id, m] : ex.Members.ById)
    bykey.emplace(heartbeatKey(id, m.Record.Info.Incarnation), &m.Record.Info);
  bool changed = false;
  for (const CompactHeartbeat &b : heartbeats) {
    const auto it = bykey.find(b.Key);
    if (it != bykey.end())
      changed |=
          mergeHeartbeat(ex.Members, it->second->Id, it->second->Incarnation,
                         b.Heartbeat, b.BundleVersion, now);
  }
  return changed;
}

/// Merges a record of an endpoint or move that the bundle names. Others are
/// ignored: a peer with a newer bundle sends them again.
template <typename Id, typename Record>
bool mergeKnown(std::map<Id, Record> &into, const Record &rec) {
  const auto it = into.find(rec.Id);
  return it != into.end() && joinRecord(it->second, rec);
}

/// Makes \p into hold exactly one record for each of \p specs.
template <typename Id, typename Record, typename Spec>
void keepOnlyNamed(std::map<Id, Record> &into, std::span<const Spec> specs) {
  std::map<Id, Record> next;
  for (const Spec &spec : specs) {
    const auto it = into.find(spec.Id);
    Record rec;
    rec.Id = spec.Id;
    next.emplace(spec.Id, it == into.end() ? rec : it->second);
  }
  into = std::move(next);
}

/// Merges all records in \p s. If any of them was new to this VM, it is sent on
/// to peers soon.
void merge(Exchange &ex, const ExchangeMessage &s, Time now,
           ExchangeUpdates &updates) {
  bool changed = false;
  for (const MemberRecord &rec : s.Members)
    changed |= mergeMember(ex.Members, rec, now);
  changed |= mergeHeartbeats(ex, s.Heartbeats, now);
  updates.Members |= changed;
  bool endpoints = false;
  for (const EndpointRecord &rec : s.Endpoints)
    endpoints |= mergeKnown(ex.Endpoints, rec);
  updates.Endpoints |= endpoints;
  bool moves = false;
  for (const MoveState &st : s.Moves)
    moves |= mergeKnown(ex.Moves, st);
  updates.Moves |= moves;
  if (s.Bundle && s.Bundle->Version > ex.ActiveBundle.Version)
    updates.NewBundle = s.Bundle;
  if (changed || endpoints || moves)
    ex.UpdateRoundsLeft = UpdateRounds;
}

bool canExchangeWith(const Exchange &ex, const Member &m) noexcept {
  return m.Id != ex.Members.Self && m.State != MemberState::Dead;
}

void addTarget(const Member &m, std::vector<ExchangeTarget> &out) {
  const bool present = std::any_of(out.begin(), out.end(),
                                   [&](const auto &t) { return t.Id == m.Id; });
  if (!present)
    out.push_back({m.Id, m.Zone, m.AgentAddress});
}

/// Appends up to \p n random peers of the own zone.
void addPeers(Exchange &ex, const MemberList &list, std::size_t n,
              std::vector<ExchangeTarget> &out) {
  std::vector<const Member *> peers;
  for (const Member &m : list.Members)
    if (canExchangeWith(ex, m) && m.Zone == ex.Members.Zone)
      peers.push_back(&m);
  for (; n > 0 && !peers.empty(); --n) {
    const std::size_t k = randomBelow(ex.Random, peers.size());
    addTarget(*peers[k], out);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(k));
  }
}

/// Returns whether this VM is one of the relays from its zone to \p zone.
bool isRelayTo(const Exchange &ex, const MemberList &list,
               ZoneId zone) noexcept {
  const SchedulerRole role{zone, PoolId::of("relay"), 0};
  const std::uint64_t own = roleWeight(ex.Members.Self, role);
  std::size_t before = 0;
  for (const Member &m : list.Members)
    if (canExchangeWith(ex, m) && m.Zone == ex.Members.Zone &&
        mayHoldRoles(m) && roleWeight(m.Id, role) > own)
      ++before;
  return before < RelaysPerZone;
}

/// Appends one VM of each other zone to which this VM is a relay. A zone that
/// is silent is still tried, since it may only be partitioned.
void addRelays(Exchange &ex, const MemberList &list,
               std::vector<ExchangeTarget> &out) {
  std::map<ZoneId, std::vector<const Member *>> zones;
  for (const Member &m : list.Members)
    if (m.Zone != ex.Members.Zone)
      zones[m.Zone].push_back(&m);
  for (auto &[zone, all] : zones) {
    if (!isRelayTo(ex, list, zone))
      continue;
    const auto end =
        std::stable_partition(all.begin(), all.end(), [&](const Member *m) {
          return m->State != MemberState::Dead;
        });
    const auto live = static_cast<std::size_t>(end - all.begin());
    addTarget(*all[randomBelow(ex.Random, live == 0 ? all.size() : live)], out);
  }
}

/// Appends a VM that is considered dead, and a seed.
void addProbes(Exchange &ex, const MemberList &list,
               std::vector<ExchangeTarget> &out) {
  std::vector<const Member *> dead;
  for (const Member &m : list.Members)
    if (m.State == MemberState::Dead && m.Zone == ex.Members.Zone)
      dead.push_back(&m);
  if (!dead.empty())
    addTarget(*dead[randomBelow(ex.Random, dead.size())], out);
  if (!ex.Seeds.empty())
    out.push_back({{}, {}, ex.Seeds[randomBelow(ex.Random, ex.Seeds.size())]});
}

bool isAlone(const Exchange &ex, const MemberList &list) noexcept {
  return std::none_of(list.Members.begin(), list.Members.end(),
                      [&](const Member &m) { return canExchangeWith(ex, m); });
}

void scheduleUpdate(Exchange &ex) noexcept {
  ex.UpdateRoundsLeft = UpdateRounds;
}

} // namespace

bool joinRecord(EndpointRecord &into, const EndpointRecord &from) {
  if (from.Incarnation < into.Incarnation)
    return false;
  const EndpointRecord old = into;
  if (from.Incarnation > into.Incarnation) {
    into = from;
    return true;
  }
  into.Leaving = into.Leaving || from.Leaving;
  into.Draining = into.Draining || from.Draining;
  if (std::tie(from.ReportedAt, from.Reported) >
      std::tie(into.ReportedAt, into.Reported)) {
    into.ReportedAt = from.ReportedAt;
    into.Reported = from.Reported;
  }
  return into != old;
}

bool joinRecord(MoveState &into, const MoveState &from) {
  const MoveState old = into;
  const bool bothfinal = isFinal(into.Stage) && isFinal(from.Stage);
  check(Invariant::MoveEndsOnce, !bothfinal || into.Stage == from.Stage);
  if (progress(from) > progress(into)) {
    into.FencingToken = from.FencingToken;
    into.Stage = from.Stage;
    into.SharePermille = from.SharePermille;
  }
  into.VersionIsBad = into.VersionIsBad || from.VersionIsBad;
  if (into.BadReason.empty() ||
      (!from.BadReason.empty() && from.BadReason < into.BadReason))
    into.BadReason = from.BadReason;
  return into != old;
}

std::uint32_t heartbeatKey(VmId id, std::uint64_t incarnation) noexcept {
  return static_cast<std::uint32_t>(combine(id.Value, incarnation));
}

Exchange startExchange(const Member &self, std::span<const std::string> seeds,
                       std::uint64_t seed, Time now) {
  Exchange ex;
  ex.Members = startMembership(self, now);
  ex.Seeds.assign(seeds.begin(), seeds.end());
  std::erase(ex.Seeds, self.AgentAddress);
  ex.Random = seed;
  ex.NextExchangeAt = ex.NextUpdateAt = now;
  scheduleUpdate(ex);
  return ex;
}

bool step(Exchange &ex, Time now, std::vector<ExchangeTarget> &out) {
  const bool changed = step(ex.Members, now);
  if (changed)
    scheduleUpdate(ex);
  const bool regular = now >= ex.NextExchangeAt;
  const bool update = ex.UpdateRoundsLeft > 0 && now >= ex.NextUpdateAt;
  if (!regular && !update)
    return changed;
  const MemberList list = publishMembers(ex.Members, now);
  addPeers(ex, list, update ? UpdateFanout : 1, out);
  addRelays(ex, list, out);
  if (regular) {
    ex.NextExchangeAt = now + ExchangePeriod;
    if (++ex.RoundCount % RoundsPerProbe == 0 || isAlone(ex, list))
      addProbes(ex, list, out);
  }
  if (update) {
    ex.NextUpdateAt = now + UpdateExchangePeriod;
    --ex.UpdateRoundsLeft;
  }
  return changed;
}

ExchangeMessage makeExchangeRequest(const Exchange &ex, ZoneId to, Time now) {
  ExchangeMessage s = makeMessage(ex);
  s.Heartbeats = heartbeatsFor(ex, to, now);
  return s;
}

ExchangeMessage handleExchangeRequest(Exchange &ex, const ExchangeMessage &req,
                                      Time now, ExchangeUpdates &updates) {
  merge(ex, req, now, updates);
  ExchangeMessage s = makeMessage(ex);
  s.Heartbeats = heartbeatsFor(ex, req.FromZone, now);
  addDifferences(ex, req.Digest, s);
  return s;
}

std::optional<ExchangeMessage>
handleExchangeResponse(Exchange &ex, const ExchangeMessage &resp, Time now,
                       ExchangeUpdates &updates) {
  merge(ex, resp, now, updates);
  ExchangeMessage s = makeMessage(ex);
  if (!addDifferences(ex, resp.Digest, s))
    return std::nullopt;
  return s;
}

bool recordEndpoint(Exchange &ex, const EndpointRecord &rec) {
  const bool changed = mergeKnown(ex.Endpoints, rec);
  if (changed)
    scheduleUpdate(ex);
  return changed;
}

bool recordMove(Exchange &ex, const MoveState &st) {
  const bool changed = mergeKnown(ex.Moves, st);
  if (changed)
    scheduleUpdate(ex);
  return changed;
}

void recordLeaving(Exchange &ex) {
  markLeaving(ex.Members);
  scheduleUpdate(ex);
}

bool activateBundle(Exchange &ex, const Bundle &b) {
  if (b.Version <= ex.ActiveBundle.Version)
    return false;
  ex.ActiveBundle = {b.Version, b.Digest, b.Text};
  selfRecord(ex.Members).Info.BundleVersion = b.Version;
  keepOnlyNamed(ex.Endpoints, std::span(b.Endpoints));
  keepOnlyNamed(ex.Moves, std::span(b.Moves));
  scheduleUpdate(ex);
  return true;
}

EndpointList publishEndpoints(const Exchange &ex, const EndpointList &old) {
  EndpointList list;
  list.Endpoints.reserve(ex.Endpoints.size());
  for (const auto &[id, r] : ex.Endpoints) {
    EndpointState &st = list.Endpoints.emplace_back();
    st.Id = id;
    st.Leaving = r.Leaving;
    st.Draining = r.Draining;
    st.Incarnation = r.Incarnation;
    if (r.ReportedAt != 0)
      st.ReportedVersion = r.Reported;
    if (const EndpointState *before = findEndpointState(old, id))
      st.Load = before->Load;
  }
  return list;
}

MoveList publishMoves(const Exchange &ex) {
  MoveList list;
  for (const auto &[id, st] : ex.Moves)
    list.Moves.push_back(st);
  return list;
}

} // namespace zinniagauge
