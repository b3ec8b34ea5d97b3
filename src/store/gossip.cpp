#include "zinniagauge/store/gossip.h"

#include "zinniagauge/decide/random.h"
#include "zinniagauge/net/socket_address.h"
#include "zinniagauge/store/controllers.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace zinniagauge {

namespace {

/// How often a front reports all that it knows, to make up for lost reports.
constexpr Duration FullReportPeriod = std::chrono::milliseconds(250);

/// How long after a report the next change may be told, for each peer: what a
/// front spends on it grows with the number of peers and stays under a
/// hundredth of a core.
constexpr Duration MinReportIntervalPerPeer = std::chrono::milliseconds(2);

/// Peers up to which a whole report goes to all of them at that period.
constexpr std::size_t PeersAtBasePeriod = 8;

/// How long a silent peer is taken to live and its loads count, and for how
/// many of its whole reports at least: one or two may be lost.
constexpr Duration MinPeerTimeout = std::chrono::milliseconds(1500);
constexpr int MaxMissedReports = 3;

/// How often a front that doesn't read the table service asks one that does.
constexpr Duration QueryPeriod = std::chrono::milliseconds(600);

/// Fronts of which one more reads for the others.
constexpr std::size_t FrontsPerReader = 16;

/// How far apart the whole reports of a front with \p peers others are.
Duration fullReportPeriod(std::size_t peers) {
  const std::size_t stretch =
      (peers + PeersAtBasePeriod - 1) / PeersAtBasePeriod;
  return FullReportPeriod * static_cast<int>(std::max<std::size_t>(1, stretch));
}

/// How long a silent one of \p peers others counts.
Duration peerTimeout(std::size_t peers) {
  return std::max(MinPeerTimeout, fullReportPeriod(peers) * MaxMissedReports);
}

std::size_t peerCount(const Gossip &go) {
  return go.Owner->Peers.PeerDemands.Peers.size();
}

std::uint32_t ageMs(std::int64_t provenboot) {
  const Duration age = bootNow() - fromNanos(provenboot);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1;
  constexpr std::int64_t Most = 3'600'000;
  return static_cast<std::uint32_t>(std::min(ms, Most));
}

/// What this front knows of the table service.
void fillFreshness(GossipReport &rep, const FrontBoard &board) {
  rep.OperatorRowVersion = board.OperatorRowVersion;
  rep.BackendsDigest = board.BackendsDigest;
  rep.OperatorRowAgeMs = ageMs(board.PlanConfirmedAt);
  rep.BackendsDigestAgeMs = ageMs(board.BackendsConfirmedAt);
}

GossipReport makeOwnReport(Gossip &go) {
  const FrontBoard &board = go.Owner->Board;
  GossipReport rep;
  rep.Node = nameHash(go.Owner->Settings.Node);
  rep.Incarnation = go.Incarnation;
  rep.Heartbeat = ++go.Heartbeat;
  rep.Loads = board.OwnLoads.copy().List;
  rep.SpendTotals = board.OwnSpend.copy().List;
  rep.Stats = board.OwnStats.copy().Rows;
  fillFreshness(rep, board);
  return rep;
}

/// Puts what was heard on the board.
void publish(Gossip &go) {
  Controllers &ct = *go.Owner;
  const Time now = ct.Lp.Now;
  ct.Board.PeerLoads.publish(
      sumPeerLoads(go.PeerReports, now, peerTimeout(peerCount(go))));
  ct.Board.PeerSpend.publish(sumPeerSpend(go.PeerReports));
  Time heard = now;
  for (const auto &[name, entry] : ct.Peers.PeerDemands.Peers) {
    if (name == ct.Settings.Node)
      continue;
    const auto it = go.PeerReports.Peers.find(nameHash(name));
    const bool alive =
        it != go.PeerReports.Peers.end() &&
        it->second.LastReport.Incarnation == entry.Published.Incarnation;
    heard = std::min(heard, alive ? it->second.LastReportAt : Time());
  }
  // Without a reading of who lives, nobody can be said to have been heard.
  ct.Board.OldestPeerReportAt =
      ct.Peers.PeerDemands.Peers.empty() ? 0 : toNanos(heard);
}

void sendRaw(const Gossip &go, std::string_view raw, PeerAddress to) {
  const sockaddr_in sa = socketAddress(to);
  // A datagram that can't leave is like one that was lost: the next report
  // holds all that this one held, and a question is asked again.
  ::sendto(go.Socket.Fd, raw.data(), raw.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&sa), sizeof sa);
}

/// Sends \p rep to all peers and gives how many those are.
std::size_t sendReport(Gossip &go, const GossipReport &rep) {
  Controllers &ct = *go.Owner;
  const std::string raw = encodeReport(rep);
  std::size_t count = 0;
  for (const auto &[name, entry] : ct.Peers.PeerDemands.Peers) {
    if (name == ct.Settings.Node || entry.Published.Address == PeerAddress{})
      continue;
    ++count;
    sendRaw(go, raw, entry.Published.Address);
  }
  go.LastSentAt = ct.Lp.Now;
  return count;
}

/// A report without loads, for one peer.
GossipReport makeShortReport(Gossip &go) {
  GossipReport rep;
  rep.Node = nameHash(go.Owner->Settings.Node);
  rep.Incarnation = go.Incarnation;
  rep.Heartbeat = ++go.Heartbeat;
  rep.IsFull = false;
  fillFreshness(rep, go.Owner->Board);
  return rep;
}

/// Finds out who reads, and asks one of them if this front doesn't. On a timer
/// of its own: the pace of whole reports falls with the number of fronts.
void onQueryTimer(void *ctx, Time now) {
  Gossip &go = *static_cast<Gossip *>(ctx);
  arm(go.Owner->Lp, go.QueryTimer, now + QueryPeriod);
  const std::uint64_t self = nameHash(go.Owner->Settings.Node);
  const Duration memory = peerTimeout(peerCount(go));
  std::vector<std::uint64_t> living = {self};
  for (const auto &[node, peer] : go.PeerReports.Peers)
    if (now - peer.LastReportAt < memory)
      living.push_back(node);
  const std::vector<std::uint64_t> readers = selectStoreReaders(living);
  const bool reads =
      std::find(readers.begin(), readers.end(), self) != readers.end();
  FrontBoard &board = go.Owner->Board;
  if (board.IsStoreReader.exchange(reads) != reads) {
    EventLine line = eventLine("reads_for_others");
    add(line, "reads", std::int64_t{reads ? 1 : 0});
    add(line, "living", static_cast<std::int64_t>(living.size()));
    go.Owner->Log.write(line);
  }
  if (reads)
    return;
  const auto to = go.AddressByNode.find(readers[go.Heartbeat % readers.size()]);
  if (to == go.AddressByNode.end())
    return;
  GossipReport rep = makeShortReport(go);
  rep.QuerySentAt = toNanos(bootNow());
  sendRaw(go, encodeReport(rep), to->second);
}

/// Takes what an answer proves, and answers a question.
void applyFreshness(Gossip &go, const GossipReport &rep, PeerAddress from) {
  FrontBoard &board = go.Owner->Board;
  if (rep.QuerySentAt != 0) {
    GossipReport answer = makeShortReport(go);
    answer.EchoedQuerySentAt = rep.QuerySentAt;
    sendRaw(go, encodeReport(answer), from);
  }
  // A higher mark is worth a look even if it proves nothing.
  if (rep.OperatorRowVersion > board.ReportedRowVersion) {
    board.ReportedRowVersion = rep.OperatorRowVersion;
    board.ReportedRowVersionAt = 0;
  }
  if (rep.EchoedQuerySentAt == 0)
    return;
  // The answer was made after the question, so it held then at the latest.
  const Time asked = fromNanos(rep.EchoedQuerySentAt);
  const Time mark = asked - std::chrono::milliseconds(rep.OperatorRowAgeMs);
  const Time list = asked - std::chrono::milliseconds(rep.BackendsDigestAgeMs);
  if (rep.OperatorRowVersion == board.ReportedRowVersion &&
      toNanos(mark) > board.ReportedRowVersionAt)
    board.ReportedRowVersionAt = toNanos(mark);
  if (toNanos(list) > board.ReportedBackendsDigestAt) {
    board.ReportedBackendsDigest = rep.BackendsDigest;
    board.ReportedBackendsDigestAt = toNanos(list);
  }
}

void onTimer(void *ctx, Time now) {
  Gossip &go = *static_cast<Gossip *>(ctx);
  Controllers &ct = *go.Owner;
  GossipReport rep = makeOwnReport(go);
  const std::size_t count = sendReport(go, rep);
  go.LastSentReport = std::move(rep);
  publish(go);
  arm(ct.Lp, go.Timer, now + fullReportPeriod(count));
}

void onDatagram(void *ctx, std::uint32_t /*events*/) {
  Gossip &go = *static_cast<Gossip *>(ctx);
  Loop &lp = go.Owner->Lp;
  for (;;) {
    sockaddr_in sa{};
    socklen_t len = sizeof sa;
    const ssize_t n =
        ::recvfrom(go.Socket.Fd, lp.ReadBuffer.data(), lp.ReadBuffer.size(), 0,
                   reinterpret_cast<sockaddr *>(&sa), &len);
    if (n < 0)
      break;
    auto rep = decodeReport(
        std::span(lp.ReadBuffer.data(), static_cast<std::size_t>(n)));
    if (!rep)
      countTableCall(go.Owner->Metrics, "gossip", "unreadable");
    else if (rep->Node != nameHash(go.Owner->Settings.Node)) {
      const PeerAddress from{ntohl(sa.sin_addr.s_addr), ntohs(sa.sin_port)};
      go.AddressByNode[rep->Node] = from;
      applyFreshness(go, *rep, from);
      applyReport(go.PeerReports, std::move(*rep), lp.Now);
    }
  }
  publish(go);
}

bool byId(const BackendLoad &a, const BackendLoad &b) { return a.Id < b.Id; }

bool byWorkspace(const WorkspaceSpend &a, const WorkspaceSpend &b) {
  return a.Workspace < b.Workspace;
}

bool byKey(const VersionStats &a, const VersionStats &b) {
  return a.Key < b.Key;
}

/// Puts \p changes in place of their namesakes in \p all, which is sorted.
template <typename T>
void mergeInto(std::vector<T> &all, std::span<const T> changes,
               bool (*less)(const T &, const T &)) {
  for (const T &c : changes) {
    const auto it = std::lower_bound(all.begin(), all.end(), c, less);
    if (it != all.end() && !less(c, *it))
      *it = c;
    else
      all.insert(it, c);
  }
}

/// What of \p now, sorted, isn't in \p before or differs there in \p total,
/// which only rises.
template <typename T, typename Total>
std::vector<T> changedTotals(std::span<const T> before, std::span<const T> now,
                             bool (*less)(const T &, const T &), Total total) {
  std::vector<T> out;
  for (const T &n : now) {
    const auto it = std::lower_bound(before.begin(), before.end(), n, less);
    if (it == before.end() || less(n, *it) || total(*it) != total(n))
      out.push_back(n);
  }
  return out;
}

void addLoad(std::map<EndpointId, BackendLoad> &sum, const BackendLoad &l) {
  BackendLoad &to = sum[l.Id];
  // The slowest of those who measured it is believed: it may have slowed down.
  to = {l.Id, to.Running + l.Running, to.PendingTokens + l.PendingTokens,
        std::max(to.MicrosPerEvent, l.MicrosPerEvent)};
}

} // namespace

void applyReport(GossipState &book, GossipReport rep, Time now) {
  auto [it, fresh] = book.Peers.try_emplace(rep.Node);
  GossipState::Peer &peer = it->second;
  if (!fresh && peer.LastReport.Incarnation == rep.Incarnation &&
      peer.LastReport.Heartbeat >= rep.Heartbeat)
    return;
  if (!fresh && peer.LastReport.Incarnation != rep.Incarnation)
    for (const WorkspaceSpend &s : peer.LastReport.SpendTotals)
      book.EarlierIncarnationSpend[s.Workspace] += s.Total;
  const bool known = !fresh && peer.LastReport.Incarnation == rep.Incarnation;
  if (!peer.FullReportReceived)
    for (const WorkspaceSpend &s : changedTotals<WorkspaceSpend>(
             peer.LastReport.SpendTotals, rep.SpendTotals, byWorkspace,
             [](const WorkspaceSpend & /*any*/) { return 0; }))
      book.SpendBeforeFirstReport[s.Workspace] += s.Total;
  peer.FullReportReceived = peer.FullReportReceived || rep.IsFull;
  if (!rep.IsFull && known) {
    mergeInto<BackendLoad>(peer.LastReport.Loads, rep.Loads, byId);
    mergeInto<WorkspaceSpend>(peer.LastReport.SpendTotals, rep.SpendTotals,
                              byWorkspace);
    mergeInto<VersionStats>(peer.LastReport.Stats, rep.Stats, byKey);
    rep.Loads = std::move(peer.LastReport.Loads);
    rep.SpendTotals = std::move(peer.LastReport.SpendTotals);
    rep.Stats = std::move(peer.LastReport.Stats);
  }
  peer.LastReport = std::move(rep);
  peer.LastReportAt = now;
}

std::vector<BackendLoad> changedLoads(std::span<const BackendLoad> before,
                                      std::span<const BackendLoad> now) {
  std::vector<BackendLoad> out;
  for (const BackendLoad &l : now) {
    const auto it = std::lower_bound(before.begin(), before.end(), l, byId);
    if (it == before.end() || it->Id != l.Id || it->Running != l.Running ||
        it->PendingTokens != l.PendingTokens)
      out.push_back(l);
  }
  for (const BackendLoad &l : before)
    if (!std::binary_search(now.begin(), now.end(), l, byId))
      out.push_back({l.Id, 0, 0, 0});
  return out;
}

GossipReport changesSince(const GossipReport &said, const GossipReport &now) {
  GossipReport out = now;
  out.IsFull = false;
  out.Loads = changedLoads(said.Loads, now.Loads);
  out.SpendTotals = changedTotals<WorkspaceSpend>(
      said.SpendTotals, now.SpendTotals, byWorkspace,
      [](const WorkspaceSpend &s) { return s.Total; });
  out.Stats = changedTotals<VersionStats>(
      said.Stats, now.Stats, byKey,
      [](const VersionStats &e) { return e.Counts.Requests; });
  return out;
}

void sendChanges(Gossip &go) {
  Controllers &ct = *go.Owner;
  const auto peers = static_cast<int>(peerCount(go));
  if (ct.Lp.Now - go.LastSentAt < MinReportIntervalPerPeer * peers)
    return; // The next change or whole report tells it.
  GossipReport all = makeOwnReport(go);
  const GossipReport rep = changesSince(go.LastSentReport, all);
  if (rep.Loads.empty())
    return;
  sendReport(go, rep);
  go.LastSentReport = std::move(all);
}

std::vector<std::uint64_t>
selectStoreReaders(std::span<const std::uint64_t> living) {
  std::vector<std::uint64_t> order(living.begin(), living.end());
  std::sort(order.begin(), order.end(), [](std::uint64_t a, std::uint64_t b) {
    return mix64(a) < mix64(b);
  });
  order.resize(std::min(order.size(), 1 + order.size() / FrontsPerReader));
  return order;
}

LoadList sumPeerLoads(const GossipState &book, Time now, Duration memory) {
  std::map<EndpointId, BackendLoad> sum;
  for (const auto &[node, peer] : book.Peers)
    if (now - peer.LastReportAt <= memory)
      for (const BackendLoad &l : peer.LastReport.Loads)
        addLoad(sum, l);
  LoadList out;
  for (const auto &[id, l] : sum)
    out.List.push_back(l);
  return out;
}

SpendList sumPeerSpend(const GossipState &book) {
  std::map<WorkspaceId, std::uint64_t> sum = book.EarlierIncarnationSpend;
  for (const auto &[node, peer] : book.Peers)
    for (const WorkspaceSpend &s : peer.LastReport.SpendTotals)
      sum[s.Workspace] += s.Total;
  SpendList out;
  for (const auto &[id, total] : sum) {
    const auto it = book.SpendBeforeFirstReport.find(id);
    const std::uint64_t past =
        it == book.SpendBeforeFirstReport.end() ? 0 : it->second;
    out.List.push_back({id, total - past, past});
  }
  return out;
}

Gossip::~Gossip() {
  if (Socket.Fd >= 0)
    ::close(Socket.Fd);
}

Result<void> startGossip(Gossip &go) {
  Controllers &ct = *go.Owner;
  go.Incarnation = ct.Peers.Incarnation;
  go.Socket.Fd =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in sa = socketAddress(ct.Settings.Peers);
  if (go.Socket.Fd < 0 ||
      ::bind(go.Socket.Fd, reinterpret_cast<const sockaddr *>(&sa),
             sizeof sa) != 0)
    return fail({ErrorCode::Unavailable, Step::Exchange,
                 toString(ct.Settings.Peers), std::strerror(errno)});
  go.Socket.Fn = onDatagram;
  go.Socket.Ctx = &go;
  watch(ct.Lp, go.Socket, EPOLLIN);
  go.Timer.Fn = onTimer;
  go.Timer.Ctx = &go;
  arm(ct.Lp, go.Timer, ct.Lp.Now + FullReportPeriod);
  go.QueryTimer.Fn = onQueryTimer;
  go.QueryTimer.Ctx = &go;
  arm(ct.Lp, go.QueryTimer, ct.Lp.Now + FullReportPeriod);
  return {};
}

} // namespace zinniagauge
