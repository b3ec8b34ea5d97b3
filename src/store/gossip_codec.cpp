// Encodes and decodes gossip reports as packed Cap'n Proto messages.
#include "zinniagauge/store/gossip_report.h"

#include "gossip.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <algorithm>

namespace zinniagauge {

namespace {

void writeVersionStats(wire::FrontEvidence::Builder out,
                       const VersionStats &e) {
  out.setPool(e.Key.Pool.Value);
  out.setVersion(e.Key.Version.Value);
  out.setBackend(e.Key.Endpoint.Value);
  out.setRoute(e.Key.Route.Value);
  out.setRequests(e.Counts.Requests);
  out.setFailures(e.Counts.Failures);
  out.setFirstNanos(e.Counts.FirstTokenNanos);
  out.setTotalNanos(e.Counts.TotalNanos);
  out.setUnits(e.Counts.OutputTokens);
  out.setSlow(e.Counts.SlowResponses);
}

VersionStats readVersionStats(wire::FrontEvidence::Reader in) {
  VersionStats e;
  e.Key.Pool = PoolId{in.getPool()};
  e.Key.Version = VersionId{in.getVersion()};
  e.Key.Endpoint = EndpointId{in.getBackend()};
  e.Key.Route = RouteId{in.getRoute()};
  e.Counts = {in.getRequests(),   in.getFailures(), in.getFirstNanos(),
              in.getTotalNanos(), in.getUnits(),    in.getSlow()};
  return e;
}

/// Milliseconds since \p at, in whole ones and not negative.
std::uint32_t ageMs(Time at, Time now) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 0));
}

void writeCrashes(wire::FrontReport::Builder out, const CrashEvidence &ev) {
  const Time now = monotonicNow();
  auto crashes = out.initCrashes(static_cast<unsigned>(ev.Crashes.size()));
  for (unsigned n = 0; n < crashes.size(); ++n) {
    crashes[n].setPart(ev.Crashes[n].Trait.Value);
    crashes[n].setCrash(ev.Crashes[n].Crash);
    crashes[n].setCall(ev.Crashes[n].Call);
    crashes[n].setAgeMs(ageMs(ev.Crashes[n].At, now));
  }
  auto answers = out.initAnswers(static_cast<unsigned>(ev.Answers.size()));
  for (unsigned n = 0; n < answers.size(); ++n) {
    answers[n].setPart(ev.Answers[n].Trait.Value);
    answers[n].setAgeMs(ageMs(ev.Answers[n].At, now));
  }
}

CrashEvidence readCrashes(wire::FrontReport::Reader in) {
  const Time now = monotonicNow();
  CrashEvidence ev;
  for (const auto c : in.getCrashes())
    ev.Crashes.push_back({CallTraitId{c.getPart()}, c.getCrash(), c.getCall(),
                          now - std::chrono::milliseconds(c.getAgeMs())});
  for (const auto a : in.getAnswers())
    ev.Answers.push_back({CallTraitId{a.getPart()},
                          now - std::chrono::milliseconds(a.getAgeMs())});
  return ev;
}

void writeReported(wire::FrontLoad::Builder out, const ReportedLoad &said) {
  if (said.Pace == 0)
    return;
  out.setSaidRunning(said.Running);
  out.setSaidWaiting(said.Waiting);
  out.setSaidPace(said.Pace);
  // Rounded up: a report that comes back mustn't look newer than it is.
  out.setSaidAgeMs(ageMs(said.At, monotonicNow()) + 1);
}

/// Reads what a back end said; nothing if a figure is out of range.
ReportedLoad readReported(wire::FrontLoad::Reader in) {
  if (in.getSaidPace() == 0 || in.getSaidPace() > MaxReportedPace ||
      in.getSaidRunning() > MaxReportedCalls ||
      in.getSaidWaiting() > MaxReportedCalls)
    return {};
  return {in.getSaidRunning(), in.getSaidWaiting(), 0, in.getSaidPace(),
          monotonicNow() - std::chrono::milliseconds(in.getSaidAgeMs())};
}

constexpr double MilliPerUnit = 1000;

void writeLimits(wire::FrontReport::Builder out, const BackendLimitList &list) {
  const Time now = monotonicNow();
  auto limits = out.initLimits(static_cast<unsigned>(list.List.size()));
  for (unsigned n = 0; n < limits.size(); ++n) {
    const BackendLimit &l = list.List[n];
    limits[n].setBackend(l.Id.Value);
    limits[n].setMilliPerSecond(
        static_cast<std::uint32_t>(l.PerSecond * MilliPerUnit));
    limits[n].setAgeMs(ageMs(l.At, now));
  }
}

BackendLimitList readLimits(wire::FrontReport::Reader in) {
  const Time now = monotonicNow();
  BackendLimitList list;
  for (const auto l : in.getLimits())
    list.List.push_back({EndpointId{l.getBackend()},
                         l.getMilliPerSecond() / MilliPerUnit,
                         now - std::chrono::milliseconds(l.getAgeMs())});
  return list;
}

void writeRelays(wire::FrontReport::Builder out,
                 std::span<const RelayPeer> list) {
  out.setRelaysKnown(true);
  auto relays = out.initRelays(static_cast<unsigned>(list.size()));
  for (unsigned n = 0; n < relays.size(); ++n) {
    const RelayPeer &p = list[n];
    relays[n].setNode(p.Node);
    relays[n].setZone(p.Zone.Value);
    relays[n].setIp(p.Address.Ip);
    relays[n].setPort(p.Address.Port);
    relays[n].setToken(p.Token);
    if (p.Unreached.empty())
      continue;
    auto pools =
        relays[n].initUnreached(static_cast<unsigned>(p.Unreached.size()));
    for (unsigned k = 0; k < pools.size(); ++k)
      pools.set(k, p.Unreached[k].Value);
  }
}

/// Reads relay peers up to MaxRelaysRead, without those that can't be used.
std::vector<RelayPeer> readRelays(wire::FrontReport::Reader in) {
  const auto relays = in.getRelays();
  const auto count = static_cast<unsigned>(
      std::min<std::size_t>(relays.size(), MaxRelaysRead));
  std::vector<RelayPeer> out;
  for (unsigned n = 0; n < count; ++n) {
    const auto r = relays[n];
    const auto pools = r.getUnreached();
    if (r.getPort() == 0 || r.getToken() == 0 ||
        pools.size() > MaxUnreachedPools)
      continue;
    RelayPeer p;
    p.Node = r.getNode();
    p.Zone = ZoneId{r.getZone()};
    p.Address = {r.getIp(), r.getPort()};
    p.Token = r.getToken();
    for (const std::uint64_t id : pools)
      p.Unreached.push_back(PoolId{id});
    std::ranges::sort(p.Unreached);
    out.push_back(std::move(p));
  }
  std::ranges::stable_sort(out, {}, &RelayPeer::Node);
  out.erase(std::unique(out.begin(), out.end(),
                        [](const RelayPeer &a, const RelayPeer &b) {
                          return a.Node == b.Node;
                        }),
            out.end());
  return out;
}

} // namespace

namespace {

void writeSummary(wire::FrontReport::Builder out, const GossipReport &rep) {
  out.setAcked(rep.AckedHeartbeat);
  out.setLiving(rep.LivingFronts);
  out.setHeard(rep.HeardFronts);
  auto coordinators =
      out.initCoordinators(static_cast<unsigned>(rep.Coordinators.size()));
  for (unsigned n = 0; n < coordinators.size(); ++n) {
    const CoordinatorRow &row = rep.Coordinators[n];
    coordinators[n].setNode(row.Node);
    coordinators[n].setZone(row.Zone);
    coordinators[n].setIp(row.Address.Ip);
    coordinators[n].setPort(row.Address.Port);
  }
  auto slots =
      out.initVacantSlots(static_cast<unsigned>(rep.VacantSlots.size()));
  for (unsigned n = 0; n < slots.size(); ++n) {
    slots[n].setKey(rep.VacantSlots[n].Key);
    slots[n].setRow(rep.VacantSlots[n].ExpectedVersion);
    slots[n].setEra(rep.VacantSlots[n].Era);
  }
  out.setMovesKnown(rep.Moves.has_value());
  if (!rep.Moves)
    return;
  auto moves = out.initMoves(static_cast<unsigned>(rep.Moves->size()));
  for (unsigned n = 0; n < moves.size(); ++n) {
    const PoolMove &m = (*rep.Moves)[n];
    moves[n].setPool(m.Pool.Value);
    moves[n].setId(m.Id.Value);
    moves[n].setVersion(m.NewVersion.Value);
    moves[n].setStage(static_cast<std::uint8_t>(m.Stage));
    moves[n].setPermille(static_cast<std::uint16_t>(m.SharePermille));
  }
}

/// Reads the fields of a summary. Returns false if a value isn't known.
bool readSummary(wire::FrontReport::Reader in, GossipReport &rep) {
  rep.AckedHeartbeat = in.getAcked();
  rep.LivingFronts = in.getLiving();
  rep.HeardFronts = in.getHeard();
  for (const auto c : in.getCoordinators()) {
    CoordinatorRow row;
    row.Node = c.getNode().cStr();
    row.Zone = c.getZone().cStr();
    row.Address = {c.getIp(), c.getPort()};
    rep.Coordinators.push_back(std::move(row));
  }
  for (const auto s : in.getVacantSlots())
    rep.VacantSlots.push_back({s.getKey().cStr(), s.getRow(), s.getEra()});
  if (!in.getMovesKnown())
    return true;
  rep.Moves.emplace();
  for (const auto m : in.getMoves()) {
    if (m.getStage() >= MoveStageCount)
      return false;
    rep.Moves->push_back(
        {PoolId{m.getPool()}, MoveId{m.getId()}, VersionId{m.getVersion()},
         static_cast<MoveStage>(m.getStage()), m.getPermille()});
  }
  return true;
}

void writeLoads(wire::FrontReport::Builder out,
                std::span<const BackendLoad> list) {
  auto loads = out.initLoads(static_cast<unsigned>(list.size()));
  for (unsigned n = 0; n < loads.size(); ++n) {
    loads[n].setBackend(list[n].Id.Value);
    loads[n].setRunning(list[n].Running);
    loads[n].setPendingTokens(list[n].PendingTokens);
    loads[n].setEventMicros(list[n].MicrosPerEvent);
    writeReported(loads[n], list[n].Reported);
  }
}

} // namespace

std::string encodeReport(const GossipReport &rep) {
  capnp::MallocMessageBuilder msg;
  auto out = msg.initRoot<wire::FrontReport>();
  out.setNode(rep.Node);
  out.setLife(rep.Incarnation);
  out.setBeat(rep.Heartbeat);
  out.setChangesOnly(!rep.IsFull);
  out.setMark(rep.OperatorRows.Number);
  out.setMarkEra(rep.OperatorRows.Era);
  out.setDigestEra(rep.BackendsEra);
  out.setDigest(rep.BackendsDigest);
  out.setMarkAgeMs(rep.OperatorRowAgeMs);
  out.setDigestAgeMs(rep.BackendsDigestAgeMs);
  out.setReadableMs(rep.BackendsReadableMs);
  out.setLinkMbps(rep.LinkMbps);
  out.setAsk(rep.QuerySentAt);
  out.setEcho(rep.EchoedQuerySentAt);
  out.setEchoLife(rep.EchoedIncarnation);
  out.setKind(static_cast<std::uint8_t>(rep.Kind));
  out.setGroupSize(rep.GroupSize);
  if (rep.Kind == ReportKind::Summary)
    writeSummary(out, rep);
  writeLoads(out, rep.Loads);
  auto queues = out.initQueues(static_cast<unsigned>(rep.Queues.size()));
  for (unsigned n = 0; n < queues.size(); ++n) {
    queues[n].setPool(rep.Queues[n].Pool.Value);
    queues[n].setWaiting(rep.Queues[n].Waiting);
  }
  auto spent = out.initSpent(static_cast<unsigned>(rep.SpendTotals.size()));
  for (unsigned n = 0; n < spent.size(); ++n) {
    spent[n].setWorkspace(rep.SpendTotals[n].Workspace.Value);
    spent[n].setTotal(rep.SpendTotals[n].Total);
  }
  auto stats = out.initEvidence(static_cast<unsigned>(rep.Stats.size()));
  for (unsigned n = 0; n < stats.size(); ++n)
    writeVersionStats(stats[n], rep.Stats[n]);
  writeCrashes(out, rep.Crashes);
  writeLimits(out, rep.Limits);
  if (rep.Relays)
    writeRelays(out, *rep.Relays);
  kj::VectorOutputStream raw;
  capnp::writePackedMessage(raw, msg);
  const auto bytes = raw.getArray();
  return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

std::optional<GossipReport> decodeReport(std::span<const char> raw) {
  if (raw.size() > MaxReportBytes)
    return std::nullopt;
  std::optional<GossipReport> out;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(raw.data()), raw.size()));
    capnp::PackedMessageReader msg(in);
    const auto rep = msg.getRoot<wire::FrontReport>();
    GossipReport report;
    report.Node = rep.getNode();
    report.Incarnation = rep.getLife();
    report.Heartbeat = rep.getBeat();
    report.IsFull = !rep.getChangesOnly();
    report.OperatorRows = {rep.getMarkEra(), rep.getMark()};
    report.BackendsEra = rep.getDigestEra();
    report.BackendsDigest = rep.getDigest();
    report.OperatorRowAgeMs = rep.getMarkAgeMs();
    report.BackendsDigestAgeMs = rep.getDigestAgeMs();
    report.BackendsReadableMs = rep.getReadableMs();
    report.LinkMbps = rep.getLinkMbps();
    report.QuerySentAt = rep.getAsk();
    report.EchoedQuerySentAt = rep.getEcho();
    report.EchoedIncarnation = rep.getEchoLife();
    if (rep.getKind() > static_cast<std::uint8_t>(ReportKind::Summary))
      return;
    report.Kind = static_cast<ReportKind>(rep.getKind());
    report.GroupSize = rep.getGroupSize();
    if (!readSummary(rep, report))
      return;
    for (const auto l : rep.getLoads())
      report.Loads.push_back({EndpointId{l.getBackend()}, l.getRunning(),
                              l.getPendingTokens(), l.getEventMicros(),
                              readReported(l)});
    for (const auto q : rep.getQueues())
      report.Queues.push_back({PoolId{q.getPool()}, q.getWaiting()});
    for (const auto s : rep.getSpent())
      report.SpendTotals.push_back(
          {WorkspaceId{s.getWorkspace()}, s.getTotal()});
    for (const auto e : rep.getEvidence())
      report.Stats.push_back(readVersionStats(e));
    report.Crashes = readCrashes(rep);
    report.Limits = readLimits(rep);
    if (rep.getRelaysKnown())
      report.Relays = readRelays(rep);
    out = std::move(report);
  });
  if (exception != nullptr)
    return std::nullopt;
  return out;
}

} // namespace zinniagauge
