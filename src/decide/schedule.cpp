// Scheduling steps: admits, refuses, sheds and grants tickets, and learns from
// returned grants.
#include "zinniagauge/decide/schedule.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/board_snapshot.h"
#include "zinniagauge/decide/placement.h"

#include <algorithm>
#include <array>
#include <optional>

namespace zinniagauge {

namespace {

/// The window over which the drain rate is measured, and the weight of the
/// newest window in the average.
constexpr Duration DrainWindow = std::chrono::milliseconds(500);
constexpr double DrainAlpha = 0.3;
constexpr int MaxDrainWindows = 4;

/// The smallest share of a pool's drain rate that a lower tier is assumed to
/// get.
constexpr double MinTierShare = 0.02;

/// A grant is overdue after this many times its expected service time, but not
/// before MinOverdueTime.
constexpr int OverdueFactor = 2;
constexpr Duration MinOverdueTime = std::chrono::milliseconds(500);

/// The number of tickets that are considered for one whose prefix an endpoint
/// holds.
constexpr std::size_t MaxCandidates = 32;

std::size_t indexOf(Tier t) noexcept {
  return std::min<std::size_t>(t.Rank, MaxTiers - 1);
}

std::uint32_t promptOf(const OpenGrant &og) noexcept {
  return og.IssuedGrant.Tokens -
         std::min(og.IssuedGrant.Tokens, og.OutputTokens);
}

/// Lowers the speed estimate of the endpoint if \p og has been open for longer
/// than expected.
void learnFromUnfinished(Scheduler &s, const OpenGrant &og, Time now) noexcept {
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

void expireGrants(Scheduler &s, Time now) {
  while (!s.GrantsByExpiry.empty() && s.GrantsByExpiry.begin()->first <= now) {
    const AttemptId id = s.GrantsByExpiry.begin()->second;
    (void)closeGrant(s, id, now);
    ++s.Counts.Expired;
  }
}

/// When \p og becomes overdue; the margin keeps grants of ordinary duration
/// from being counted.
Time overdueAt(const Scheduler &s, const OpenGrant &og, Time now) noexcept {
  const Duration expected = serviceTime(s.Accounts[og.Account].LearntSpeed,
                                        promptOf(og), og.OutputTokens);
  return now + std::max(expected * OverdueFactor, MinOverdueTime);
}

/// Updates speed estimates from overdue grants without waiting for their
/// responses.
void learnFromOverdue(Scheduler &s, Time now) {
  while (!s.GrantsByOverdueTime.empty() &&
         s.GrantsByOverdueTime.begin()->first <= now) {
    const AttemptId id = s.GrantsByOverdueTime.begin()->second;
    s.GrantsByOverdueTime.erase(s.GrantsByOverdueTime.begin());
    OpenGrant &og = s.OpenGrants.at(id);
    learnFromUnfinished(s, og, now);
    og.OverdueAt = overdueAt(s, og, now);
    s.GrantsByOverdueTime.insert({og.OverdueAt, id});
  }
}

/// Stops granting at an endpoint that failed or refused, until its backoff has
/// passed.
void startBackoff(Scheduler &s, EndpointAccount &acc, Time now) {
  constexpr std::uint32_t MaxDoublings = 10;
  const std::uint32_t n = std::min(acc.Failures, MaxDoublings);
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

void learnFromReturn(Scheduler &s, const OpenGrant &og, const GrantReturn &ret,
                     Time now) {
  EndpointAccount &acc = s.Accounts[og.Account];
  if (ret.RefusedByEndpoint || ret.EndpointFailed) {
    startBackoff(s, acc, now);
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

/// The estimated queueing time of a new ticket.
Duration expectedWait(const Scheduler &s, const Ticket &t) noexcept {
  const DrainRate &d = s.Drain;
  if (d.Rate <= 0)
    return Duration::zero();
  double ownrate = d.Rate;
  for (std::size_t i = 0; i < indexOf(t.Rank); ++i)
    ownrate -= d.RateByTier[i];
  ownrate = std::max(ownrate, d.Rate * MinTierShare);
  const WorkAhead ahead = tokensAhead(s.Queue, s.Policy, t);
  const double seconds = static_cast<double>(ahead.HigherTierTokens) / d.Rate +
                         static_cast<double>(ahead.SameTierTokens) / ownrate;
  return Duration(static_cast<std::int64_t>(1e9 * seconds));
}

/// Makes large tickets leave capacity free for small ones of this tier from now
/// on.
void recordSmallTicket(Scheduler &s, const Ticket &t, Time now) noexcept {
  if (sizeClass(s.Policy, tokensOf(t)) == SizeClass::Small)
    s.LastSmallTicketAt[indexOf(t.Rank)] = now;
}

void admitTicket(Scheduler &s, TicketIndex idx, Time now,
                 ScheduleActions &out) {
  const QueuedTicket &q = s.Queue.Tickets[idx];
  if (!isServable(s.Snapshot.Usable, q.SubmittedTicket)) {
    refuse(s, idx, RefusalReason::NoEndpoint, out);
    return;
  }
  if (!s.Policy.EarlyRefusal) {
    recordSmallTicket(s, q.SubmittedTicket, now);
    return;
  }
  const Duration service = minServiceTime(s, q.SubmittedTicket);
  const Duration wait = expectedWait(s, q.SubmittedTicket);
  if (isTooLate(s, q, now) || now + wait + service > q.Deadline)
    return refuse(s, idx, RefusalReason::TooLate, out);
  recordSmallTicket(s, q.SubmittedTicket, now);
  if (!s.Snapshot.ProbeDue)
    setLatestStart(s.Queue, idx, q.Deadline - service);
}

void admitNewTickets(Scheduler &s, Time now, ScheduleActions &out) {
  for (const auto &[idx, serial] : s.NewTickets) {
    const QueuedTicket &q = s.Queue.Tickets[idx];
    if (q.Queued && q.Serial == serial)
      admitTicket(s, idx, now, out);
  }
  s.NewTickets.clear();
}

/// After the set of usable endpoints has changed, refuses the tickets that none
/// of them may serve, the lowest tier first.
void refuseUnservable(Scheduler &s, ScheduleActions &out) {
  if (!s.Snapshot.UsableChanged)
    return;
  s.Snapshot.UsableChanged = false;
  std::vector<TicketIndex> unservable;
  for (const auto &[id, idx] : s.Queue.ByAttempt)
    if (!isServable(s.Snapshot.Usable, s.Queue.Tickets[idx].SubmittedTicket))
      unservable.push_back(idx);
  const auto &all = s.Queue.Tickets;
  std::sort(unservable.begin(), unservable.end(),
            [&](TicketIndex a, TicketIndex b) {
              const Ticket &x = all[a].SubmittedTicket;
              const Ticket &y = all[b].SubmittedTicket;
              return x.Rank != y.Rank ? isHigher(y.Rank, x.Rank)
                                      : x.Attempt < y.Attempt;
            });
  for (const TicketIndex idx : unservable)
    refuse(s, idx, RefusalReason::NoEndpoint, out);
}

void refuseLateTickets(Scheduler &s, Time now, ScheduleActions &out) {
  auto &all = s.Queue.ByLatestStart;
  while (!all.empty() && all.begin()->first <= now)
    refuse(s, all.begin()->second, RefusalReason::TooLate, out);
}

bool lowerTierWaits(const TicketQueue &q, Tier rank) noexcept {
  const auto from =
      q.Tiers.begin() + static_cast<std::ptrdiff_t>(indexOf(rank));
  return std::any_of(from + 1, q.Tiers.end(),
                     [](const TierQueue &t) { return t.Count > 0; });
}

void shedExcess(Scheduler &s, ScheduleActions &out) {
  while (size(s.Queue) > s.Policy.MaxQueued) {
    const auto idx = ticketToShed(s.Queue);
    if (!idx)
      return;
    const Tier rank = s.Queue.Tickets[*idx].SubmittedTicket.Rank;
    check(Invariant::TierOrder, !lowerTierWaits(s.Queue, rank));
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

void recordGrant(Scheduler &s, const Ticket &t, EndpointAccount &acc,
                 Time now) {
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
  recordGrant(s, t, acc, now);
  openGrant(s, og, now);
  out.Grants.push_back(og.IssuedGrant);
}

/// A ticket and the account that it is granted at.
struct Match {
  TicketIndex Ticket = 0;
  std::optional<std::uint32_t> Account;
};

/// The first ticket whose prefix is held by an endpoint with capacity
/// available.
Match matchPrefix(const Scheduler &s, std::span<const TicketIndex> next,
                  Time now) {
  for (const TicketIndex idx : next)
    if (const auto account = placeAtPrefixHolder(s, s.Queue.Tickets[idx], now))
      return {idx, account};
  return {};
}

/// Chooses the first ticket and the endpoint that serves it soonest. A later
/// ticket of \p next goes first if an endpoint that holds its prefix has
/// capacity available; the deficit of its workspace is charged for it. If only
/// endpoints that are too slow for the first ticket have capacity, a ticket
/// with a later deadline is placed there.
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

/// Grants or refuses one ticket of \p lane. Returns false if there is no
/// capacity for any of them.
bool serveLane(Scheduler &s, const ScheduleView &view, Lane &lane, Time now,
               ScheduleActions &out) {
  std::array<TicketIndex, MaxCandidates> buf{};
  const auto next = nextCandidates(s.Queue, lane, buf);
  if (isTooLate(s, s.Queue.Tickets[next.front()], now)) {
    refuse(s, next.front(), RefusalReason::TooLate, out);
    return true;
  }
  const Match m = match(s, next, now);
  if (!m.Account)
    return false;
  if (!mayServe(s, view, s.Accounts[*m.Account])) {
    s.Snapshot.LastBundle = nullptr; // Forces a read: the board has changed.
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
  // A much longer window includes time in which no ticket waited, so it doesn't
  // show how fast the pool can serve.
  if (span > DrainWindow * MaxDrainWindows)
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
    learnFromUnfinished(s, *og, s.LatestTime);
}

void returnGrant(Scheduler &s, const GrantReturn &ret, Time now) {
  s.LatestTime = std::max(s.LatestTime, now);
  const auto it = s.OpenGrants.find(ret.Attempt);
  if (it == s.OpenGrants.end() || it->second.IssuedGrant.Id != ret.Id)
    return;
  const OpenGrant og = *closeGrant(s, ret.Attempt, now);
  ++s.Counts.Returned;
  if (!ret.Dispatched)
    ++s.Counts.ReturnedUnused;
  else if (!ret.Cancelled)
    learnFromReturn(s, og, ret, now);
  updateAvailability(s, og.Account, now);
}

void announce(Scheduler &s, const Grant &g, VmId entry, Time now) {
  s.LatestTime = std::max(s.LatestTime, now);
  if (const auto idx = find(s.Queue, g.Attempt))
    remove(s.Queue, s.Policy, *idx, false);
  const auto previous = closeGrant(s, g.Attempt, now);
  OpenGrant og;
  og.Rank.Rank = MaxTiers - 1;
  if (previous && previous->IssuedGrant.Id == g.Id)
    og = *previous;
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
  expireGrants(s, now);
  learnFromOverdue(s, now);
  refreshSnapshot(s, view, now);
  refuseUnservable(s, out);
  admitNewTickets(s, now, out);
  refuseLateTickets(s, now, out);
  shedExcess(s, out);
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
