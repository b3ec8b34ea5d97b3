#include "zinniagauge/decide/schedule.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/place.h"
#include "zinniagauge/decide/reading.h"

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
  return og.Given.Tokens - std::min(og.Given.Tokens, og.OutputTokens);
}

/// An unfinished grant may show that its endpoint is slower than was thought.
void learnSlow(Scheduler &s, const OpenGrant &og, Time now) noexcept {
  if (og.OutputTokens > 0)
    learnUnfinished(s.Accounts[og.Account].Learnt, now - og.Opened,
                    promptOf(og), og.OutputTokens);
}

void openGrant(Scheduler &s, const OpenGrant &og, Time now) {
  EndpointAccount &acc = s.Accounts[og.Account];
  take(acc, og.Class, og.Given.Tokens);
  if (og.Class == SizeClass::Small)
    ++s.SmallDemand.InUse[indexOf(og.Rank)];
  s.Open.emplace(og.Given.Attempt, og);
  s.ByLapse.insert({og.Lapses, og.Given.Attempt});
  s.ByOverdue.insert({og.Overdue, og.Given.Attempt});
  updateRoom(s, og.Account, now);
}

/// Closes the open grant of \p id and returns it.
std::optional<OpenGrant> closeGrant(Scheduler &s, AttemptId id, Time now) {
  const auto it = s.Open.find(id);
  if (it == s.Open.end())
    return std::nullopt;
  const OpenGrant og = it->second;
  s.Open.erase(it);
  s.ByLapse.erase({og.Lapses, id});
  s.ByOverdue.erase({og.Overdue, id});
  release(s.Accounts[og.Account], og.Class, og.Given.Tokens);
  if (og.Class == SizeClass::Small)
    --s.SmallDemand.InUse[indexOf(og.Rank)];
  updateRoom(s, og.Account, now);
  return og;
}

void lapse(Scheduler &s, Time now) {
  while (!s.ByLapse.empty() && s.ByLapse.begin()->first <= now) {
    const AttemptId id = s.ByLapse.begin()->second;
    (void)closeGrant(s, id, now);
    ++s.Counts.Lapsed;
  }
}

/// Until when \p og should be done, with a margin that lets ordinary ones pass.
Time overdueAt(const Scheduler &s, const OpenGrant &og, Time now) noexcept {
  const Duration expected =
      serviceTime(s.Accounts[og.Account].Learnt, promptOf(og), og.OutputTokens);
  return now + std::max(expected * OverdueFactor, LeastOverdue);
}

/// Learns from grants that take too long before their answers come.
void noteOverdue(Scheduler &s, Time now) {
  while (!s.ByOverdue.empty() && s.ByOverdue.begin()->first <= now) {
    const AttemptId id = s.ByOverdue.begin()->second;
    s.ByOverdue.erase(s.ByOverdue.begin());
    OpenGrant &og = s.Open.at(id);
    learnSlow(s, og, now);
    og.Overdue = overdueAt(s, og, now);
    s.ByOverdue.insert({og.Overdue, id});
  }
}

/// The endpoint failed or refused: it gets nothing for a while.
void backOff(Scheduler &s, EndpointAccount &acc, Time now) {
  constexpr std::uint32_t MostDoublings = 10;
  const std::uint32_t n = std::min(acc.Failures, MostDoublings);
  ++acc.Failures;
  acc.NotBefore =
      now + std::min(s.Policy.FirstBackoff * (1U << n), s.Policy.LastBackoff);
}

void learnPrefix(Scheduler &s, const OpenGrant &og, const GrantReturn &ret,
                 Time now) {
  const Prefix *p = findPrefix(s.Prefixes, og.PrefixHash);
  const Time since = now - s.Policy.PrefixMaxAge;
  if (p && p->Tokens > ret.CachedTokens &&
      heldElsewhere(*p, ret.Endpoint, since))
    s.Counts.WastedPrefillTokens += p->Tokens - ret.CachedTokens;
  notePrefix(s.Prefixes, og.PrefixHash, ret.Endpoint, ret.CachedTokens, now);
}

void learnFrom(Scheduler &s, const OpenGrant &og, const GrantReturn &ret,
               Time now) {
  EndpointAccount &acc = s.Accounts[og.Account];
  if (ret.Refused || ret.Broken) {
    backOff(s, acc, now);
    return;
  }
  acc.Failures = 0;
  acc.NotBefore = {};
  const bool stale = now - acc.LastSample > s.Policy.ProbeAfter;
  learn(acc.Learnt, ret, og.OutputTokens, stale);
  acc.LastSample = now;
  learnPrefix(s, og, ret, now);
}

void refuse(Scheduler &s, TicketIndex idx, RefusalReason reason,
            ScheduleChanges &out) {
  const Ticket t = s.Queue.Tickets[idx].Asked;
  remove(s.Queue, s.Policy, idx, false);
  out.Refusals.push_back({t.Attempt, t.Entry, reason});
  if (reason == RefusalReason::Shed)
    ++s.Counts.ShedTickets;
  else if (reason == RefusalReason::TooLate)
    ++s.Counts.LateTickets;
  else
    ++s.Counts.UnplacedTickets;
}

/// How long a new ticket is likely to wait.
Duration expectedWait(const Scheduler &s, const Ticket &t) noexcept {
  const DrainRate &d = s.Drain;
  if (d.Rate <= 0)
    return Duration::zero();
  double left = d.Rate;
  for (std::size_t i = 0; i < indexOf(t.Rank); ++i)
    left -= d.ByTier[i];
  left = std::max(left, d.Rate * LeastShare);
  const Ahead ahead = tokensAhead(s.Queue, s.Policy, t);
  const double seconds = static_cast<double>(ahead.Higher) / d.Rate +
                         static_cast<double>(ahead.Same) / left;
  return Duration(static_cast<std::int64_t>(1e9 * seconds));
}

/// From now on, large tickets leave room for small ones of this tier.
void noteSmall(Scheduler &s, const Ticket &t, Time now) noexcept {
  if (sizeClass(s.Policy, tokensOf(t)) == SizeClass::Small)
    s.SmallSeen[indexOf(t.Rank)] = now;
}

void admitOne(Scheduler &s, TicketIndex idx, Time now, ScheduleChanges &out) {
  const QueuedTicket &q = s.Queue.Tickets[idx];
  if (!isServable(s.Board.Usable, q.Asked)) {
    refuse(s, idx, RefusalReason::NoEndpoint, out);
    return;
  }
  if (!s.Policy.EarlyRefusal) {
    noteSmall(s, q.Asked, now);
    return;
  }
  const Duration least = leastService(s, q.Asked);
  const Duration wait = expectedWait(s, q.Asked);
  if (isTooLate(s, q, now) || now + wait + least > q.Deadline)
    return refuse(s, idx, RefusalReason::TooLate, out);
  noteSmall(s, q.Asked, now);
  if (!s.Board.ProbeDue)
    setLatestStart(s.Queue, idx, q.Deadline - least);
}

void admitFresh(Scheduler &s, Time now, ScheduleChanges &out) {
  for (const auto &[idx, serial] : s.Fresh) {
    const QueuedTicket &q = s.Queue.Tickets[idx];
    if (q.Queued && q.Serial == serial)
      admitOne(s, idx, now, out);
  }
  s.Fresh.clear();
}

/// After a change of the endpoints that may be used: refuses what none of them
/// may serve, the lowest tier first.
void refuseUnservable(Scheduler &s, ScheduleChanges &out) {
  if (!s.Board.UsableChanged)
    return;
  s.Board.UsableChanged = false;
  std::vector<TicketIndex> gone;
  for (const auto &[id, idx] : s.Queue.ByAttempt)
    if (!isServable(s.Board.Usable, s.Queue.Tickets[idx].Asked))
      gone.push_back(idx);
  const auto &all = s.Queue.Tickets;
  std::sort(gone.begin(), gone.end(), [&](TicketIndex a, TicketIndex b) {
    const Ticket &x = all[a].Asked;
    const Ticket &y = all[b].Asked;
    return x.Rank != y.Rank ? isHigher(y.Rank, x.Rank) : x.Attempt < y.Attempt;
  });
  for (const TicketIndex idx : gone)
    refuse(s, idx, RefusalReason::NoEndpoint, out);
}

void refuseLate(Scheduler &s, Time now, ScheduleChanges &out) {
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

void shed(Scheduler &s, ScheduleChanges &out) {
  while (size(s.Queue) > s.Policy.MaxQueued) {
    const auto idx = leastWanted(s.Queue);
    if (!idx)
      return;
    const Tier rank = s.Queue.Tickets[*idx].Asked.Rank;
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
  g.Issued = now;
  g.Ttl = s.Policy.GrantTtl;
  return g;
}

void notePlaced(Scheduler &s, const Ticket &t, EndpointAccount &acc, Time now) {
  if (isProbeDue(s.Policy, acc, now)) {
    ++s.Counts.Probes;
    s.Board.ProbeDue = false;
  }
  const Prefix *p = findPrefix(s.Prefixes, t.PrefixHash);
  if (p && holds(*p, acc.Id, now - s.Policy.PrefixMaxAge))
    ++s.Counts.PrefixHits;
  if (s.Policy.Affinity)
    notePrefix(s.Prefixes, t.PrefixHash, acc.Id, 0, now);
  acc.LastGrant = now;
  ++s.Counts.Granted;
  s.Drain.Window[indexOf(t.Rank)] += tokensOf(t);
}

void grantAt(Scheduler &s, TicketIndex idx, std::uint32_t account, Time now,
             ScheduleChanges &out) {
  const Ticket t = s.Queue.Tickets[idx].Asked;
  EndpointAccount &acc = s.Accounts[account];
  remove(s.Queue, s.Policy, idx, true);
  OpenGrant og;
  og.Given = makeGrant(s, t, acc, now);
  og.Entry = t.Entry;
  og.Opened = now;
  og.Lapses = now + s.Policy.GrantTtl + s.Policy.LapseMargin;
  og.Class = sizeClass(s.Policy, og.Given.Tokens);
  og.Account = account;
  og.PrefixHash = t.PrefixHash;
  og.OutputTokens = t.OutputTokens;
  og.Rank = t.Rank;
  og.Overdue = overdueAt(s, og, now);
  notePlaced(s, t, acc, now);
  openGrant(s, og, now);
  out.Grants.push_back(og.Given);
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
    if (const auto account = placeAtHolder(s, s.Queue.Tickets[idx], now))
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
    if (holdsOut(s, s.Queue.Tickets[idx], now))
      continue;
    const Placement p = place(s, s.Queue.Tickets[idx], now);
    if (p.Account || p.Waits)
      return {idx, p.Account};
  }
  return {};
}

/// Grants or refuses one ticket of \p lane; false if none of them finds room.
bool serveLane(Scheduler &s, const ScheduleView &view, Lane &lane, Time now,
               ScheduleChanges &out) {
  std::array<TicketIndex, LookAhead> buf{};
  const auto next = nextOf(s.Queue, lane, buf);
  if (isTooLate(s, s.Queue.Tickets[next.front()], now)) {
    refuse(s, next.front(), RefusalReason::TooLate, out);
    return true;
  }
  const Match m = match(s, next, now);
  if (!m.Account)
    return false;
  if (!mayServe(s, view, s.Accounts[*m.Account])) {
    s.Board.Read = nullptr; // The board has changed since it was read.
    readBoard(s, view, now);
    return true;
  }
  const EndpointState *st =
      findState(view.Endpoints, s.Accounts[*m.Account].Id);
  if (!check(Invariant::LeavingGetsNone,
             !st || (!st->Leaving && !st->Draining)))
    return false;
  grantAt(s, m.Ticket, *m.Account, now, out);
  return true;
}

void serveTier(Scheduler &s, const ScheduleView &view, TierQueue &tier,
               Time now, ScheduleChanges &out) {
  std::array<bool, LaneCount> full{};
  std::array<std::size_t, LaneCount> buf{};
  while (tier.Count > 0 && !s.WithRoom.empty()) {
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
    const double rate = static_cast<double>(d.Window[i]) / seconds;
    d.ByTier[i] += DrainAlpha * (rate - d.ByTier[i]);
    all += rate;
  }
  if (d.Backlogged || (d.Rate > 0 && all > d.Rate))
    d.Rate = d.Rate <= 0 ? all : d.Rate + DrainAlpha * (all - d.Rate);
  d.Window = {};
  d.WindowStart = now;
  d.Backlogged = size(s.Queue) > 0;
}

} // namespace

void enqueue(Scheduler &s, const Ticket &t, Time now) {
  s.Latest = std::max(s.Latest, now);
  if (find(s.Queue, t.Attempt) || s.Open.contains(t.Attempt))
    return;
  const TicketIndex idx = push(s.Queue, s.Policy, t, now);
  s.Fresh.emplace_back(idx, s.Queue.Tickets[idx].Serial);
}

void cancel(Scheduler &s, AttemptId id) {
  if (const auto idx = find(s.Queue, id))
    remove(s.Queue, s.Policy, *idx, false);
  const auto og = closeGrant(s, id, s.Latest);
  if (og)
    learnSlow(s, *og, s.Latest);
}

void giveBack(Scheduler &s, const GrantReturn &ret, Time now) {
  s.Latest = std::max(s.Latest, now);
  const auto it = s.Open.find(ret.Attempt);
  if (it == s.Open.end() || it->second.Given.Id != ret.Id)
    return;
  const OpenGrant og = *closeGrant(s, ret.Attempt, now);
  ++s.Counts.Returned;
  if (!ret.Dispatched)
    ++s.Counts.Unused;
  else if (!ret.Cancelled)
    learnFrom(s, og, ret, now);
  updateRoom(s, og.Account, now);
}

void announce(Scheduler &s, const Grant &g, VmId entry, Time now) {
  s.Latest = std::max(s.Latest, now);
  if (const auto idx = find(s.Queue, g.Attempt))
    remove(s.Queue, s.Policy, *idx, false);
  const auto before = closeGrant(s, g.Attempt, now);
  OpenGrant og;
  og.Rank.Rank = MaxTiers - 1;
  if (before && before->Given.Id == g.Id)
    og = *before;
  else
    og.Opened = now;
  og.Given = g;
  og.Entry = entry;
  og.Lapses = now + s.Policy.AnnouncedHold;
  og.Class = sizeClass(s.Policy, g.Tokens);
  og.Account = accountOf(s, g.Endpoint);
  if (og.Overdue == Time{})
    og.Overdue = overdueAt(s, og, now);
  openGrant(s, og, now);
  ++s.Counts.Announced;
}

void step(Scheduler &s, const ScheduleView &view, Time now,
          ScheduleChanges &out) {
  ++s.Steps;
  s.Latest = std::max(s.Latest, now);
  lapse(s, now);
  noteOverdue(s, now);
  readBoard(s, view, now);
  refuseUnservable(s, out);
  admitFresh(s, now, out);
  refuseLate(s, now, out);
  shed(s, out);
  for (TierQueue &tier : s.Queue.Tiers)
    serveTier(s, view, tier, now, out);
  updateDrain(s, now);
  check(Invariant::SlotsBalance, s.Open.size() == s.ByLapse.size());
}

std::uint32_t inFlight(const Scheduler &s, EndpointId ep) noexcept {
  const auto it = s.ByEndpoint.find(ep);
  return it == s.ByEndpoint.end() ? 0 : ownUsage(s.Accounts[it->second]).Slots;
}

} // namespace zinniagauge
