// Applies and sums up the reports of other fronts.
#include "zinniagauge/store/gossip_report.h"

#include "zinniagauge/decide/backpressure.h"
#include "zinniagauge/decide/quarantine.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// One coordinator reads for the others, plus one for each this many.
constexpr std::size_t CoordinatorsPerReader = 8;

bool byId(const BackendLoad &a, const BackendLoad &b) { return a.Id < b.Id; }

bool byWorkspace(const WorkspaceSpend &a, const WorkspaceSpend &b) {
  return a.Workspace < b.Workspace;
}

bool byKey(const VersionStats &a, const VersionStats &b) {
  return a.Key < b.Key;
}

/// Whether \p now says something other than \p before. A new age alone, or a
/// report that is no longer shared, isn't worth a report.
bool saysOther(const ReportedLoad &before, const ReportedLoad &now) {
  return now.Pace > 0 &&
         (before.Pace != now.Pace || before.Running != now.Running ||
          before.Waiting != now.Waiting);
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

/// Combines two sorted lists in one pass; \p add adds an entry to the one of
/// equal key.
template <typename T, typename Less, typename Add>
void addSorted(std::vector<T> &sum, std::span<const T> more, Less less,
               Add add) {
  std::size_t missing = 0;
  auto at = sum.begin();
  for (const T &m : more) {
    at = std::lower_bound(at, sum.end(), m, less);
    if (at != sum.end() && !less(m, *at))
      add(*at, m);
    else
      ++missing;
  }
  if (missing == 0)
    return;
  std::vector<T> merged;
  merged.reserve(sum.size() + missing);
  auto it = sum.begin();
  for (const T &m : more) {
    while (it != sum.end() && less(*it, m))
      merged.push_back(*it++);
    if (it == sum.end() || less(m, *it))
      merged.push_back(m);
  }
  merged.insert(merged.end(), it, sum.end());
  sum = std::move(merged);
}

} // namespace

bool applyReport(GossipState &state, GossipReport rep, Time now) {
  auto [it, inserted] = state.Peers.try_emplace(rep.Node);
  GossipState::Peer &peer = it->second;
  if (!inserted && peer.LastReport.Incarnation == rep.Incarnation &&
      peer.LastReport.Heartbeat >= rep.Heartbeat)
    return false;
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
    rep.Coordinators = std::move(peer.LastReport.Coordinators);
    rep.VacantSlots = std::move(peer.LastReport.VacantSlots);
  }
  const bool recent =
      sameincarnation && now - peer.LastReportAt <= FrontTimeout;
  if (rep.Relays ? rep.Relays != peer.LastReport.Relays : !recent)
    peer.RelaysChangedAt = now;
  else
    rep.Relays = std::move(peer.LastReport.Relays);
  peer.LastReport = std::move(rep);
  peer.LastReportAt = now;
  return true;
}

std::vector<BackendLoad> changedLoads(std::span<const BackendLoad> before,
                                      std::span<const BackendLoad> now) {
  std::vector<BackendLoad> out;
  for (const BackendLoad &l : now) {
    const auto it = std::lower_bound(before.begin(), before.end(), l, byId);
    if (it == before.end() || it->Id != l.Id || it->Running != l.Running ||
        it->PendingTokens != l.PendingTokens ||
        saysOther(it->Reported, l.Reported))
      out.push_back(l);
  }
  for (const BackendLoad &l : before)
    if (!std::binary_search(now.begin(), now.end(), l, byId))
      out.push_back({l.Id, 0, 0, 0, {}});
  std::sort(out.begin(), out.end(), byId);
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
  if (sameEvidence(lastsent.Crashes, now.Crashes))
    out.Crashes = {};
  if (sameLimits(lastsent.Limits.List, now.Limits.List))
    out.Limits = {};
  out.Coordinators.clear();
  out.VacantSlots.clear();
  return out;
}

std::vector<std::uint64_t>
selectStoreReaders(std::span<const ReaderCandidate> live) {
  std::vector<ReaderCandidate> order(live.begin(), live.end());
  std::ranges::sort(order, [](const auto &a, const auto &b) {
    return a.LinkMbps != b.LinkMbps ? a.LinkMbps > b.LinkMbps
                                    : mix64(a.Node) < mix64(b.Node);
  });
  order.resize(
      std::min(order.size(), 1 + order.size() / CoordinatorsPerReader));
  std::vector<std::uint64_t> out(order.size());
  std::ranges::transform(order, out.begin(), &ReaderCandidate::Node);
  return out;
}

void addLoads(std::vector<BackendLoad> &sum,
              std::span<const BackendLoad> loads) {
  addSorted(sum, loads, byId, [](BackendLoad &to, const BackendLoad &l) {
    to.Running += l.Running;
    to.PendingTokens += l.PendingTokens;
    to.MicrosPerEvent = std::max(to.MicrosPerEvent, l.MicrosPerEvent);
    if (l.Reported.Pace > 0 &&
        (to.Reported.Pace == 0 || l.Reported.At > to.Reported.At))
      to.Reported = l.Reported;
  });
}

std::vector<BackendLoad> subtractLoads(std::span<const BackendLoad> total,
                                       std::span<const BackendLoad> own) {
  std::vector<BackendLoad> out(total.begin(), total.end());
  for (const BackendLoad &l : own) {
    const auto it = std::lower_bound(out.begin(), out.end(), l, byId);
    if (it == out.end() || it->Id != l.Id)
      continue;
    it->Running -= std::min(it->Running, l.Running);
    it->PendingTokens -= std::min(it->PendingTokens, l.PendingTokens);
  }
  return out;
}

void addQueues(std::vector<PoolQueue> &sum, std::span<const PoolQueue> queues) {
  addSorted(
      sum, queues,
      [](const PoolQueue &a, const PoolQueue &b) { return a.Pool < b.Pool; },
      [](PoolQueue &to, const PoolQueue &q) { to.Waiting += q.Waiting; });
}

std::vector<PoolQueue> subtractQueues(std::span<const PoolQueue> total,
                                      std::span<const PoolQueue> own) {
  std::vector<PoolQueue> out(total.begin(), total.end());
  for (PoolQueue &q : out)
    for (const PoolQueue &o : own)
      if (o.Pool == q.Pool)
        q.Waiting -= std::min(q.Waiting, o.Waiting);
  return out;
}

QueueList sumPeerQueues(const GossipState &state, Time now, Duration timeout) {
  QueueList out;
  for (const auto &[node, peer] : state.Peers)
    if (now - peer.LastReportAt <= timeout)
      addQueues(out.List, peer.LastReport.Queues);
  return out;
}

LoadList sumPeerLoads(const GossipState &state, Time now, Duration timeout) {
  LoadList out;
  for (const auto &[node, peer] : state.Peers)
    if (now - peer.LastReportAt <= timeout)
      addLoads(out.List, peer.LastReport.Loads);
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

void addSpend(std::vector<WorkspaceSpend> &sum,
              std::span<const WorkspaceSpend> more) {
  addSorted(sum, more, byWorkspace,
            [](WorkspaceSpend &to, const WorkspaceSpend &s) {
              to.Total += s.Total;
              to.BeforeFirstReport += s.BeforeFirstReport;
            });
}

std::uint32_t countFronts(const GossipState &state, Time now,
                          Duration timeout) {
  std::uint32_t sum = 0;
  for (const auto &[node, peer] : state.Peers)
    if (now - peer.LastReportAt <= timeout)
      sum += peer.LastReport.GroupSize;
  return sum;
}

SpendList advance(SpendMeter &meter, std::uint64_t source,
                  std::span<const WorkspaceSpend> now) {
  SpendList out;
  for (const WorkspaceSpend &s : now) {
    std::uint64_t &joined = meter.Accumulated[s.Workspace];
    const auto last = meter.LastTotals.find(s.Workspace);
    if (source == meter.Source) {
      const std::uint64_t before =
          last == meter.LastTotals.end() ? 0 : last->second;
      joined += s.Total > before ? s.Total - before : 0;
    }
    out.List.push_back({s.Workspace, joined, s.BeforeFirstReport});
  }
  if (source != meter.Source)
    meter.LastTotals.clear();
  for (const WorkspaceSpend &s : now) {
    std::uint64_t &last = meter.LastTotals[s.Workspace];
    last = std::max(last, s.Total);
  }
  meter.Source = source;
  return out;
}

} // namespace zinniagauge
