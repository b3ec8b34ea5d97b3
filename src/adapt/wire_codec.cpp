#include "zinniagauge/adapt/wire_codec.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Sorts a received list by id, since readers of the board search by id.
template <typename T> void sortById(std::vector<T> &list) {
  std::sort(list.begin(), list.end(),
            [](const T &a, const T &b) { return a.Id < b.Id; });
}

/// Converts \p raw to an enumerator. A value above \p last, which only a newer
/// release knows, becomes \p fallback.
template <typename E> E enumOf(std::uint8_t raw, E last, E fallback) noexcept {
  return raw <= static_cast<std::uint8_t>(last) ? static_cast<E>(raw)
                                                : fallback;
}

} // namespace

void write(wire::AttemptId::Builder to, const AttemptId &from) {
  to.setRequestHigh(from.Request.High);
  to.setRequestLow(from.Request.Low);
  to.setNumber(from.Number);
}

AttemptId read(wire::AttemptId::Reader from) {
  return {{from.getRequestHigh(), from.getRequestLow()}, from.getNumber()};
}

void write(wire::Ticket::Builder to, const Ticket &from, ZoneId zone) {
  write(to.initAttempt(), from.Attempt);
  to.setEntry(from.Entry.Value);
  to.setPool(from.Pool.Value);
  to.setRoute(from.Route.Value);
  to.setWorkspace(from.Workspace.Value);
  to.setRank(from.Rank.Rank);
  to.setPromptTokens(from.PromptTokens);
  to.setOutputTokens(from.OutputTokens);
  to.setPrefixHash(from.PrefixHash);
  to.setTimeLeftNanos(from.TimeLeft.count());
  to.setAvoid(from.AvoidEndpoint.Value);
  to.setZone(zone.Value);
  to.setChoice(static_cast<std::uint8_t>(from.Choice));
  to.setMoveTo(from.NewVersion.Value);
}

Ticket read(wire::Ticket::Reader from) {
  Ticket t;
  t.Attempt = read(from.getAttempt());
  t.Entry = {from.getEntry()};
  t.Pool = {from.getPool()};
  t.Route = {from.getRoute()};
  t.Workspace = {from.getWorkspace()};
  constexpr std::uint8_t LowestRank = MaxTiers - 1;
  t.Rank = {std::min(from.getRank(), LowestRank)};
  t.PromptTokens = from.getPromptTokens();
  t.OutputTokens = from.getOutputTokens();
  t.PrefixHash = from.getPrefixHash();
  t.TimeLeft = Duration(from.getTimeLeftNanos());
  t.AvoidEndpoint = {from.getAvoid()};
  t.Choice = enumOf(from.getChoice(), VersionChoice::NewOnly,
                    VersionChoice::ExceptNew);
  t.NewVersion = {from.getMoveTo()};
  return t;
}

namespace {

void write(wire::GrantId::Builder to, const GrantId &from) {
  to.setScheduler(from.Scheduler.Value);
  to.setIncarnation(from.Incarnation);
  to.setNumber(from.Number);
}

GrantId read(wire::GrantId::Reader from) {
  return {{from.getScheduler()}, from.getIncarnation(), from.getNumber()};
}

} // namespace

void write(wire::Grant::Builder to, const Grant &from) {
  write(to.initId(), from.Id);
  write(to.initAttempt(), from.Attempt);
  to.setEndpoint(from.Endpoint.Value);
  to.setVersion(from.Version.Value);
  to.setTokens(from.Tokens);
  to.setIssuedNanos(toNanos(from.IssuedAt));
  to.setTtlNanos(from.Ttl.count());
}

Grant read(wire::Grant::Reader from) {
  Grant g;
  g.Id = read(from.getId());
  g.Attempt = read(from.getAttempt());
  g.Endpoint = {from.getEndpoint()};
  g.Version = {from.getVersion()};
  g.Tokens = from.getTokens();
  g.IssuedAt = fromNanos(from.getIssuedNanos());
  g.Ttl = Duration(from.getTtlNanos());
  return g;
}

void write(wire::GrantReturn::Builder to, const GrantReturn &from) {
  write(to.initId(), from.Id);
  write(to.initAttempt(), from.Attempt);
  to.setEndpoint(from.Endpoint.Value);
  to.setPromptTokens(from.PromptTokens);
  to.setOutputTokens(from.OutputTokens);
  to.setCachedTokens(from.CachedTokens);
  to.setFirstTokenNanos(from.FirstTokenTime.count());
  to.setTotalNanos(from.TotalTime.count());
  to.setDispatched(from.Dispatched);
  to.setRefused(from.RefusedByEndpoint);
  to.setBroken(from.EndpointFailed);
  to.setCancelled(from.Cancelled);
}

GrantReturn read(wire::GrantReturn::Reader from) {
  GrantReturn r;
  r.Id = read(from.getId());
  r.Attempt = read(from.getAttempt());
  r.Endpoint = {from.getEndpoint()};
  r.PromptTokens = from.getPromptTokens();
  r.OutputTokens = from.getOutputTokens();
  r.CachedTokens = from.getCachedTokens();
  r.FirstTokenTime = Duration(from.getFirstTokenNanos());
  r.TotalTime = Duration(from.getTotalNanos());
  r.Dispatched = from.getDispatched();
  r.RefusedByEndpoint = from.getRefused();
  r.EndpointFailed = from.getBroken();
  r.Cancelled = from.getCancelled();
  return r;
}

void write(capnp::List<wire::Member>::Builder to,
           std::span<const Member> from) {
  for (unsigned n = 0; n < from.size(); ++n) {
    const Member &m = from[n];
    auto b = to[n];
    b.setName(m.Name);
    b.setZoneName(m.ZoneName);
    b.setEntryAddress(m.EntryAddress);
    b.setAgentAddress(m.AgentAddress);
    b.setMetricsAddress(m.MetricsAddress);
    b.setIncarnation(m.Incarnation);
    b.setHeartbeat(m.Heartbeat);
    b.setBundleVersion(m.BundleVersion);
    b.setState(static_cast<std::uint8_t>(m.State));
  }
}

MemberList read(capnp::List<wire::Member>::Reader from) {
  MemberList list;
  list.Members.reserve(from.size());
  for (const auto r : from) {
    Member m;
    m.Name = r.getName();
    m.Id = VmId::of(m.Name);
    m.ZoneName = r.getZoneName();
    m.Zone = ZoneId::of(m.ZoneName);
    m.EntryAddress = r.getEntryAddress();
    m.AgentAddress = r.getAgentAddress();
    m.MetricsAddress = r.getMetricsAddress();
    m.Incarnation = r.getIncarnation();
    m.Heartbeat = r.getHeartbeat();
    m.BundleVersion = r.getBundleVersion();
    m.State = enumOf(r.getState(), MemberState::Dead, MemberState::Suspect);
    list.Members.push_back(std::move(m));
  }
  sortById(list.Members);
  return list;
}

void write(capnp::List<wire::EndpointState>::Builder to,
           std::span<const EndpointState> from, Time now) {
  for (unsigned n = 0; n < from.size(); ++n) {
    const EndpointState &s = from[n];
    auto b = to[n];
    b.setId(s.Id.Value);
    b.setLeaving(s.Leaving);
    b.setDraining(s.Draining);
    b.setIncarnation(s.Incarnation);
    b.setHasReported(s.ReportedVersion.has_value());
    b.setReported(s.ReportedVersion.value_or(VersionId{}).Value);
    b.setHasLoad(s.Load.has_value());
    const LoadReport load = s.Load.value_or(LoadReport{});
    b.setLoadAgeNanos((now - load.MeasuredAt).count());
    b.setRunning(load.Running);
    b.setWaiting(load.Waiting);
    b.setTokensInFlight(load.TokensInFlight);
  }
}

EndpointList read(capnp::List<wire::EndpointState>::Reader from, Time now) {
  EndpointList list;
  list.Endpoints.reserve(from.size());
  for (const auto r : from) {
    EndpointState s;
    s.Id = {r.getId()};
    s.Leaving = r.getLeaving();
    s.Draining = r.getDraining();
    s.Incarnation = r.getIncarnation();
    if (r.getHasReported())
      s.ReportedVersion = VersionId{r.getReported()};
    if (r.getHasLoad())
      s.Load = LoadReport{now - Duration(r.getLoadAgeNanos()), r.getRunning(),
                          r.getWaiting(), r.getTokensInFlight()};
    list.Endpoints.push_back(s);
  }
  sortById(list.Endpoints);
  return list;
}

void write(capnp::List<wire::MoveState>::Builder to,
           std::span<const MoveState> from) {
  for (unsigned n = 0; n < from.size(); ++n) {
    const MoveState &m = from[n];
    auto b = to[n];
    b.setId(m.Id.Value);
    b.setFence(m.FencingToken);
    b.setSharePermille(m.SharePermille);
    b.setStage(static_cast<std::uint8_t>(m.Stage));
    b.setBad(m.VersionIsBad);
    b.setEvidence(m.BadReason);
  }
}

MoveList read(capnp::List<wire::MoveState>::Reader from) {
  MoveList list;
  list.Moves.reserve(from.size());
  for (const auto r : from) {
    MoveState m;
    m.Id = {r.getId()};
    m.FencingToken = r.getFence();
    m.SharePermille = r.getSharePermille();
    m.Stage = enumOf(r.getStage(), MoveStage::RolledBack, MoveStage::Waiting);
    m.VersionIsBad = r.getBad();
    m.BadReason = r.getEvidence();
    list.Moves.push_back(std::move(m));
  }
  sortById(list.Moves);
  return list;
}

void write(capnp::List<wire::EvidenceRow>::Builder to,
           std::span<const VersionStats> from) {
  for (unsigned n = 0; n < from.size(); ++n) {
    const auto &[key, counts] = from[n];
    auto b = to[n];
    b.setPool(key.Pool.Value);
    b.setVersion(key.Version.Value);
    b.setEndpoint(key.Endpoint.Value);
    b.setRoute(key.Route.Value);
    b.setLoad(static_cast<std::uint8_t>(key.Load));
    b.setRequests(counts.Requests);
    b.setFailures(counts.Failures);
    b.setFirstTokenNanos(counts.FirstTokenNanos);
    b.setTotalNanos(counts.TotalNanos);
    b.setOutputTokens(counts.OutputTokens);
  }
}

VersionStatsList read(capnp::List<wire::EvidenceRow>::Reader from) {
  VersionStatsList list;
  list.Rows.reserve(from.size());
  for (const auto r : from) {
    VersionStats e;
    e.Key = {{r.getPool()},
             {r.getVersion()},
             {r.getEndpoint()},
             {r.getRoute()},
             enumOf(r.getLoad(), LoadClass::Full, LoadClass::Full)};
    e.Counts = {r.getRequests(), r.getFailures(), r.getFirstTokenNanos(),
                r.getTotalNanos(), r.getOutputTokens()};
    list.Rows.push_back(e);
  }
  return list;
}

} // namespace zinniagauge
