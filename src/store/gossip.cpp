// Sends, receives and applies reports.
#include "zinniagauge/store/gossip.h"

#include "zinniagauge/decide/backpressure.h"
#include "zinniagauge/decide/quarantine.h"
#include "zinniagauge/net/socket_address.h"
#include "zinniagauge/store/controllers.h"
#include "zinniagauge/store/relay_lists.h"
#include "zinniagauge/store/report_builder.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace zinniagauge {

namespace {

/// A front sends a report at least this often.
constexpr Duration RoundPeriod = std::chrono::milliseconds(250);

/// Minimum interval between two reports to the same recipients, multiplied by
/// their number. The cost of a report grows with that number; this keeps the
/// cost of sending changes under 1% of a core.
constexpr Duration MinIntervalPerRecipient = std::chrono::milliseconds(2);

/// Up to this many recipients each round sends a full report, which makes up
/// for lost datagrams; with more recipients full reports are as many times
/// rarer, rounded up.
constexpr std::size_t RecipientsPerFullRound = 8;

/// How often a coordinator that doesn't read the table service for others
/// queries one that does.
constexpr Duration QueryPeriod = std::chrono::milliseconds(300);

/// How long received reports are collected before sums are published, for each
/// coordinator and member.
constexpr Duration PublishDelayPerFront = std::chrono::microseconds(300);

/// How long a front that reports to a coordinator of another zone waits before
/// it tries one of its own again.
constexpr Duration ReturnInterval = std::chrono::seconds(3);

/// Reports that a front keeps until its coordinator acknowledges them.
constexpr std::size_t MaxUnackedReports = 64;

/// The loop's clock doesn't count the time for which the machine is suspended.
/// Above this time everything that was received before is forgotten.
constexpr Duration MaxSuspension = std::chrono::milliseconds(300);

/// Counts a report that no receiver reads, and logs the first one.
void recordTooLarge(Gossip &gossip, std::size_t bytes) {
  countTableCall(gossip.Owner->Metrics, "gossip", "too_large");
  if (std::exchange(gossip.LoggedTooLarge, true))
    return;
  EventLine line = eventLine("report_too_large");
  add(line, "bytes", static_cast<std::int64_t>(bytes));
  add(line, "limit", static_cast<std::int64_t>(MaxReportBytes));
  gossip.Owner->Log.write(line);
}

void sendRaw(Gossip &gossip, std::string_view raw, PeerAddress to) {
  if (raw.size() > MaxReportBytes)
    recordTooLarge(gossip, raw.size());
  const sockaddr_in sa = socketAddress(to);
  // Errors are ignored: a datagram that can't be sent is handled like a lost
  // one. The next full report contains everything, and queries are retried.
  ::sendto(gossip.Socket.Fd, raw.data(), raw.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&sa), sizeof sa);
}

/// Whether a report to \p recipients may follow now on those before.
bool mayReport(const Gossip &gossip, const ReportStream &stream,
               std::size_t recipients) {
  return gossip.Owner->EventLoop.Now - stream.LastSentAt >=
         MinIntervalPerRecipient * static_cast<int>(recipients);
}

/// The report that follows \p all on \p stream, which has \p recipients: in
/// full, or only what changed.
GossipReport nextReport(Gossip &gossip, ReportStream &stream, GossipReport all,
                        bool full, std::size_t recipients) {
  std::optional<std::vector<RelayPeer>> relays;
  if (all.Relays)
    relays = nextRelays(stream.Relays, *std::exchange(all.Relays, {}),
                        gossip.Owner->EventLoop.Now, recipients);
  GossipReport rep = full ? all : changesSince(stream.LastReport, all);
  rep.Relays = std::move(relays);
  stream.LastReport = std::move(all);
  stream.LastSentAt = gossip.Owner->EventLoop.Now;
  return rep;
}

/// Whether loads, queues, crashes, limits or the operators' rows differ, so
/// that a report is worth sending at once.
bool isWorthReporting(const GossipReport &before, const GossipReport &now) {
  return before.OperatorRows != now.OperatorRows ||
         before.Queues != now.Queues ||
         !sameEvidence(before.Crashes, now.Crashes) ||
         !sameLimits(before.Limits.List, now.Limits.List) ||
         !changedLoads(before.Loads, now.Loads).empty();
}

/// Whether \p address is that of a coordinator in the table as last read.
bool isInTable(const Gossip &gossip, PeerAddress address) {
  return std::ranges::any_of(
      gossip.OtherCoordinators,
      [&](const CoordinatorRow &row) { return row.Address == address; });
}

/// Sends \p rep to all coordinators in the table, and to those that have won a
/// slot since it was read. Without an answer, these would act for themselves
/// until the next reading.
void sendToCoordinators(Gossip &gossip, const GossipReport &rep) {
  const std::string raw = encodeReport(rep);
  for (const CoordinatorRow &row : gossip.OtherCoordinators)
    sendRaw(gossip, raw, row.Address);
  const Time now = gossip.Owner->EventLoop.Now;
  for (const auto &[node, peer] : gossip.PeerReports.Peers) {
    const auto it = gossip.AddressByNode.find(node);
    if (now - peer.LastReportAt < FrontTimeout &&
        it != gossip.AddressByNode.end() && !isInTable(gossip, it->second))
      sendRaw(gossip, raw, it->second);
  }
}

/// Sends \p rep to each live member, with the acknowledgement of its reports.
void sendToMembers(Gossip &gossip, GossipReport rep) {
  const Time now = gossip.Owner->EventLoop.Now;
  const std::size_t members = groupSize(gossip) - 1;
  for (const auto &[node, peer] : gossip.MemberReports.Peers) {
    const auto member = gossip.Members.find(node);
    if (now - peer.LastReportAt > FrontTimeout ||
        member == gossip.Members.end())
      continue;
    rep.Relays = nextMemberRelays(gossip, node, member->second, members);
    rep.AckedHeartbeat = peer.LastReport.Heartbeat;
    rep.EchoedQuerySentAt = member->second.QuerySentAt;
    rep.EchoedIncarnation = member->second.Incarnation;
    sendRaw(gossip, encodeReport(rep), member->second.Address);
  }
}

/// Sends this front's report to its coordinator.
void sendOwn(Gossip &gossip, bool full) {
  Membership &ms = gossip.Coordinator;
  if (ms.Current >= ms.Candidates.size())
    return;
  const GossipReport rep =
      nextReport(gossip, gossip.Own, makeOwnReport(gossip), full, 1);
  ms.Unacked.push_back(gossip.Own.LastReport);
  if (ms.Unacked.size() > MaxUnackedReports)
    ms.Unacked.pop_front();
  sendRaw(gossip, encodeReport(rep), ms.Candidates[ms.Current].Address);
}

std::size_t memberCount(const Gossip &gossip) { return groupSize(gossip) - 1; }

/// How long other fronts take to learn of a call sent here: the request loop's
/// delay of a report and the intervals of those that pass it on.
Duration loadDelay(std::size_t coordinators, std::size_t members,
                   bool ismember) {
  constexpr Duration BaseDelay = std::chrono::milliseconds(13);
  const Duration direct =
      MinIntervalPerRecipient * static_cast<int>(coordinators);
  const Duration relayed = MinIntervalPerRecipient * static_cast<int>(members);
  return BaseDelay + direct +
         (ismember || members > 0 ? relayed + BaseDelay : Duration::zero());
}

/// Publishes the sums that a coordinator computes from all reports.
void publishAsCoordinator(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  const Time now = ct.EventLoop.Now;
  LoadList loads = sumPeerLoads(gossip.PeerReports, now, FrontTimeout);
  addLoads(loads.List,
           sumPeerLoads(gossip.MemberReports, now, FrontTimeout).List);
  ct.Board.PeerLoads.publish(std::move(loads));
  QueueList queues = sumPeerQueues(gossip.PeerReports, now, FrontTimeout);
  addQueues(queues.List,
            sumPeerQueues(gossip.MemberReports, now, FrontTimeout).List);
  ct.Board.PeerQueues.publish(std::move(queues));
  SpendList spend = sumPeerSpend(gossip.PeerReports);
  addSpend(spend.List, sumPeerSpend(gossip.MemberReports).List);
  ct.Board.PeerSpend.publish(
      advance(gossip.PeerSpending, ownNode(gossip), spend.List));
  const std::uint32_t heard =
      1 + countFronts(gossip.MemberReports, now, PeerReportTimeout) +
      countFronts(gossip.PeerReports, now, PeerReportTimeout);
  const std::uint32_t living = livingFronts(ct.Coordinators.Table);
  ct.Board.LivingFronts = std::max(living, heard);
  ct.Board.HeardFronts = heard;
  ct.Board.HeardAt = toNanos(bootNow());
  ct.Board.LoadDelay =
      loadDelay(gossip.OtherCoordinators.size(), memberCount(gossip), false)
          .count();
}

/// Publishes what the coordinator's summary says, without this front's part.
void publishAsMember(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  const Membership &ms = gossip.Coordinator;
  const std::uint64_t node = ms.Current < ms.Candidates.size()
                                 ? nameHash(ms.Candidates[ms.Current].Node)
                                 : 0;
  const auto it = gossip.Summaries.Peers.find(node);
  if (!isAttached(gossip) || it == gossip.Summaries.Peers.end()) {
    ct.Board.PeerLoads.publish({});
    ct.Board.PeerQueues.publish({});
    return;
  }
  const GossipReport &rep = it->second.LastReport;
  ct.Board.PeerLoads.publish({subtractLoads(rep.Loads, ms.Acked.Loads)});
  ct.Board.PeerQueues.publish({subtractQueues(rep.Queues, ms.Acked.Queues)});
  std::vector<WorkspaceSpend> spend = rep.SpendTotals;
  const auto totalof = [](std::span<const WorkspaceSpend> list,
                          WorkspaceId id) -> std::uint64_t {
    for (const WorkspaceSpend &s : list)
      if (s.Workspace == id)
        return s.Total;
    return 0;
  };
  for (WorkspaceSpend &s : spend) {
    const std::uint64_t own = totalof(ms.Acked.SpendTotals, s.Workspace) -
                              totalof(ms.FirstAckedSpend, s.Workspace);
    s.Total -= std::min(s.Total, own);
    s.BeforeFirstReport = s.Total;
  }
  ct.Board.PeerSpend.publish(
      advance(gossip.PeerSpending, node ^ rep.Incarnation, spend));
  ct.Board.LivingFronts = std::max(rep.LivingFronts, rep.HeardFronts);
  ct.Board.HeardFronts = rep.HeardFronts;
  ct.Board.HeardAt = toNanos(bootNow());
  ct.Board.LoadDelay =
      loadDelay(rep.Coordinators.size(),
                rep.LivingFronts /
                    std::max<std::size_t>(rep.Coordinators.size(), 1),
                true)
          .count();
  if (rep.Moves && rep.Moves != ct.Board.PoolMoves.copy().List) {
    ct.Board.PoolMoves.publish({*rep.Moves});
    ct.OnChange();
  }
}

/// Lets the lists of relay peers be refreshed at \p at and sent if they differ.
void scheduleRelays(Gossip &gossip, Time at) {
  LoopTimer &t = gossip.RelayTimer;
  if (!t.Hook.is_linked() || t.Deadline > at)
    arm(gossip.Owner->EventLoop, t, at);
}

/// Sends a coordinator's list to its members if it differs for one of them.
/// Returns when it must be called again; Time::max(): not before a change.
Time sendRelaysToMembers(Gossip &gossip) {
  const Time now = gossip.Owner->EventLoop.Now;
  bool due = false;
  Time next = Time::max();
  for (const auto &[node, peer] : gossip.MemberReports.Peers) {
    const auto member = gossip.Members.find(node);
    if (now - peer.LastReportAt > FrontTimeout ||
        member == gossip.Members.end() ||
        member->second.RelaysVersion == gossip.RelaysVersion)
      continue;
    const std::vector<RelayPeer> list = memberRelays(gossip, node);
    const Time at = changeDueAt(member->second.Relays, list);
    if (at == Time::max())
      member->second.RelaysVersion = gossip.RelaysVersion;
    else if (at <= now)
      due = true;
    else
      next = std::min(next, at);
  }
  if (due)
    sendToMembers(gossip, nextReport(gossip, gossip.ToMembers,
                                     makeSummary(gossip), false, 1));
  return next;
}

/// Publishes the relay peers, and sends the lists that have changed. A change
/// is worth a report of its own: calls wait for it.
void onRelayTimer(void *ctx, Time now) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  refreshRelays(gossip);
  Time next = Time::max();
  if (gossip.IsCoordinator) {
    const std::size_t peers = gossip.OtherCoordinators.size();
    const Time at =
        changeDueAt(gossip.ToCoordinators.Relays, groupRelays(gossip));
    if (peers > 0 && at <= now)
      sendToCoordinators(gossip,
                         nextReport(gossip, gossip.ToCoordinators,
                                    makeGroupReport(gossip), false, peers));
    else if (peers > 0)
      next = at;
    next = std::min(next, sendRelaysToMembers(gossip));
  } else if (gossip.Coordinator.Current <
             gossip.Coordinator.Candidates.size()) {
    const Time at = changeDueAt(gossip.Own.Relays, ownRelays(gossip));
    if (at <= now)
      sendOwn(gossip, false);
    else
      next = at;
  }
  if (next != Time::max())
    scheduleRelays(gossip, next);
}

/// After a suspension of the machine, counts no front as heard until it reports
/// again: by the loop's clock old reports would look recent.
void checkSuspension(Gossip &gossip) {
  const Duration offset = bootNow() - gossip.Owner->EventLoop.Now;
  const Duration suspended = offset - gossip.ClockOffset;
  const bool first = gossip.ClockOffset == Duration::zero();
  gossip.ClockOffset = offset;
  if (first || suspended < MaxSuspension)
    return;
  EventLine line = eventLine("suspended");
  add(line, "for_ms", suspended);
  gossip.Owner->Log.write(line);
  for (GossipState *reports :
       {&gossip.PeerReports, &gossip.MemberReports, &gossip.Summaries})
    for (auto &[node, peer] : reports->Peers)
      peer.LastReportAt = Time();
  gossip.Coordinator.LastSummaryAt = Time();
  gossip.Owner->Board.HeardAt = 0;
  gossip.RelaysHeardAt = Time();
  scheduleRelays(gossip, gossip.Owner->EventLoop.Now);
}

void publish(Gossip &gossip) {
  if (gossip.IsCoordinator)
    publishAsCoordinator(gossip);
  else
    publishAsMember(gossip);
}

void onPublishTimer(void *ctx, Time /*now*/) {
  publish(*static_cast<Gossip *>(ctx));
}

void schedulePublish(Gossip &gossip) {
  Loop &lp = gossip.Owner->EventLoop;
  if (gossip.PublishTimer.Hook.is_linked())
    return;
  const auto fronts = static_cast<int>(gossip.PeerReports.Peers.size() +
                                       gossip.MemberReports.Peers.size());
  arm(lp, gossip.PublishTimer, lp.Now + PublishDelayPerFront * fronts);
}

/// Asks all other coordinators for how long they have read the list of back
/// ends.
void queryCoordinators(Gossip &gossip) {
  GossipReport rep = makeShortReport(gossip);
  rep.QuerySentAt = toNanos(bootNow());
  sendToCoordinators(gossip, rep);
}

/// Determines which coordinators read the table service, and queries one of
/// them if this front doesn't. It has a timer of its own because full reports
/// become less frequent as the number of coordinators grows.
void onQueryTimer(void *ctx, Time now) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  arm(gossip.Owner->EventLoop, gossip.QueryTimer, now + QueryPeriod);
  const std::uint64_t self = ownNode(gossip);
  std::vector<std::uint64_t> readers;
  std::vector<ReaderCandidate> live = {{self, linkMbps(gossip)}};
  if (gossip.IsCoordinator) {
    for (const auto &[node, peer] : gossip.PeerReports.Peers)
      if (now - peer.LastReportAt < FrontTimeout)
        live.push_back({node, peer.LastReport.LinkMbps});
    readers = selectStoreReaders(live);
  }
  const bool isreader =
      std::find(readers.begin(), readers.end(), self) != readers.end();
  FrontBoard &board = gossip.Owner->Board;
  board.IsStoreReader = isreader;
  const bool roleknown = gossip.IsCoordinator || isAttached(gossip);
  if (roleknown && gossip.LoggedReader != isreader) {
    gossip.LoggedReader = isreader;
    EventLine line = eventLine("reads_for_others");
    add(line, "reads", std::int64_t{isreader ? 1 : 0});
    add(line, "living", static_cast<std::int64_t>(live.size()));
    gossip.Owner->Log.write(line);
  }
  if (gossip.IsCoordinator && board.BackendsGraceFrom != 0) {
    queryCoordinators(gossip);
    return;
  }
  if (isreader || readers.empty())
    return;
  const auto to =
      gossip.AddressByNode.find(readers[gossip.Heartbeat % readers.size()]);
  if (to == gossip.AddressByNode.end())
    return;
  GossipReport rep = makeShortReport(gossip);
  rep.QuerySentAt = toNanos(bootNow());
  sendRaw(gossip, encodeReport(rep), to->second);
}

/// Whether \p rep responds to a query of this process. One to a process that
/// ran here before says nothing: this machine's clock may have started over, so
/// the time of that query may lie in the future.
bool isResponse(const Gossip &gossip, const GossipReport &rep) {
  return rep.EchoedQuerySentAt != 0 &&
         rep.EchoedIncarnation == gossip.Incarnation &&
         rep.EchoedQuerySentAt <= toNanos(bootNow());
}

/// Applies for how long the sender has read the list of back ends without an
/// outage, while this front keeps entries that may have lapsed in one. Only a
/// response to a query of that time counts: an earlier one says nothing about
/// the outage.
void applyReadableTime(Gossip &gossip, const GossipReport &rep) {
  FrontBoard &board = gossip.Owner->Board;
  if (rep.BackendsReadableMs == 0 || board.BackendsGraceFrom == 0 ||
      rep.EchoedQuerySentAt < board.BackendsGraceFrom)
    return;
  // Counted from now on, so that the time on the way makes it later, not
  // earlier.
  const std::int64_t since =
      toNanos(bootNow() - std::chrono::milliseconds(rep.BackendsReadableMs));
  if (board.ReportedReadableSince != 0 && board.ReportedReadableSince <= since)
    return;
  board.ReportedReadableSince = since;
  applyReportedReadableTime(gossip.Owner->Discovery);
}

/// Logs that the sender of \p rep knows of operators' rows that this front
/// hasn't read.
void logNewerRows(Gossip &gossip, const GossipReport &rep) {
  const TableVersion own = gossip.Owner->Board.OperatorRows.copy().Version;
  if (own.Number == 0 || rep.OperatorRows <= own)
    return;
  EventLine line = eventLine("newer_rows_reported");
  add(line, "from", frontName(gossip, rep.Node));
  add(line, "era", static_cast<std::int64_t>(rep.OperatorRows.Era));
  add(line, "row", static_cast<std::int64_t>(rep.OperatorRows.Number));
  add(line, "own_row", static_cast<std::int64_t>(own.Number));
  gossip.Owner->Log.write(line);
}

/// Applies what the sender knows of the table service's data.
void applyFreshness(Gossip &gossip, const GossipReport &rep) {
  FrontBoard &board = gossip.Owner->Board;
  // A later row version means that there is something to read, even if the
  // report doesn't prove that it is the newest.
  ConfirmedVersion rows = board.ReportedOperatorRows.copy();
  if (rep.OperatorRows > rows.Version) {
    rows = {rep.OperatorRows, 0, rep.Node};
    board.ReportedOperatorRows.publish(rows);
    logNewerRows(gossip, rep);
  }
  if (!isResponse(gossip, rep))
    return;
  // The response was made after the query was sent, so subtracting its ages
  // from the query's time gives a time at which the data was surely current.
  const Time queriedat = fromNanos(rep.EchoedQuerySentAt);
  const Time rowconfirmedat =
      queriedat - std::chrono::milliseconds(rep.OperatorRowAgeMs);
  const Time backendsconfirmedat =
      queriedat - std::chrono::milliseconds(rep.BackendsDigestAgeMs);
  if (rep.OperatorRows == rows.Version &&
      rep.OperatorRowAgeMs < UnconfirmedAgeMs &&
      toNanos(rowconfirmedat) > rows.ConfirmedAt)
    board.ReportedOperatorRows.publish(
        {rows.Version, toNanos(rowconfirmedat), rep.Node});
  // A list of another era may lack entries, or have some that are gone.
  if (rep.BackendsEra != board.TableEra.copy().Number)
    return;
  if (rep.BackendsDigestAgeMs < UnconfirmedAgeMs &&
      toNanos(backendsconfirmedat) > board.ReportedBackendsDigestAt) {
    board.ReportedBackendsDigest = rep.BackendsDigest;
    board.ReportedBackendsDigestAt = toNanos(backendsconfirmedat);
  }
  applyReadableTime(gossip, rep);
}

void logMembership(Gossip &gossip, std::string_view why) {
  const Membership &ms = gossip.Coordinator;
  EventLine line = eventLine("coordinator");
  if (ms.Current < ms.Candidates.size()) {
    add(line, "to", ms.Candidates[ms.Current].Node);
    add(line, "zone", ms.Candidates[ms.Current].Zone);
  }
  add(line, "why", why);
  gossip.Owner->Log.write(line);
}

/// Reports to candidate \p index from now on.
void reportTo(Gossip &gossip, std::size_t index, std::string_view why) {
  Membership &ms = gossip.Coordinator;
  ms.Current = index;
  ms.Since = gossip.Owner->EventLoop.Now;
  ms.LastSummaryAt = Time();
  ms.Unacked.clear();
  ms.Acked = {};
  ms.FirstAckedSpend.clear();
  gossip.Own.Relays = {};
  logMembership(gossip, why);
  sendOwn(gossip, true);
}

/// Replaces the candidates, and keeps the current one if it is still among
/// them.
void setCandidates(Gossip &gossip, std::vector<CoordinatorRow> candidates) {
  Membership &ms = gossip.Coordinator;
  const PeerAddress before = ms.Current < ms.Candidates.size()
                                 ? ms.Candidates[ms.Current].Address
                                 : PeerAddress{};
  ms.Candidates = std::move(candidates);
  const auto it =
      std::find_if(ms.Candidates.begin(), ms.Candidates.end(),
                   [&](const auto &row) { return row.Address == before; });
  if (it != ms.Candidates.end())
    ms.Current = static_cast<std::size_t>(it - ms.Candidates.begin());
  else if (!ms.Candidates.empty())
    reportTo(gossip, 0, "first in order");
}

/// Moves on if the coordinator is silent, or returns to the own zone.
void checkCoordinator(Gossip &gossip) {
  Membership &ms = gossip.Coordinator;
  Controllers &ct = *gossip.Owner;
  const Time now = ct.EventLoop.Now;
  if (ms.Candidates.empty()) {
    requestCoordinators(ct.Coordinators);
    return;
  }
  const CoordinatorRow &current = ms.Candidates[ms.Current];
  if (now - std::max(ms.Since, ms.LastSummaryAt) > PeerReportTimeout) {
    const std::size_t next = ms.Current + 1;
    if (next >= ms.Candidates.size())
      requestCoordinators(ct.Coordinators);
    reportTo(gossip, next % ms.Candidates.size(), "the former one is silent");
  } else if (current.Zone != ct.Settings.Zone &&
             ms.Candidates[0].Zone == ct.Settings.Zone &&
             now - ms.Since > ReturnInterval) {
    reportTo(gossip, 0, "back to the own zone");
  }
}

/// Adds the crashes that \p rep knows to the board.
void applyCrashes(Gossip &gossip, const GossipReport &rep) {
  Controllers &ct = *gossip.Owner;
  if (rep.Crashes.Crashes.empty() && rep.Crashes.Answers.empty())
    return;
  CrashEvidence known = ct.Board.PeerCrashes.copy();
  const bool expired = dropExpired(known, ct.EventLoop.Now);
  if (!mergeEvidence(known, rep.Crashes) && !expired)
    return;
  ct.Board.PeerCrashes.publish(std::move(known));
  ct.OnChange();
}

/// Adds the limits of back ends that \p rep knows to the board.
void applyLimits(Gossip &gossip, const GossipReport &rep) {
  Controllers &ct = *gossip.Owner;
  if (rep.Limits.List.empty())
    return;
  BackendLimitList known = ct.Board.PeerLimits.copy();
  const bool expired = dropExpired(known, ct.EventLoop.Now);
  if (!mergeLimits(known, rep.Limits.List) && !expired)
    return;
  ct.Board.PeerLimits.publish(std::move(known));
  ct.OnChange();
}

/// Applies \p rep to \p state. What it changes of the relay peers is published
/// and passed on soon.
bool applyWithRelays(Gossip &gossip, GossipState &state, GossipReport rep) {
  const Time now = gossip.Owner->EventLoop.Now;
  const std::uint64_t node = rep.Node;
  if (!applyReport(state, std::move(rep), now))
    return false;
  if (state.Peers.at(node).RelaysChangedAt == now)
    scheduleRelays(gossip, now);
  return true;
}

/// Whether the sender of \p rep has restarted or was silent, and so lacks the
/// lists of relay peers that it was sent before.
bool lacksRelays(const Gossip &gossip, const GossipState &state,
                 const GossipReport &rep) {
  const auto it = state.Peers.find(rep.Node);
  return it == state.Peers.end() ||
         it->second.LastReport.Incarnation != rep.Incarnation ||
         gossip.Owner->EventLoop.Now - it->second.LastReportAt > FrontTimeout;
}

void applySummary(Gossip &gossip, GossipReport rep) {
  Membership &ms = gossip.Coordinator;
  Controllers &ct = *gossip.Owner;
  const std::uint64_t node = rep.Node;
  if (gossip.IsCoordinator || ms.Current >= ms.Candidates.size() ||
      nameHash(ms.Candidates[ms.Current].Node) != node)
    return;
  const std::uint64_t acked = rep.AckedHeartbeat;
  const bool full = rep.IsFull;
  applyFreshness(gossip, rep);
  if (!applyWithRelays(gossip, gossip.Summaries, std::move(rep)))
    return;
  const bool first = ms.LastSummaryAt == Time();
  ms.LastSummaryAt = ct.EventLoop.Now;
  while (!ms.Unacked.empty() && ms.Unacked.front().Heartbeat <= acked) {
    ms.Acked = std::move(ms.Unacked.front());
    ms.Unacked.pop_front();
  }
  if (first)
    ms.FirstAckedSpend = ms.Acked.SpendTotals;
  if (!full || gossip.Summaries.Peers.at(node).LastReport.Coordinators.empty())
    return;
  const GossipReport &last = gossip.Summaries.Peers.at(node).LastReport;
  CoordinatorTable table;
  for (CoordinatorRow row : last.Coordinators) {
    row.Key = row.Node;
    table.Entries[row.Key] = {row, ct.EventLoop.Now, false};
  }
  setCandidates(gossip,
                coordinatorOrder(table, ct.Settings.Node, ct.Settings.Zone));
  considerVacantSlots(ct.Coordinators, last.VacantSlots);
}

void applyDatagram(Gossip &gossip, GossipReport rep, PeerAddress from) {
  applyCrashes(gossip, rep);
  applyLimits(gossip, rep);
  completeRelayAddresses(rep, from);
  switch (rep.Kind) {
  case ReportKind::Summary:
    applySummary(gossip, std::move(rep));
    return;
  case ReportKind::Member:
    if (gossip.IsCoordinator) {
      GroupMember &member = gossip.Members[rep.Node];
      if (lacksRelays(gossip, gossip.MemberReports, rep))
        member.Relays = {};
      member.Address = from;
      // The clock of a machine that was restarted may have started over.
      member.QuerySentAt = member.Incarnation == rep.Incarnation
                               ? std::max(member.QuerySentAt, rep.QuerySentAt)
                               : rep.QuerySentAt;
      member.Incarnation = rep.Incarnation;
      applyWithRelays(gossip, gossip.MemberReports, std::move(rep));
    }
    return;
  case ReportKind::Group:
    gossip.AddressByNode[rep.Node] = from;
    if (rep.QuerySentAt != 0) {
      GossipReport response = makeShortReport(gossip);
      response.EchoedQuerySentAt = rep.QuerySentAt;
      response.EchoedIncarnation = rep.Incarnation;
      sendRaw(gossip, encodeReport(response), from);
    }
    if (isResponse(gossip, rep))
      gossip.LastResponder = from;
    applyFreshness(gossip, rep);
    // A front that is now a coordinator is no member any more.
    gossip.Members.erase(rep.Node);
    if (lacksRelays(gossip, gossip.PeerReports, rep))
      gossip.ToCoordinators.Relays = {};
    applyWithRelays(gossip, gossip.PeerReports, std::move(rep));
    return;
  }
}

void onDatagram(void *ctx, std::uint32_t /*events*/) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  Loop &lp = gossip.Owner->EventLoop;
  checkSuspension(gossip);
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
    else if (rep->Node != ownNode(gossip))
      applyDatagram(gossip, std::move(*rep),
                    {ntohl(sa.sin_addr.s_addr), ntohs(sa.sin_port)});
  }
  schedulePublish(gossip);
  if (gossip.IsCoordinator)
    sendChanges(gossip);
}

/// Whether this round of \p stream is one with a full report.
bool isFullRound(ReportStream &stream, std::size_t recipients) {
  const std::size_t rounds =
      (recipients + RecipientsPerFullRound - 1) / RecipientsPerFullRound;
  if (++stream.RoundsSinceFull < rounds)
    return false;
  stream.RoundsSinceFull = 0;
  return true;
}

void onRoundTimer(void *ctx, Time now) {
  Gossip &gossip = *static_cast<Gossip *>(ctx);
  arm(gossip.Owner->EventLoop, gossip.RoundTimer, now + RoundPeriod);
  checkSuspension(gossip);
  refreshRelays(gossip);
  if (gossip.IsCoordinator) {
    const std::size_t peers = gossip.OtherCoordinators.size();
    sendToCoordinators(
        gossip,
        nextReport(gossip, gossip.ToCoordinators, makeGroupReport(gossip),
                   isFullRound(gossip.ToCoordinators, peers), peers));
    if (const std::size_t members = memberCount(gossip); members > 0)
      sendToMembers(
          gossip, nextReport(gossip, gossip.ToMembers, makeSummary(gossip),
                             isFullRound(gossip.ToMembers, members), members));
  } else {
    constexpr std::size_t RecipientsForFullEachSecond = 32;
    checkCoordinator(gossip);
    sendOwn(gossip, isFullRound(gossip.Own, RecipientsForFullEachSecond));
  }
  publish(gossip);
}

} // namespace

std::optional<PeerAddress> backendsSource(const Gossip &gossip) {
  if (isAttached(gossip))
    return gossip.Coordinator.Candidates[gossip.Coordinator.Current].Address;
  if (gossip.IsCoordinator && gossip.LastResponder != PeerAddress{})
    return gossip.LastResponder;
  return std::nullopt;
}

std::optional<PeerAddress> frontAddress(const Gossip &gossip,
                                        std::uint64_t node) {
  for (const CoordinatorRow &row : gossip.Coordinator.Candidates)
    if (nameHash(row.Node) == node)
      return row.Address;
  const auto it = gossip.AddressByNode.find(node);
  return it == gossip.AddressByNode.end() ? std::nullopt
                                          : std::optional(it->second);
}

std::string_view frontName(const Gossip &gossip, std::uint64_t node) {
  for (const auto *list :
       {&gossip.OtherCoordinators, &gossip.Coordinator.Candidates})
    for (const CoordinatorRow &row : *list)
      if (nameHash(row.Node) == node)
        return row.Node;
  return {};
}

bool isAttached(const Gossip &gossip) {
  const Time last = gossip.Coordinator.LastSummaryAt;
  return !gossip.IsCoordinator && last != Time() &&
         gossip.Owner->EventLoop.Now - last < FrontTimeout;
}

void sendChanges(Gossip &gossip) {
  if (std::vector<RelayPeer> own = ownRelays(gossip); own != gossip.OwnRelays) {
    gossip.OwnRelays = std::move(own);
    scheduleRelays(gossip, gossip.Owner->EventLoop.Now);
  }
  if (!gossip.IsCoordinator) {
    if (!mayReport(gossip, gossip.Own, 1))
      return; // The next change or full report includes it.
    sendOwn(gossip, false);
    return;
  }
  const std::size_t peers = gossip.OtherCoordinators.size();
  if (peers > 0 && mayReport(gossip, gossip.ToCoordinators, peers)) {
    GossipReport all = makeGroupReport(gossip);
    if (isWorthReporting(gossip.ToCoordinators.LastReport, all))
      sendToCoordinators(gossip, nextReport(gossip, gossip.ToCoordinators,
                                            std::move(all), false, peers));
  }
  const std::size_t members = memberCount(gossip);
  if (members == 0 || !mayReport(gossip, gossip.ToMembers, members))
    return;
  GossipReport all = makeSummary(gossip);
  if (isWorthReporting(gossip.ToMembers.LastReport, all))
    sendToMembers(gossip, nextReport(gossip, gossip.ToMembers, std::move(all),
                                     false, members));
}

void onCoordinatorsChanged(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  const bool before = gossip.IsCoordinator;
  gossip.IsCoordinator = ct.Coordinators.HoldsSlot;
  if (before != gossip.IsCoordinator) {
    EventLine line = eventLine("coordinates");
    add(line, "holds_slot", std::int64_t{gossip.IsCoordinator ? 1 : 0});
    ct.Log.write(line);
    gossip.MemberReports = {};
    gossip.Members.clear();
    gossip.ToCoordinators = {};
    gossip.ToMembers = {};
    gossip.Coordinator = {};
  }
  gossip.OtherCoordinators = coordinatorOrder(
      ct.Coordinators.Table, ct.Settings.Node, ct.Settings.Zone);
  if (!gossip.IsCoordinator && !isAttached(gossip))
    setCandidates(gossip, gossip.OtherCoordinators);
}

Gossip::~Gossip() {
  if (Socket.Fd >= 0)
    ::close(Socket.Fd);
}

Result<void> startGossip(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  gossip.Incarnation = ct.Coordinators.Incarnation;
  gossip.Socket.Fd =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (gossip.Socket.Fd < 0 ||
      !bindSocket(gossip.Socket.Fd, ct.Settings.GossipAddress, BindPatience))
    return fail({ErrorCode::Unavailable, Step::Exchange,
                 toString(ct.Settings.GossipAddress), std::strerror(errno)});
  gossip.Socket.Fn = onDatagram;
  gossip.Socket.Ctx = &gossip;
  watch(ct.EventLoop, gossip.Socket, EPOLLIN);
  for (LoopTimer *t : {&gossip.RoundTimer, &gossip.QueryTimer,
                       &gossip.PublishTimer, &gossip.RelayTimer})
    t->Ctx = &gossip;
  gossip.RoundTimer.Fn = onRoundTimer;
  gossip.QueryTimer.Fn = onQueryTimer;
  gossip.PublishTimer.Fn = onPublishTimer;
  gossip.RelayTimer.Fn = onRelayTimer;
  arm(ct.EventLoop, gossip.RoundTimer, ct.EventLoop.Now + RoundPeriod);
  arm(ct.EventLoop, gossip.QueryTimer, ct.EventLoop.Now + RoundPeriod);
  return {};
}

} // namespace zinniagauge
