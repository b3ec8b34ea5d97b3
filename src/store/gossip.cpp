// Sends, receives and applies gossip reports.
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

/// How often a front sends a full report, which makes up for lost datagrams.
constexpr Duration FullReportPeriod = std::chrono::milliseconds(250);

/// Minimum interval between a report and the next report of changes, multiplied
/// by the number of peers. The cost of a report grows with that number; this
/// keeps the cost of sending changes under 1% of a core.
constexpr Duration MinReportIntervalPerPeer = std::chrono::milliseconds(2);

/// Up to this many peers, full reports are sent every FullReportPeriod. For
/// more peers the period is multiplied by their number divided by this, rounded
/// up.
constexpr std::size_t PeersAtBasePeriod = 8;

/// A peer counts as live, and its loads are included, for at least
/// MinPeerTimeout and at least MaxMissedReports full-report periods after its
/// last report: one or two datagrams may be lost.
constexpr Duration MinPeerTimeout = std::chrono::milliseconds(1500);
constexpr int MaxMissedReports = 3;

/// How often a front that doesn't read the table service for others queries one
/// that does.
constexpr Duration QueryPeriod = std::chrono::milliseconds(600);

/// One front reads for the others, plus one for each this many live fronts.
constexpr std::size_t FrontsPerReader = 16;

/// The period of full reports of a front with \p peers peers.
Duration fullReportPeriod(std::size_t peers) {
  const std::size_t factor =
      (peers + PeersAtBasePeriod - 1) / PeersAtBasePeriod;
  return FullReportPeriod * static_cast<int>(std::max<std::size_t>(1, factor));
}

/// How long after its last report a peer counts as live, with \p peers peers.
Duration peerTimeout(std::size_t peers) {
  return std::max(MinPeerTimeout, fullReportPeriod(peers) * MaxMissedReports);
}

std::size_t peerCount(const Gossip &gossip) {
  return gossip.Owner->Peers.PeerDemands.Peers.size();
}

/// Milliseconds since \p confirmedat (by bootNow), rounded up and at most an
/// hour.
std::uint32_t ageMs(std::int64_t confirmedat) {
  const Duration age = bootNow() - fromNanos(confirmedat);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1;
  constexpr std::int64_t MaxAgeMs = 3'600'000;
  return static_cast<std::uint32_t>(std::min(ms, MaxAgeMs));
}

/// Sets the fields on how recently this front confirmed the table service's
/// data.
void fillFreshness(GossipReport &rep, const FrontBoard &board) {
  rep.OperatorRowVersion = board.OperatorRowVersion;
  rep.BackendsDigest = board.BackendsDigest;
  rep.OperatorRowAgeMs = ageMs(board.PlanConfirmedAt);
  rep.BackendsDigestAgeMs = ageMs(board.BackendsConfirmedAt);
}

GossipReport makeOwnReport(Gossip &gossip) {
  const FrontBoard &board = gossip.Owner->Board;
  GossipReport rep;
  rep.Node = nameHash(gossip.Owner->Settings.Node);
  rep.Incarnation = gossip.Incarnation;
  rep.Heartbeat = ++gossip.Heartbeat;
  rep.Loads = board.OwnLoads.copy().List;
  rep.SpendTotals = board.OwnSpend.copy().List;
  rep.Stats = board.OwnStats.copy().Rows;
  fillFreshness(rep, board);
  return rep;
}

/// Publishes the totals of all peers' reports on the board.
void publish(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  const Time now = ct.EventLoop.Now;
  ct.Board.PeerLoads.publish(
      sumPeerLoads(gossip.PeerReports, now, peerTimeout(peerCount(gossip))));
  ct.Board.PeerSpend.publish(sumPeerSpend(gossip.PeerReports));
  Time oldest = now;
  for (const auto &[name, entry] : ct.Peers.PeerDemands.Peers) {
    if (name == ct.Settings.Node)
      continue;
    const auto it = gossip.PeerReports.Peers.find(nameHash(name));
    const bool alive =
        it != gossip.PeerReports.Peers.end() &&
        it->second.LastReport.Incarnation == entry.Published.Incarnation;
    oldest = std::min(oldest, alive ? it->second.LastReportAt : Time());
  }
  // Until the table of fronts has been read, the set of peers is unknown, so
  // there is no time since which all of them have reported.
  ct.Board.OldestPeerReportAt =
      ct.Peers.PeerDemands.Peers.empty() ? 0 : toNanos(oldest);
}

void sendRaw(const Gossip &gossip, std::string_view raw, PeerAddress to) {
  const sockaddr_in sa = socketAddress(to);
  // Errors are ignored: a datagram that can't be sent is handled like a lost
  // one. The next full report contains everything, and queries are retried.
  ::sendto(gossip.Socket.Fd, raw.data(), raw.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&sa), sizeof sa);
}

/// Sends \p rep to all peers with a known address. Returns their number.
std::size_t sendReport(Gossip &gossip, const GossipReport &rep) {
  Controllers &ct = *gossip.Owner;
  const std::string raw = encodeReport(rep);
  std::size_t recipients = 0;
  for (const auto &[name, entry] : ct.Peers.PeerDemands.Peers) {
    if (name == ct.Settings.Node || entry.Published.Address == PeerAddress{})
      continue;
    ++recipients;
    sendRaw(gossip, raw, entry.Published.Address);
  }
  gossip.LastSentAt = ct.EventLoop.Now;
  return recipients;
}

/// A partial report with freshness fields only, used for queries and responses.
GossipReport makeShortReport(Gossip &gossip) {
  GossipReport rep;
  rep.Node = nameHash(gossip.Owner->Settings.Node);
  rep.Incarnation = gossip.Incarnation;
  rep.Heartbeat = ++gossip.Heartbeat;
  rep.IsFull = false;
  fillFreshness(rep, gossip.Owner->Board);
  return rep;
}

/// Determines which fronts read the table service, and queries one of them if
/// this front doesn't. It has a timer of its own because full reports become
/// less frequent as the number of fronts grows.
void onQueryTimer(void *ctx, Time now) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  arm(gossip.Owner->EventLoop, gossip.QueryTimer, now + QueryPeriod);
  const std::uint64_t self = nameHash(gossip.Owner->Settings.Node);
  const Duration timeout = peerTimeout(peerCount(gossip));
  std::vector<std::uint64_t> livenodes = {self};
  for (const auto &[node, peer] : gossip.PeerReports.Peers)
    if (now - peer.LastReportAt < timeout)
      livenodes.push_back(node);
  const std::vector<std::uint64_t> readers = selectStoreReaders(livenodes);
  const bool isreader =
      std::find(readers.begin(), readers.end(), self) != readers.end();
  FrontBoard &board = gossip.Owner->Board;
  if (board.IsStoreReader.exchange(isreader) != isreader) {
    EventLine line = eventLine("reads_for_others");
    add(line, "reads", std::int64_t{isreader ? 1 : 0});
    add(line, "living", static_cast<std::int64_t>(livenodes.size()));
    gossip.Owner->Log.write(line);
  }
  if (isreader)
    return;
  const auto to =
      gossip.AddressByNode.find(readers[gossip.Heartbeat % readers.size()]);
  if (to == gossip.AddressByNode.end())
    return;
  GossipReport rep = makeShortReport(gossip);
  rep.QuerySentAt = toNanos(bootNow());
  sendRaw(gossip, encodeReport(rep), to->second);
}

/// Responds to a query, and applies the freshness that a response proves.
void applyFreshness(Gossip &gossip, const GossipReport &rep, PeerAddress from) {
  FrontBoard &board = gossip.Owner->Board;
  if (rep.QuerySentAt != 0) {
    GossipReport response = makeShortReport(gossip);
    response.EchoedQuerySentAt = rep.QuerySentAt;
    sendRaw(gossip, encodeReport(response), from);
  }
  // A higher row version means that there is something to read, even if the
  // report doesn't prove that it is the newest.
  if (rep.OperatorRowVersion > board.ReportedRowVersion) {
    board.ReportedRowVersion = rep.OperatorRowVersion;
    board.ReportedRowVersionAt = 0;
  }
  if (rep.EchoedQuerySentAt == 0)
    return;
  // The response was made after the query was sent, so subtracting its ages
  // from the query's time gives a time at which the data was surely current.
  const Time queriedat = fromNanos(rep.EchoedQuerySentAt);
  const Time rowconfirmedat =
      queriedat - std::chrono::milliseconds(rep.OperatorRowAgeMs);
  const Time backendsconfirmedat =
      queriedat - std::chrono::milliseconds(rep.BackendsDigestAgeMs);
  if (rep.OperatorRowVersion == board.ReportedRowVersion &&
      toNanos(rowconfirmedat) > board.ReportedRowVersionAt)
    board.ReportedRowVersionAt = toNanos(rowconfirmedat);
  if (toNanos(backendsconfirmedat) > board.ReportedBackendsDigestAt) {
    board.ReportedBackendsDigest = rep.BackendsDigest;
    board.ReportedBackendsDigestAt = toNanos(backendsconfirmedat);
  }
}

void onTimer(void *ctx, Time now) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  Controllers &ct = *gossip.Owner;
  GossipReport rep = makeOwnReport(gossip);
  const std::size_t recipients = sendReport(gossip, rep);
  gossip.LastSentReport = std::move(rep);
  publish(gossip);
  arm(ct.EventLoop, gossip.Timer, now + fullReportPeriod(recipients));
}

void onDatagram(void *ctx, std::uint32_t /*events*/) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  Loop &lp = gossip.Owner->EventLoop;
  for (;;) {
    sockaddr_in sa{};
    socklen_t len = sizeof sa;
    const ssize_t n =
        ::recvfrom(gossip.Socket.Fd, lp.ReadBuffer.data(), lp.ReadBuffer.size(),
                   0, reinterpret_cast<sockaddr *>(&sa), &len);
    if (n < 0)
      break;
    auto rep = decodeReport(
        std::span(lp.ReadBuffer.data(), static_cast<std::size_t>(n)));
    if (!rep)
      countTableCall(gossip.Owner->Metrics, "gossip", "unreadable");
    else if (rep->Node != nameHash(gossip.Owner->Settings.Node)) {
      const PeerAddress from{ntohl(sa.sin_addr.s_addr), ntohs(sa.sin_port)};
      gossip.AddressByNode[rep->Node] = from;
      applyFreshness(gossip, *rep, from);
      applyReport(gossip.PeerReports, std::move(*rep), lp.Now);
    }
  }
  publish(gossip);
}

bool byId(const BackendLoad &a, const BackendLoad &b) { return a.Id < b.Id; }

bool byWorkspace(const WorkspaceSpend &a, const WorkspaceSpend &b) {
  return a.Workspace < b.Workspace;
}

bool byKey(const VersionStats &a, const VersionStats &b) {
  return a.Key < b.Key;
}

/// Inserts \p changes into \p all, which is sorted, replacing entries of equal
/// key.
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

/// The entries of \p now that aren't in \p before or have another \p total
/// there. Both are sorted. Comparing totals suffices because they never
/// decrease.
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

void addToSum(std::map<EndpointId, BackendLoad> &sum, const BackendLoad &l) {
  BackendLoad &to = sum[l.Id];
  // Uses the slowest measurement of all fronts: the back end may have slowed
  // down since the faster ones were made.
  to = {l.Id, to.Running + l.Running, to.PendingTokens + l.PendingTokens,
        std::max(to.MicrosPerEvent, l.MicrosPerEvent)};
}

} // namespace

void applyReport(GossipState &state, GossipReport rep, Time now) {
  auto [it, inserted] = state.Peers.try_emplace(rep.Node);
  GossipState::Peer &peer = it->second;
  if (!inserted && peer.LastReport.Incarnation == rep.Incarnation &&
      peer.LastReport.Heartbeat >= rep.Heartbeat)
    return;
  if (!inserted && peer.LastReport.Incarnation != rep.Incarnation)
    for (const WorkspaceSpend &s : peer.LastReport.SpendTotals)
      state.EarlierIncarnationSpend[s.Workspace] += s.Total;
  const bool sameincarnation =
      !inserted && peer.LastReport.Incarnation == rep.Incarnation;
  if (!peer.FullReportReceived)
    for (const WorkspaceSpend &s : changedTotals<WorkspaceSpend>(
             peer.LastReport.SpendTotals, rep.SpendTotals, byWorkspace,
             [](const WorkspaceSpend & /*any*/) { return 0; }))
      state.SpendBeforeFirstReport[s.Workspace] += s.Total;
  peer.FullReportReceived = peer.FullReportReceived || rep.IsFull;
  if (!rep.IsFull && sameincarnation) {
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

GossipReport changesSince(const GossipReport &lastsent,
                          const GossipReport &now) {
  GossipReport out = now;
  out.IsFull = false;
  out.Loads = changedLoads(lastsent.Loads, now.Loads);
  out.SpendTotals = changedTotals<WorkspaceSpend>(
      lastsent.SpendTotals, now.SpendTotals, byWorkspace,
      [](const WorkspaceSpend &s) { return s.Total; });
  out.Stats = changedTotals<VersionStats>(
      lastsent.Stats, now.Stats, byKey,
      [](const VersionStats &e) { return e.Counts.Requests; });
  return out;
}

void sendChanges(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  const auto peers = static_cast<int>(peerCount(gossip));
  if (ct.EventLoop.Now - gossip.LastSentAt < MinReportIntervalPerPeer * peers)
    return; // The next change or full report includes it.
  GossipReport all = makeOwnReport(gossip);
  const GossipReport rep = changesSince(gossip.LastSentReport, all);
  if (rep.Loads.empty())
    return;
  sendReport(gossip, rep);
  gossip.LastSentReport = std::move(all);
}

std::vector<std::uint64_t>
selectStoreReaders(std::span<const std::uint64_t> livenodes) {
  std::vector<std::uint64_t> order(livenodes.begin(), livenodes.end());
  std::sort(order.begin(), order.end(), [](std::uint64_t a, std::uint64_t b) {
    return mix64(a) < mix64(b);
  });
  order.resize(std::min(order.size(), 1 + order.size() / FrontsPerReader));
  return order;
}

LoadList sumPeerLoads(const GossipState &state, Time now, Duration timeout) {
  std::map<EndpointId, BackendLoad> sum;
  for (const auto &[node, peer] : state.Peers)
    if (now - peer.LastReportAt <= timeout)
      for (const BackendLoad &l : peer.LastReport.Loads)
        addToSum(sum, l);
  LoadList out;
  for (const auto &[id, l] : sum)
    out.List.push_back(l);
  return out;
}

SpendList sumPeerSpend(const GossipState &state) {
  std::map<WorkspaceId, std::uint64_t> sum = state.EarlierIncarnationSpend;
  for (const auto &[node, peer] : state.Peers)
    for (const WorkspaceSpend &s : peer.LastReport.SpendTotals)
      sum[s.Workspace] += s.Total;
  SpendList out;
  for (const auto &[id, total] : sum) {
    const auto it = state.SpendBeforeFirstReport.find(id);
    const std::uint64_t beforefirst =
        it == state.SpendBeforeFirstReport.end() ? 0 : it->second;
    out.List.push_back({id, total - beforefirst, beforefirst});
  }
  return out;
}

Gossip::~Gossip() {
  if (Socket.Fd >= 0)
    ::close(Socket.Fd);
}

Result<void> startGossip(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  gossip.Incarnation = ct.Peers.Incarnation;
  gossip.Socket.Fd =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in sa = socketAddress(ct.Settings.GossipAddress);
  if (gossip.Socket.Fd < 0 ||
      ::bind(gossip.Socket.Fd, reinterpret_cast<const sockaddr *>(&sa),
             sizeof sa) != 0)
    return fail({ErrorCode::Unavailable, Step::Exchange,
                 toString(ct.Settings.GossipAddress), std::strerror(errno)});
  gossip.Socket.Fn = onDatagram;
  gossip.Socket.Ctx = &gossip;
  watch(ct.EventLoop, gossip.Socket, EPOLLIN);
  gossip.Timer.Fn = onTimer;
  gossip.Timer.Ctx = &gossip;
  arm(ct.EventLoop, gossip.Timer, ct.EventLoop.Now + FullReportPeriod);
  gossip.QueryTimer.Fn = onQueryTimer;
  gossip.QueryTimer.Ctx = &gossip;
  arm(ct.EventLoop, gossip.QueryTimer, ct.EventLoop.Now + FullReportPeriod);
  return {};
}

} // namespace zinniagauge
