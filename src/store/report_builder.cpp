// Builds reports.
#include "zinniagauge/store/report_builder.h"

#include "zinniagauge/decide/version_stats_sum.h"
#include "zinniagauge/store/controllers.h"
#include "zinniagauge/store/relay_lists.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Milliseconds since \p confirmedat (by bootNow; zero: never), rounded up and
/// at most UnconfirmedAgeMs.
std::uint32_t ageMs(std::int64_t confirmedat) {
  if (confirmedat == 0)
    return UnconfirmedAgeMs;
  const Duration age = bootNow() - fromNanos(confirmedat);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1;
  return static_cast<std::uint32_t>(
      std::min(ms, std::int64_t{UnconfirmedAgeMs}));
}

/// Sets the fields on how recently this front confirmed the table service's
/// data.
void fillFreshness(GossipReport &rep, const FrontBoard &board) {
  const ConfirmedVersion rows = board.OperatorRows.copy();
  rep.OperatorRows = rows.Version;
  rep.BackendsDigest = board.BackendsDigest;
  rep.BackendsEra = board.BackendsEra;
  rep.OperatorRowAgeMs = ageMs(rows.ConfirmedAt);
  rep.BackendsDigestAgeMs = ageMs(board.BackendsConfirmedAt);
  // An outage may have begun since the last reading.
  if (board.BackendsReadableSince != 0 &&
      bootNow() - fromNanos(board.BackendsConfirmedAt) < MinListOutage)
    rep.BackendsReadableMs = ageMs(board.BackendsReadableSince);
}

/// A report without loads, spending and statistics.
GossipReport makeEmptyReport(Gossip &gossip, ReportKind kind) {
  GossipReport rep;
  rep.Node = ownNode(gossip);
  rep.Incarnation = gossip.Incarnation;
  rep.Heartbeat = ++gossip.Heartbeat;
  rep.Kind = kind;
  rep.LinkMbps = linkMbps(gossip);
  fillFreshness(rep, gossip.Owner->Board);
  return rep;
}

/// This front's loads without those of pools whose back ends it can't reach:
/// what it measured there says nothing of them any more.
std::vector<BackendLoad> reachedLoads(const FrontBoard &board) {
  std::vector<BackendLoad> loads = board.OwnLoads.copy().List;
  const ReadGuard guard;
  const std::vector<PoolId> &unreached = board.OwnUnreached.read(guard).Pools;
  if (unreached.empty())
    return loads;
  const std::vector<Backend> &known = board.Backends.read(guard).List;
  std::erase_if(loads, [&](const BackendLoad &l) {
    const auto it = std::ranges::lower_bound(known, l.Id, {}, &Backend::Id);
    return it != known.end() && it->Id == l.Id &&
           std::ranges::find(unreached, it->Pool) != unreached.end();
  });
  return loads;
}

} // namespace

std::uint32_t groupSize(const Gossip &gossip) {
  return 1 + countFronts(gossip.MemberReports, gossip.Owner->EventLoop.Now,
                         FrontTimeout);
}

std::uint64_t ownNode(const Gossip &gossip) {
  return nameHash(gossip.Owner->Settings.Node);
}

std::uint32_t linkMbps(const Gossip &gossip) {
  return static_cast<std::uint32_t>(gossip.Owner->Settings.LinkMbps);
}

GossipReport makeOwnReport(Gossip &gossip) {
  const FrontBoard &board = gossip.Owner->Board;
  GossipReport rep = makeEmptyReport(gossip, ReportKind::Member);
  rep.Loads = reachedLoads(board);
  rep.Queues = board.OwnQueues.copy().List;
  rep.SpendTotals = board.OwnSpend.copy().List;
  rep.Stats = board.OwnStats.copy().Rows;
  rep.Crashes = board.OwnCrashes.copy();
  rep.Limits = board.OwnLimits.copy();
  rep.Relays = ownRelays(gossip);
  rep.QuerySentAt = toNanos(bootNow());
  return rep;
}

GossipReport makeGroupReport(Gossip &gossip) {
  const Time now = gossip.Owner->EventLoop.Now;
  GossipReport rep = makeOwnReport(gossip);
  rep.Kind = ReportKind::Group;
  rep.QuerySentAt = 0;
  addLoads(rep.Loads,
           sumPeerLoads(gossip.MemberReports, now, FrontTimeout).List);
  addQueues(rep.Queues,
            sumPeerQueues(gossip.MemberReports, now, FrontTimeout).List);
  addSpend(rep.SpendTotals, sumPeerSpend(gossip.MemberReports).List);
  VersionStatsList stats{std::move(rep.Stats)};
  for (const auto &[node, peer] : gossip.MemberReports.Peers)
    addVersionStats(stats, peer.LastReport.Stats);
  rep.Stats = std::move(stats.Rows);
  rep.GroupSize = groupSize(gossip);
  rep.Relays = groupRelays(gossip);
  return rep;
}

GossipReport makeSummary(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  GossipReport rep = makeGroupReport(gossip);
  rep.Kind = ReportKind::Summary;
  rep.Stats.clear();
  rep.Relays.reset(); // They differ by member.
  addLoads(
      rep.Loads,
      sumPeerLoads(gossip.PeerReports, ct.EventLoop.Now, FrontTimeout).List);
  addQueues(
      rep.Queues,
      sumPeerQueues(gossip.PeerReports, ct.EventLoop.Now, FrontTimeout).List);
  addSpend(rep.SpendTotals, sumPeerSpend(gossip.PeerReports).List);
  rep.LivingFronts = ct.Board.LivingFronts;
  rep.HeardFronts = ct.Board.HeardFronts;
  rep.Coordinators = gossip.OtherCoordinators;
  CoordinatorRow self;
  self.Node = ct.Settings.Node;
  self.Zone = ct.Settings.Zone;
  self.Address = ct.Settings.GossipAddress;
  rep.Coordinators.push_back(std::move(self));
  for (const std::string &zone : zonesWithVacancy(ct.Coordinators.Table))
    if (const auto slot = claimableSlot(ct.Coordinators.Table, zone))
      rep.VacantSlots.push_back(*slot);
  rep.Moves = ct.Board.PoolMoves.copy().List;
  return rep;
}

GossipReport makeShortReport(Gossip &gossip) {
  GossipReport rep = makeEmptyReport(gossip, ReportKind::Group);
  rep.IsFull = false;
  rep.GroupSize = groupSize(gossip);
  return rep;
}

} // namespace zinniagauge
