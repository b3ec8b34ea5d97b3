#include "zinniagauge/decide/schedule.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/board_snapshot.h"
#include "zinniagauge/decide/placement.h"

#include <algorithm>
#include <array>
#include <optional>

namespace zinniagauge {

namespace {

/// The time over which the drain rate is taken, and the weight of the newest.
constexpr Duration DrainWindow = std::chrono::milliseconds(500);
constexpr double DrainAlpha = 0.3;
constexpr int MostWindows = 4;

/// What a lower tier is thought to get of a pool at the least.
constexpr double LeastShare = 0.02;

/// A grant is overdue after so many times the service time that is expected.
constexpr int OverdueFactor = 2;
constexpr Duration LeastOverdue = std::chrono::milliseconds(500);

/// How many tickets are looked at for one whose prefix an endpoint holds.
constexpr std::size_t LookAhead = 32;

std::size_t indexOf(Tier t) noexcept {
  return std::min<std::size_t>(t.Rank, MaxTiers - 1);
}

std::uint32_t promptOf(const OpenGrant &og) noexcept {
  return og.IssuedGrant.Tokens -
         std::min(og.IssuedGrant.Tokens, og.OutputTokens);
}

/// An unfinished grant may show that its endpoint is slower than was thought.
void learnSlow(Scheduler &s, const OpenGrant &og, Time now) noexcept {
  if (og.OutputTokens > 0)
    updateSpeedFromUnfinished(s.Accounts[og.Account].LearntSpeed,
                              now - og.OpenedAt, promptOf(og), og.OutputTokens);
}

void openGrant(Scheduler &s, const OpenGrant &og, Time now) {
  EndpointAccount &acc = s.Accounts[og.Account];
  addUsage(acc, og.Class, og.IssuedGrant.Tokens);
  if (og.Class == SizeClass::Small)
    ++s.SmallDemand.InUse[indexOf(og.Rank)];
  s.OpenGrants.emplace(og.IssuedGrant.Attempt, og);
  s.GrantsByExpiry.insert({og.ExpiresAt, og.IssuedGrant.Attempt});
  s.GrantsByOverdueTime.insert({og.OverdueAt, og.IssuedGrant.Attempt});
  updateAvailability(s, og.Account, now);
}

/// Closes the open grant of \p id and returns it.
std::optional<OpenGrant> closeGrant(Scheduler &s, AttemptId id, Time now) {
  const auto it = s.OpenGrants.find(id);
  if (it == s.OpenGrants.end())
    return std::nullopt;
  const OpenGrant og = it->second;
  s.OpenGrants.erase(it);
  s.GrantsByExpiry.erase({og.ExpiresAt, id});
  s.GrantsByOverdueTime.erase({og.OverdueAt, id});
  removeUsage(s.Accounts[og.Account], og.Class, og.IssuedGrant.Tokens);
  if (og.Class == SizeClass::Small)
    --s.SmallDemand.InUse[indexOf(og.Rank)];
  updateAvailability(s, og.Account, now);
  return og;
}

void lapse(Scheduler &s, Time now) {
  while (!s.GrantsByExpiry.empty() && s.GrantsByExpiry.begin()->first <= now) {
    const AttemptId id = s.GrantsByExpiry.begin()->second;
    (void)closeGrant(s, id, now);
    ++s.Counts.Expired;
  }
}

/// Until when \p og should be done, with a margin that lets ordinary ones pass.
Time overdueAt(const Scheduler &s, const OpenGrant &og, Time now) noexcept {
  const Duration expected = serviceTime(s.Accounts[og.Account].LearntSpeed,
                                        promptOf(og), og.OutputTokens);
  return now + std::max(expected * OverdueFactor, LeastOverdue);
}

/// Learns from grants that take too long before their answers come.
void noteOverdue(Scheduler &s, Time now) {
  while (!s.GrantsByOverdueTime.empty() &&
         s.GrantsByOverdueTime.begin()->first <= now) {
    const AttemptId id = s.GrantsByOverdueTime.begin()->second;
    s.GrantsByOverdueTime.erase(s.GrantsByOverdueTime.begin());
    OpenGrant &og = s.OpenGrants.at(id);
    learnSlow(s, og, now);
    og.OverdueAt = overdueAt(s, og, now);
    s.GrantsByOverdueTime.insert({og.OverdueAt, id});
  }
}

/// The endpoint failed or refused: it gets nothing for a while.
void backOff(Scheduler &s, EndpointAccount &acc, Time now) {
  constexpr std::uint32_t MostDoublings = 10;
  const std::uint32_t n = std::min(acc.Failures, MostDoublings);
  ++acc.Failures;
  acc.BackoffUntil =
      now + std::min(s.Policy.MinBackoff * (1U << n), s.Policy.MaxBackoff);
}

void learnPrefix(Scheduler &s, const OpenGrant &og, const GrantReturn &ret,
                 Time now) {
  const Prefix *p = findPrefix(s.Prefixes, og.PrefixHash);
  const Time since = now - s.Policy.PrefixMaxAge;
  if (p && p->Tokens > ret.CachedTokens &&
      isHeldElsewhere(*p, ret.Endpoint, since))
    s.Counts.WastedPrefillTokens += p->Tokens - ret.CachedTokens;
  recordPrefix(s.Prefixes, og.PrefixHash, ret.Endpoint, ret.CachedTokens, now);
}

void learnFrom(Scheduler &s, const OpenGrant &og, const GrantReturn &ret,
               Time now) {
  EndpointAccount &acc = s.Accounts[og.Account];
  if (ret.RefusedByEndpoint || ret.EndpointFailed) {
    backOff(s, acc, now);
    return;
  }
  acc.Failures = 0;
  acc.BackoffUntil = {};
  const bool stale = now - acc.LastSampleAt > s.Policy.ProbeInterval;
  updateSpeed(acc.LearntSpeed, ret, og.OutputTokens, stale);
  acc.LastSampleAt = now;
  learnPrefix(s, og, ret, now);
}

void refuse(Scheduler &s, TicketIndex idx, RefusalReason reason,
            ScheduleActions &out) {
  const Ticket t = s.Queue.Tickets[idx].SubmittedTicket;
  remove(s.Queue, s.Policy, idx, false);
  out.Refusals.push_back({t.Attempt, t.Entry, reason});
  if (reason == RefusalReason::Shed)
    ++s.Counts.ShedTickets;
  else if (reason == RefusalReason::TooLate)
    ++s.Counts.LateTickets;
  else
    ++s.Counts.UnservableTickets;
}

/// How long a new ticket is likely to wait.
Duration expectedWait(const Scheduler &s, const Ticket &t) noexcept {
  const DrainRate &d = s.Drain;
  if (d.Rate <= 0)
    return Duration::zero();
  double left = d.Rate;
  for (std::size_t i = 0; i < indexOf(t.Rank); ++i)
    left -= d.RateByTier[i];
  left = std::max(left, d.Rate * LeastShare);
  const WorkAhead ahead = tokensAhead(s.Queue, s.Policy, t);
  const double seconds = static_cast<double>(ahead.HigherTierTokens) / d.Rate +
                         static_cast<double>(ahead.SameTierTokens) / left;
  return Duration(static_cast<std::int64_t>(1e9 * seconds));
}

/// From now on, large tickets leave room for small ones of this tier.
void noteSmall(Scheduler &s, const Ticket &t, Time now) noexcept {
  if (sizeClass(s.Policy, tokensOf(t)) == SizeClass::Small)
    s.LastSmallTicketAt[indexOf(t.Rank)] = now;
}

void admitOne(Scheduler &s, TicketIndex idx, Time now, ScheduleActions &out) {
  const QueuedTicket &q = s.Queue.Tickets[idx];
  if (!isServable(s.Snapshot.Usable, q.SubmittedTicket)) {
    refuse(s, idx, RefusalReason::NoEndpoint, out);
    return;
  }
  if (!s.Policy.EarlyRefusal) {
    noteSmall(s, q.SubmittedTicket, now);
    return;
  }
  const Duration least = minServiceTime(s, q.SubmittedTicket);
  const Duration wait = expectedWait(s, q.SubmittedTicket);
  if (isTooLate(s, q, now) || now + wait + least > q.Deadline)
    return refuse(s, idx, RefusalReason::TooLate, out);
  noteSmall(s, q.SubmittedTicket, now);
  if (!s.Snapshot.ProbeDue)
    setLatestStart(s.Queue, idx, q.Deadline - least);
}

void admitFresh(Scheduler &s, Time now, ScheduleActions &out) {
  for (const auto &[idx, serial] : s.NewTickets) {
    const QueuedTicket &q = s.Queue.Tickets[idx];
    if (q.Queued && q.Serial == serial)
      admitOne(s, idx, now, out);
  }
  s.NewTickets.clear();
}

/// After a change of the endpoints that may be used: refuses what none of them
/// may serve, the lowest tier first.
void refuseUnservable(Scheduler &s, ScheduleActions &out) {
  if (!s.Snapshot.UsableChanged)
    return;
  s.Snapshot.UsableChanged = false;
  std::vector<TicketIndex> gone;
  for (const auto &[id, idx] : s.Queue.ByAttempt)
    if (!isServable(s.Snapshot.Usable, s.Queue.Tickets[idx].SubmittedTicket))
      gone.push_back(idx);
  const auto &all = s.Queue.Tickets;
  std::sort(gone.begin(), gone.end(), [&](TicketIndex a, TicketIndex b) {
    const Ticket &x = all[a].SubmittedTicket;
    const Ticket &y = all[b].SubmittedTicket;
    return x.Rank != y.Rank ? isHigher(y.Rank, x.Rank) : x.Attempt < y.Attempt;
  });
  for (const TicketIndex idx : gone)
    refuse(s, idx, RefusalReason::NoEndpoint, out);
}

void refuseLate(Scheduler &s, Time now, ScheduleActions &out) {
  auto &all = s.Queue.ByLatestStart;
  while (!all.empty() && all.begin()->first <= now)
    refuse(s, all.begin()->second, RefusalReason::TooLate, out);
}

bool lowerWaits(const TicketQueue &q, Tier rank) noexcept {
  const auto from =
      q.Tiers.begin() + static_cast<std::ptrdiff_t>(indexOf(rank));
  return std::any_of(from + 1, q.Tiers.end(),
                     [](const TierQueue &t) { return t.Count > 0; });
}

void shed(Scheduler &s, ScheduleActions &out) {
  while (size(s.Queue) > s.Policy.MaxQueued) {
    const auto idx = ticketToShed(s.Queue);
    if (!idx)
      return;
    const Tier rank = s.Queue.Tickets[*idx].SubmittedTicket.Rank;
    check(Invariant::TierOrder, !lowerWaits(s.Queue, rank));
    refuse(s, *idx, RefusalReason::Shed, out);
  }
}

Grant makeGrant(Scheduler &s, const Ticket &t, const EndpointAccount &acc,
                Time now) {
  Grant g;
  g.Id = {s.Self, s.Incarnation, s.NextGrant++};
  g.Attempt = t.Attempt;
  g.Endpoint = acc.Id;
  g.Version = acc.Version;
  g.Tokens = tokensOf(t);
  g.IssuedAt = now;
  g.Ttl = s.Policy.GrantTtl;
  return g;
}

void notePlaced(Scheduler &s, const Ticket &t, EndpointAccount &acc, Time now) {
  if (isProbeDue(s.Policy, acc, now)) {
    ++s.Counts.Probes;
    s.Snapshot.ProbeDue = false;
  }
  const Prefix *p = findPrefix(s.Prefixes, t.PrefixHash);
  if (p && isHeldBy(*p, acc.Id, now - s.Policy.PrefixMaxAge))
    ++s.Counts.PrefixHits;
  if (s.Policy.Affinity)
    recordPrefix(s.Prefixes, t.PrefixHash, acc.Id, 0, now);
  acc.LastGrantAt = now;
  ++s.Counts.Granted;
  s.Drain.WindowTokens[indexOf(t.Rank)] += tokensOf(t);
}

void grantAt(Scheduler &s, TicketIndex idx, std::uint32_t account, Time now,
             ScheduleActions &out) {
  const Ticket t = s.Queue.Tickets[idx].SubmittedTicket;
  EndpointAccount &acc = s.Accounts[account];
  remove(s.Queue, s.Policy, idx, true);
  OpenGrant og;
  og.IssuedGrant = makeGrant(s, t, acc, now);
  og.Entry = t.Entry;
  og.OpenedAt = now;
  og.ExpiresAt = now + s.Policy.GrantTtl + s.Policy.ExpiryMargin;
  og.Class = sizeClass(s.Policy, og.IssuedGrant.Tokens);
  og.Account = account;
  og.PrefixHash = t.PrefixHash;
  og.OutputTokens = t.OutputTokens;
  og.Rank = t.Rank;
  og.OverdueAt = overdueAt(s, og, now);
  notePlaced(s, t, acc, now);
  openGrant(s, og, now);
  out.Grants.push_back(og.IssuedGrant);
}

/// A ticket and the account that it goes to.
struct Match {
  TicketIndex Ticket = 0;
  std::optional<std::uint32_t> Account;
};

/// One whose prefix is held where there is room.
Match matchPrefix(const Scheduler &s, std::span<const TicketIndex> next,
                  Time now) {
  for (const TicketIndex idx : next)
    if (const auto account = placeAtPrefixHolder(s, s.Queue.Tickets[idx], now))
      return {idx, account};
  return {};
}

/// The first in line goes where it is served soonest, unless one close behind
/// it finds its prefix where there is room; the line pays for that with its
/// credit. If only endpoints have room that are too slow for the first, one
/// with more time left goes there.
Match match(Scheduler &s, std::span<const TicketIndex> next, Time now) {
  const Match m = matchPrefix(s, next, now);
  if (m.Account)
    return m;
  for (const TicketIndex idx : next) {
    if (shouldWaitForPrefix(s, s.Queue.Tickets[idx], now))
      continue;
    const Placement p = placeTicket(s, s.Queue.Tickets[idx], now);
    if (p.Account || p.WaitsForCapacity)
      return {idx, p.Account};
  }
  return {};
}

/// Grants or refuses one ticket of \p lane; false if none of them finds room.
bool serveLane(Scheduler &s, const ScheduleView &view, Lane &lane, Time now,
               ScheduleActions &out) {
  std::array<TicketIndex, LookAhead> buf{};
  const auto next = nextCandidates(s.Queue, lane, buf);
  if (isTooLate(s, s.Queue.Tickets[next.front()], now)) {
    refuse(s, next.front(), RefusalReason::TooLate, out);
    return true;
  }
  const Match m = match(s, next, now);
  if (!m.Account)
    return false;
  if (!mayServe(s, view, s.Accounts[*m.Account])) {
    s.Snapshot.LastBundle = nullptr; // The board has changed since it was read.
    refreshSnapshot(s, view, now);
    return true;
  }
  const EndpointState *st =
      findEndpointState(view.Endpoints, s.Accounts[*m.Account].Id);
  if (!check(Invariant::LeavingGetsNone,
             !st || (!st->Leaving && !st->Draining)))
    return false;
  grantAt(s, m.Ticket, *m.Account, now, out);
  return true;
}

void serveTier(Scheduler &s, const ScheduleView &view, TierQueue &tier,
               Time now, ScheduleActions &out) {
  std::array<bool, LaneCount> full{};
  std::array<std::size_t, LaneCount> buf{};
  while (tier.Count > 0 && !s.AvailableAccounts.empty()) {
    const auto busy = busyLanes(tier, buf);
    const auto it = std::find_if(busy.begin(), busy.end(),
                                 [&](std::size_t i) { return !full[i]; });
    if (it == busy.end())
      return;
    full[*it] = !serveLane(s, view, tier.Lanes[*it], now, out);
  }
}

void updateDrain(Scheduler &s, Time now) {
  DrainRate &d = s.Drain;
  d.Backlogged = d.Backlogged && size(s.Queue) > 0;
  const Duration span = now - d.WindowStart;
  if (span < DrainWindow)
    return;
  // A long span was quiet, so it says nothing either.
  if (span > DrainWindow * MostWindows)
    d.Backlogged = false;
  const double seconds = std::chrono::duration<double>(span).count();
  double all = 0;
  for (std::size_t i = 0; i < MaxTiers; ++i) {
    const double rate = static_cast<double>(d.WindowTokens[i]) / seconds;
    d.RateByTier[i] += DrainAlpha * (rate - d.RateByTier[i]);
    all += rate;
  }
  if (d.Backlogged || (d.Rate > 0 && all > d.Rate))
    d.Rate = d.Rate <= 0 ? all : d.Rate + DrainAlpha * (all - d.Rate);
  d.WindowTokens = {};
  d.WindowStart = now;
  d.Backlogged = size(s.Queue) > 0;
}

} // namespace

void enqueue(Scheduler &s, const Ticket &t, Time now) {
  s.LatestTime = std::max(s.LatestTime, now);
  if (find(s.Queue, t.Attempt) || s.OpenGrants.contains(t.Attempt))
    return;
  const TicketIndex idx = push(s.Queue, s.Policy, t, now);
  s.NewTickets.emplace_back(idx, s.Queue.Tickets[idx].Serial);
}

void cancel(Scheduler &s, AttemptId id) {
  if (const auto idx = find(s.Queue, id))
    remove(s.Queue, s.Policy, *idx, false);
  const auto og = closeGrant(s, id, s.LatestTime);
  if (og)
    learnSlow(s, *og, s.LatestTime);
}

void returnGrant(Scheduler &s, const GrantReturn &ret, Time now) {
  s.LatestTime = std::max(s.LatestTime, now);
  const auto it = s.OpenGrants.find(ret.Attempt);
  if (it == s.OpenGrants.end() || it->second.IssuedGrant.Id != ret.Id)
    return;
  const OpenGrant og = *closeGrant(s, ret.Attempt, now);
  ++s.Counts.Returned;
  if (!ret.Dispatched)
    ++s.Counts.Unused;
  else if (!ret.Cancelled)
    learnFrom(s, og, ret, now);
  updateAvailability(s, og.Account, now);
}

void announce(Scheduler &s, const Grant &g, VmId entry, Time now) {
  s.LatestTime = std::max(s.LatestTime, now);
  if (const auto idx = find(s.Queue, g.Attempt))
    remove(s.Queue, s.Policy, *idx, false);
  const auto before = closeGrant(s, g.Attempt, now);
  OpenGrant og;
  og.Rank.Rank = MaxTiers - 1;
  if (before && before->IssuedGrant.Id == g.Id)
    og = *before;
  else
    og.OpenedAt = now;
  og.IssuedGrant = g;
  og.Entry = entry;
  og.ExpiresAt = now + s.Policy.AnnouncedTtl;
  og.Class = sizeClass(s.Policy, g.Tokens);
  og.Account = findOrCreateAccount(s, g.Endpoint);
  if (og.OverdueAt == Time{})
    og.OverdueAt = overdueAt(s, og, now);
  openGrant(s, og, now);
  ++s.Counts.Announced;
}

void step(Scheduler &s, const ScheduleView &view, Time now,
          ScheduleActions &out) {
  ++s.Steps;
  s.LatestTime = std::max(s.LatestTime, now);
  lapse(s, now);
  noteOverdue(s, now);
  refreshSnapshot(s, view, now);
  refuseUnservable(s, out);
  admitFresh(s, now, out);
  refuseLate(s, now, out);
  shed(s, out);
  for (TierQueue &tier : s.Queue.Tiers)
    serveTier(s, view, tier, now, out);
  updateDrain(s, now);
  check(Invariant::SlotsBalance,
        s.OpenGrants.size() == s.GrantsByExpiry.size());
}

std::uint32_t inFlight(const Scheduler &s, EndpointId ep) noexcept {
  const auto it = s.AccountByEndpoint.find(ep);
  return it == s.AccountByEndpoint.end()
             ? 0
             : ownUsage(s.Accounts[it->second]).Slots;
}

} // namespace zinniagauge
