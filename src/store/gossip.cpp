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
constexpr Duration WholePeriod = std::chrono::milliseconds(250);

/// How long after a report the next change may be told, for each peer: what a
/// front spends on it grows with the number of peers and stays under a
/// hundredth of a core.
constexpr Duration PausePerPeer = std::chrono::milliseconds(2);

/// Peers up to which a whole report goes to all of them at that period.
constexpr std::size_t FewPeers = 8;

/// How long a silent peer is taken to live and its loads count, and for how
/// many of its whole reports at least: one or two may be lost.
constexpr Duration PeerMemoryLeast = std::chrono::milliseconds(1500);
constexpr int ReportsMissed = 3;

/// How often a front that doesn't read the table service asks one that does.
constexpr Duration AskPeriod = std::chrono::milliseconds(600);

/// Fronts of which one more reads for the others.
constexpr std::size_t FrontsPerReader = 16;

/// How far apart the whole reports of a front with \p peers others are.
Duration wholePeriod(std::size_t peers) {
  const std::size_t stretch = (peers + FewPeers - 1) / FewPeers;
  return WholePeriod * static_cast<int>(std::max<std::size_t>(1, stretch));
}

/// How long a silent one of \p peers others counts.
Duration silentFor(std::size_t peers) {
  return std::max(PeerMemoryLeast, wholePeriod(peers) * ReportsMissed);
}

std::size_t peerCount(const Gossip &go) {
  return go.Owner->Peers.Book.Peers.size();
}

std::uint32_t ageMs(std::int64_t provenboot) {
  const Duration age = bootNow() - fromNanos(provenboot);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1;
  constexpr std::int64_t Most = 3'600'000;
  return static_cast<std::uint32_t>(std::min(ms, Most));
}

/// What this front knows of the table service.
void fillKnown(GossipReport &rep, const FrontBoard &board) {
  rep.Mark = board.OperatorsMark;
  rep.Digest = board.BackendsDigest;
  rep.MarkAgeMs = ageMs(board.PlanProven);
  rep.DigestAgeMs = ageMs(board.BackendsProven);
}

GossipReport ownReport(Gossip &go) {
  const FrontBoard &board = go.Owner->Board;
  GossipReport rep;
  rep.Node = nameHash(go.Owner->Settings.Node);
  rep.Life = go.Life;
  rep.Beat = ++go.Beat;
  rep.Loads = board.OwnLoads.copy().List;
  rep.SpentTotals = board.OwnSpent.copy().List;
  rep.Seen = board.OwnEvidence.copy().Rows;
  fillKnown(rep, board);
  return rep;
}

/// Puts what was heard on the board.
void publish(Gossip &go) {
  Controllers &ct = *go.Owner;
  const Time now = ct.Lp.Now;
  ct.Board.PeerLoads.publish(peerLoads(go.Book, now, silentFor(peerCount(go))));
  ct.Board.PeerSpent.publish(peerSpent(go.Book));
  Time heard = now;
  for (const auto &[name, entry] : ct.Peers.Book.Peers) {
    if (name == ct.Settings.Node)
      continue;
    const auto it = go.Book.Peers.find(nameHash(name));
    const bool alive =
        it != go.Book.Peers.end() && it->second.Last.Life == entry.Last.Life;
    heard = std::min(heard, alive ? it->second.Heard : Time());
  }
  // Without a reading of who lives, nobody can be said to have been heard.
  ct.Board.PeersHeard = ct.Peers.Book.Peers.empty() ? 0 : toNanos(heard);
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
  for (const auto &[name, entry] : ct.Peers.Book.Peers) {
    if (name == ct.Settings.Node || entry.Last.Address == PeerAddress{})
      continue;
    ++count;
    sendRaw(go, raw, entry.Last.Address);
  }
  go.LastSent = ct.Lp.Now;
  return count;
}

/// A report without loads, for one peer.
GossipReport shortReport(Gossip &go) {
  GossipReport rep;
  rep.Node = nameHash(go.Owner->Settings.Node);
  rep.Life = go.Life;
  rep.Beat = ++go.Beat;
  rep.Whole = false;
  fillKnown(rep, go.Owner->Board);
  return rep;
}

/// Finds out who reads, and asks one of them if this front doesn't. On a timer
/// of its own: the pace of whole reports falls with the number of fronts.
void onAskTime(void *ctx, Time now) {
  Gossip &go = *static_cast<Gossip *>(ctx);
  arm(go.Owner->Lp, go.AskTimer, now + AskPeriod);
  const std::uint64_t self = nameHash(go.Owner->Settings.Node);
  const Duration memory = silentFor(peerCount(go));
  std::vector<std::uint64_t> living = {self};
  for (const auto &[node, peer] : go.Book.Peers)
    if (now - peer.Heard < memory)
      living.push_back(node);
  const std::vector<std::uint64_t> readers = readersOf(living);
  const bool reads =
      std::find(readers.begin(), readers.end(), self) != readers.end();
  FrontBoard &board = go.Owner->Board;
  if (board.Reads.exchange(reads) != reads) {
    EventLine line = eventLine("reads_for_others");
    add(line, "reads", std::int64_t{reads ? 1 : 0});
    add(line, "living", static_cast<std::int64_t>(living.size()));
    go.Owner->Log.write(line);
  }
  if (reads)
    return;
  const auto to = go.Addresses.find(readers[go.Beat % readers.size()]);
  if (to == go.Addresses.end())
    return;
  GossipReport rep = shortReport(go);
  rep.Ask = toNanos(bootNow());
  sendRaw(go, encodeReport(rep), to->second);
}

/// Takes what an answer proves, and answers a question.
void takeWords(Gossip &go, const GossipReport &rep, PeerAddress from) {
  FrontBoard &board = go.Owner->Board;
  if (rep.Ask != 0) {
    GossipReport answer = shortReport(go);
    answer.Echo = rep.Ask;
    sendRaw(go, encodeReport(answer), from);
  }
  // A higher mark is worth a look even if it proves nothing.
  if (rep.Mark > board.ToldMark) {
    board.ToldMark = rep.Mark;
    board.ToldMarkAt = 0;
  }
  if (rep.Echo == 0)
    return;
  // The answer was made after the question, so it held then at the latest.
  const Time asked = fromNanos(rep.Echo);
  const Time mark = asked - std::chrono::milliseconds(rep.MarkAgeMs);
  const Time list = asked - std::chrono::milliseconds(rep.DigestAgeMs);
  if (rep.Mark == board.ToldMark && toNanos(mark) > board.ToldMarkAt)
    board.ToldMarkAt = toNanos(mark);
  if (toNanos(list) > board.ToldDigestAt) {
    board.ToldDigest = rep.Digest;
    board.ToldDigestAt = toNanos(list);
  }
}

void onTimer(void *ctx, Time now) {
  Gossip &go = *static_cast<Gossip *>(ctx);
  Controllers &ct = *go.Owner;
  GossipReport rep = ownReport(go);
  const std::size_t count = sendReport(go, rep);
  go.Said = std::move(rep);
  publish(go);
  arm(ct.Lp, go.Timer, now + wholePeriod(count));
}

void onDatagram(void *ctx, std::uint32_t /*events*/) {
  Gossip &go = *static_cast<Gossip *>(ctx);
  Loop &lp = go.Owner->Lp;
  for (;;) {
    sockaddr_in sa{};
    socklen_t len = sizeof sa;
    const ssize_t n =
        ::recvfrom(go.Socket.Fd, lp.Scratch.data(), lp.Scratch.size(), 0,
                   reinterpret_cast<sockaddr *>(&sa), &len);
    if (n < 0)
      break;
    auto rep =
        decodeReport(std::span(lp.Scratch.data(), static_cast<std::size_t>(n)));
    if (!rep)
      countTable(go.Owner->Metrics, "gossip", "unreadable");
    else if (rep->Node != nameHash(go.Owner->Settings.Node)) {
      const PeerAddress from{ntohl(sa.sin_addr.s_addr), ntohs(sa.sin_port)};
      go.Addresses[rep->Node] = from;
      takeWords(go, *rep, from);
      takeReport(go.Book, std::move(*rep), lp.Now);
    }
  }
  publish(go);
}

bool byId(const BackendLoad &a, const BackendLoad &b) { return a.Id < b.Id; }

bool bySpender(const Spent &a, const Spent &b) {
  return a.Workspace < b.Workspace;
}

bool byKey(const Evidence &a, const Evidence &b) { return a.Key < b.Key; }

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
std::vector<T> risenSince(std::span<const T> before, std::span<const T> now,
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
        std::max(to.EventMicros, l.EventMicros)};
}

} // namespace

void takeReport(GossipBook &book, GossipReport rep, Time now) {
  auto [it, fresh] = book.Peers.try_emplace(rep.Node);
  GossipBook::Peer &peer = it->second;
  if (!fresh && peer.Last.Life == rep.Life && peer.Last.Beat >= rep.Beat)
    return;
  if (!fresh && peer.Last.Life != rep.Life)
    for (const Spent &s : peer.Last.SpentTotals)
      book.Departed[s.Workspace] += s.Total;
  const bool known = !fresh && peer.Last.Life == rep.Life;
  if (!peer.WholeHeard)
    for (const Spent &s :
         risenSince<Spent>(peer.Last.SpentTotals, rep.SpentTotals, bySpender,
                           [](const Spent & /*any*/) { return 0; }))
      book.Past[s.Workspace] += s.Total;
  peer.WholeHeard = peer.WholeHeard || rep.Whole;
  if (!rep.Whole && known) {
    mergeInto<BackendLoad>(peer.Last.Loads, rep.Loads, byId);
    mergeInto<Spent>(peer.Last.SpentTotals, rep.SpentTotals, bySpender);
    mergeInto<Evidence>(peer.Last.Seen, rep.Seen, byKey);
    rep.Loads = std::move(peer.Last.Loads);
    rep.SpentTotals = std::move(peer.Last.SpentTotals);
    rep.Seen = std::move(peer.Last.Seen);
  }
  peer.Last = std::move(rep);
  peer.Heard = now;
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
  out.Whole = false;
  out.Loads = changedLoads(said.Loads, now.Loads);
  out.SpentTotals =
      risenSince<Spent>(said.SpentTotals, now.SpentTotals, bySpender,
                        [](const Spent &s) { return s.Total; });
  out.Seen =
      risenSince<Evidence>(said.Seen, now.Seen, byKey,
                           [](const Evidence &e) { return e.Counts.Requests; });
  return out;
}

void tellChanges(Gossip &go) {
  Controllers &ct = *go.Owner;
  const auto peers = static_cast<int>(peerCount(go));
  if (ct.Lp.Now - go.LastSent < PausePerPeer * peers)
    return; // The next change or whole report tells it.
  GossipReport all = ownReport(go);
  const GossipReport rep = changesSince(go.Said, all);
  if (rep.Loads.empty())
    return;
  sendReport(go, rep);
  go.Said = std::move(all);
}

std::vector<std::uint64_t> readersOf(std::span<const std::uint64_t> living) {
  std::vector<std::uint64_t> order(living.begin(), living.end());
  std::sort(order.begin(), order.end(), [](std::uint64_t a, std::uint64_t b) {
    return mix64(a) < mix64(b);
  });
  order.resize(std::min(order.size(), 1 + order.size() / FrontsPerReader));
  return order;
}

LoadList peerLoads(const GossipBook &book, Time now, Duration memory) {
  std::map<EndpointId, BackendLoad> sum;
  for (const auto &[node, peer] : book.Peers)
    if (now - peer.Heard <= memory)
      for (const BackendLoad &l : peer.Last.Loads)
        addLoad(sum, l);
  LoadList out;
  for (const auto &[id, l] : sum)
    out.List.push_back(l);
  return out;
}

SpentList peerSpent(const GossipBook &book) {
  std::map<WorkspaceId, std::uint64_t> sum = book.Departed;
  for (const auto &[node, peer] : book.Peers)
    for (const Spent &s : peer.Last.SpentTotals)
      sum[s.Workspace] += s.Total;
  SpentList out;
  for (const auto &[id, total] : sum) {
    const auto it = book.Past.find(id);
    const std::uint64_t past = it == book.Past.end() ? 0 : it->second;
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
  go.Life = ct.Peers.Life;
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
  arm(ct.Lp, go.Timer, ct.Lp.Now + WholePeriod);
  go.AskTimer.Fn = onAskTime;
  go.AskTimer.Ctx = &go;
  arm(ct.Lp, go.AskTimer, ct.Lp.Now + WholePeriod);
  return {};
}

} // namespace zinniagauge
