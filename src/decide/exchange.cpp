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

/// A VM that its zone gave up counts nothing, so that VMs which never heard of
/// it agree with those which remember it.
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

/// Whether nothing is known but the id.
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

void count(Buckets &into, std::uint64_t id, std::uint64_t hash) noexcept {
  into[bucketOf(id)] += static_cast<std::uint32_t>(hash);
}

StateDigest digestOf(const Exchange &ex) noexcept {
  StateDigest d;
  d.BundleVersion = ex.ActiveBundle.Version;
  for (const auto &[id, m] : ex.Members.ById)
    count(d.Members, id.Value, hashOf(m.Record));
  for (const auto &[id, r] : ex.Endpoints)
    count(d.Endpoints, id.Value, hashOf(r));
  for (const auto &[id, st] : ex.Moves)
    count(d.Moves, id.Value, hashOf(st));
  return d;
}

/// Orders states of one move by how far its row had got.
auto progress(const MoveState &st) noexcept {
  const auto stage = static_cast<unsigned>(st.Stage);
  return std::tuple(isFinal(st.Stage) ? stage : 0U, st.FencingToken, stage,
                    st.SharePermille);
}

CompactHeartbeat beatOf(const MemberRecord &r) noexcept {
  return {heartbeatKey(r.Info.Id, r.Info.Incarnation),
          static_cast<std::uint32_t>(r.Info.Heartbeat),
          static_cast<std::uint32_t>(r.Info.BundleVersion)};
}

/// Adds the \p most heartbeats of \p all that rose last.
void addLatest(std::vector<const TrackedMember *> &all, std::size_t most,
               std::vector<CompactHeartbeat> &out) {
  const std::size_t n = std::min(most, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n),
                    all.end(), [](const auto *a, const auto *b) {
                      return a->LastHeartbeatAt > b->LastHeartbeatAt;
                    });
  for (std::size_t k = 0; k < n; ++k)
    out.push_back(beatOf(all[k]->Record));
}

/// All heartbeats of the own zone for a peer in it; of every other zone only
/// the latest ones, which show that the zone lives.
std::vector<CompactHeartbeat> beatsFor(const Exchange &ex, ZoneId to,
                                       Time now) {
  std::map<ZoneId, std::vector<const TrackedMember *>> byzone;
  for (const auto &[id, m] : ex.Members.ById)
    if (now - m.LastHeartbeatAt <= DeadTimeout && !isDown(m.Record))
      byzone[m.Record.Info.Zone].push_back(&m);
  std::vector<CompactHeartbeat> beats;
  for (auto &[zone, all] : byzone) {
    const bool whole = zone == ex.Members.Zone && zone == to;
    addLatest(all, whole ? all.size() : RelaysPerZone, beats);
  }
  return beats;
}

ExchangeMessage emptySwap(const Exchange &ex) {
  ExchangeMessage s;
  s.From = ex.Members.Self;
  s.FromZone = ex.Members.Zone;
  s.Digest = digestOf(ex);
  return s;
}

/// Adds to \p s all that lies in buckets in which the peer differs. Returns
/// whether there was any.
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

bool mergeBeats(Exchange &ex, std::span<const CompactHeartbeat> beats,
                Time now) {
  std::unordered_map<std::uint32_t, const Member *> bykey;
  for (const auto &[id, m] : ex.Members.ById)
    bykey.emplace(heartbeatKey(id, m.Record.Info.Incarnation), &m.Record.Info);
  bool changed = false;
  for (const CompactHeartbeat &b : beats) {
    const auto it = bykey.find(b.Key);
    if (it != bykey.end())
      changed |=
          mergeHeartbeat(ex.Members, it->second->Id, it->second->Incarnation,
                         b.Heartbeat, b.BundleVersion, now);
  }
  return changed;
}

/// Joins a record of an endpoint or move that the bundle names. Others are
/// ignored: a peer with a newer bundle tells of them again.
template <typename Id, typename Record>
bool joinInto(std::map<Id, Record> &into, const Record &rec) {
  const auto it = into.find(rec.Id);
  return it != into.end() && joinRecord(it->second, rec);
}

/// Makes \p into hold one record for each of \p specs, and no other.
template <typename Id, typename Record, typename Spec>
void keepNamed(std::map<Id, Record> &into, std::span<const Spec> specs) {
  std::map<Id, Record> next;
  for (const Spec &spec : specs) {
    const auto it = into.find(spec.Id);
    Record rec;
    rec.Id = spec.Id;
    next.emplace(spec.Id, it == into.end() ? rec : it->second);
  }
  into = std::move(next);
}

/// Merges all of \p s; what is new to this VM is worth telling others.
void merge(Exchange &ex, const ExchangeMessage &s, Time now,
           ExchangeUpdates &news) {
  bool changed = false;
  for (const MemberRecord &rec : s.Members)
    changed |= mergeMember(ex.Members, rec, now);
  changed |= mergeBeats(ex, s.Heartbeats, now);
  news.Members |= changed;
  bool endpoints = false;
  for (const EndpointRecord &rec : s.Endpoints)
    endpoints |= joinInto(ex.Endpoints, rec);
  news.Endpoints |= endpoints;
  bool moves = false;
  for (const MoveState &st : s.Moves)
    moves |= joinInto(ex.Moves, st);
  news.Moves |= moves;
  if (s.Bundle && s.Bundle->Version > ex.ActiveBundle.Version)
    news.NewBundle = s.Bundle;
  if (changed || endpoints || moves)
    ex.UpdateRoundsLeft = UpdateRounds;
}

bool mayAsk(const Exchange &ex, const Member &m) noexcept {
  return m.Id != ex.Members.Self && m.State != MemberState::Dead;
}

void addTarget(const Member &m, std::vector<ExchangeTarget> &out) {
  const bool there = std::any_of(out.begin(), out.end(),
                                 [&](const auto &t) { return t.Id == m.Id; });
  if (!there)
    out.push_back({m.Id, m.Zone, m.AgentAddress});
}

/// Adds up to \p n peers of the own zone, at random.
void addPeers(Exchange &ex, const MemberList &list, std::size_t n,
              std::vector<ExchangeTarget> &out) {
  std::vector<const Member *> peers;
  for (const Member &m : list.Members)
    if (mayAsk(ex, m) && m.Zone == ex.Members.Zone)
      peers.push_back(&m);
  for (; n > 0 && !peers.empty(); --n) {
    const std::size_t k = randomBelow(ex.Random, peers.size());
    addTarget(*peers[k], out);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(k));
  }
}

/// Whether this VM is one of those of its zone that swap with \p zone.
bool isRelayTo(const Exchange &ex, const MemberList &list,
               ZoneId zone) noexcept {
  const SchedulerRole role{zone, PoolId::of("relay"), 0};
  const std::uint64_t own = roleWeight(ex.Members.Self, role);
  std::size_t before = 0;
  for (const Member &m : list.Members)
    if (mayAsk(ex, m) && m.Zone == ex.Members.Zone && mayHoldRoles(m) &&
        roleWeight(m.Id, role) > own)
      ++before;
  return before < RelaysPerZone;
}

/// Adds one VM of each other zone that this VM is a relay to. A zone that is
/// silent is still tried, for it may only be cut off.
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

/// Adds a VM held to be dead, and a seed.
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
                      [&](const Member &m) { return mayAsk(ex, m); });
}

void spreadSoon(Exchange &ex) noexcept { ex.UpdateRoundsLeft = UpdateRounds; }

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
  const bool bothend = isFinal(into.Stage) && isFinal(from.Stage);
  check(Invariant::MoveEndsOnce, !bothend || into.Stage == from.Stage);
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
  spreadSoon(ex);
  return ex;
}

bool step(Exchange &ex, Time now, std::vector<ExchangeTarget> &out) {
  const bool changed = step(ex.Members, now);
  if (changed)
    spreadSoon(ex);
  const bool regular = now >= ex.NextExchangeAt;
  const bool news = ex.UpdateRoundsLeft > 0 && now >= ex.NextUpdateAt;
  if (!regular && !news)
    return changed;
  const MemberList list = publishMembers(ex.Members, now);
  addPeers(ex, list, news ? UpdateFanout : 1, out);
  addRelays(ex, list, out);
  if (regular) {
    ex.NextExchangeAt = now + ExchangePeriod;
    if (++ex.RoundCount % RoundsPerProbe == 0 || isAlone(ex, list))
      addProbes(ex, list, out);
  }
  if (news) {
    ex.NextUpdateAt = now + UpdateExchangePeriod;
    --ex.UpdateRoundsLeft;
  }
  return changed;
}

ExchangeMessage makeExchangeRequest(const Exchange &ex, ZoneId to, Time now) {
  ExchangeMessage s = emptySwap(ex);
  s.Heartbeats = beatsFor(ex, to, now);
  return s;
}

ExchangeMessage handleExchangeRequest(Exchange &ex, const ExchangeMessage &ask,
                                      Time now, ExchangeUpdates &news) {
  merge(ex, ask, now, news);
  ExchangeMessage s = emptySwap(ex);
  s.Heartbeats = beatsFor(ex, ask.FromZone, now);
  addDifferences(ex, ask.Digest, s);
  return s;
}

std::optional<ExchangeMessage>
handleExchangeResponse(Exchange &ex, const ExchangeMessage &answer, Time now,
                       ExchangeUpdates &news) {
  merge(ex, answer, now, news);
  ExchangeMessage s = emptySwap(ex);
  if (!addDifferences(ex, answer.Digest, s))
    return std::nullopt;
  return s;
}

bool recordEndpoint(Exchange &ex, const EndpointRecord &rec) {
  const bool changed = joinInto(ex.Endpoints, rec);
  if (changed)
    spreadSoon(ex);
  return changed;
}

bool recordMove(Exchange &ex, const MoveState &st) {
  const bool changed = joinInto(ex.Moves, st);
  if (changed)
    spreadSoon(ex);
  return changed;
}

void recordLeaving(Exchange &ex) {
  markLeaving(ex.Members);
  spreadSoon(ex);
}

bool activateBundle(Exchange &ex, const Bundle &b) {
  if (b.Version <= ex.ActiveBundle.Version)
    return false;
  ex.ActiveBundle = {b.Version, b.Digest, b.Text};
  selfRecord(ex.Members).Info.BundleVersion = b.Version;
  keepNamed(ex.Endpoints, std::span(b.Endpoints));
  keepNamed(ex.Moves, std::span(b.Moves));
  spreadSoon(ex);
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
