#include "zinniagauge/decide/place.h"

#include "zinniagauge/decide/reading.h"

#include <algorithm>
#include <array>

namespace zinniagauge {

namespace {

/// The most accounts that one placement looks at: in larger pools the next one
/// goes on where this one stopped.
constexpr std::size_t ScanLimit = 64;

/// An endpoint that is full costs this much more than an empty one, beyond
/// what its learnt speed says.
constexpr double FullPenalty = 0.25;

/// An endpoint that refused the last attempt is taken only if no other fits.
constexpr double AvoidPenalty = 1e3;

/// An endpoint this much slower than the fastest one is probed when its turn
/// comes, since its cost alone would never let it be chosen.
constexpr double SlowFactor = 2.0;

/// A probe must leave a ticket so many times the fastest service time.
constexpr int ProbeSlack = 4;

/// The top tier is used for probes only if the others haven't come by in this
/// many times SchedulePolicy::ProbeAfter.
constexpr int TopTierProbe = 3;

/// What is looked up once for a ticket.
struct Request {
  const QueuedTicket &Queued;
  const Prefix *Known = nullptr;
  std::uint32_t Tokens = 0;
  SizeClass Class = SizeClass::Small;
  Duration Least = Duration::zero(); // At the fastest endpoint.
};

/// The best account so far.
struct Best {
  std::optional<std::uint32_t> Account;
  double Cost = 0;
};

const Prefix *prefixOf(const Scheduler &s, const Ticket &t) noexcept {
  return s.Policy.Affinity ? findPrefix(s.Prefixes, t.PrefixHash) : nullptr;
}

Request requestOf(const Scheduler &s, const QueuedTicket &q) noexcept {
  Request r{q};
  r.Known = prefixOf(s, q.Asked);
  r.Tokens = tokensOf(q.Asked);
  r.Class = sizeClass(s.Policy, r.Tokens);
  r.Least = leastService(s, q.Asked);
  return r;
}

Duration serviceAt(const Scheduler &s, const EndpointAccount &acc,
                   const Request &r, Time now) noexcept {
  const Ticket &t = r.Queued.Asked;
  std::uint32_t prefill = t.PromptTokens;
  if (r.Known && holds(*r.Known, acc.Id, now - s.Policy.PrefixMaxAge))
    prefill -= savedTokens(*r.Known, prefill);
  return serviceTime(acc.Learnt, prefill, t.OutputTokens);
}

bool isAllowed(const Ticket &t, VersionId version) noexcept {
  if (t.Choice == VersionChoice::From)
    return version != t.MoveTo;
  return t.Choice != VersionChoice::To || version == t.MoveTo;
}

bool isProbe(const Scheduler &s, const EndpointAccount &acc, const Request &r,
             Time now) noexcept {
  const double fastest = s.Board.Fastest.TokenNanos;
  if (!isProbeDue(s.Policy, acc, now) ||
      acc.Learnt.TokenNanos < fastest * SlowFactor)
    return false;
  if (r.Queued.Asked.Rank == Tier{} &&
      now - acc.LastGrant < s.Policy.ProbeAfter * TopTierProbe)
    return false;
  return now + r.Least * ProbeSlack < r.Queued.Deadline;
}

/// Whether \p r may use \p acc at all, with room or without.
bool suits(const Scheduler &s, const EndpointAccount &acc, const Request &r,
           Duration service, Time now) noexcept {
  if (!isAllowed(r.Queued.Asked, acc.Version))
    return false;
  if (!s.Policy.EarlyRefusal || now + service <= r.Queued.Deadline)
    return true;
  return isProbeDue(s.Policy, acc, now);
}

bool hasRoom(const Scheduler &s, const EndpointAccount &acc,
             const Request &r) noexcept {
  if (acc.ClaimedBySmall == s.Steps)
    return false;
  const bool claimed = acc.ClaimedByLarge == s.Steps;
  if (claimed && r.Class == SizeClass::Large)
    return false;
  return acc.RoomIndex != 0 && fits(acc, r.Class, r.Tokens, claimed);
}

double costAt(const EndpointAccount &acc, const Request &r,
              Duration service) noexcept {
  const Usage own = ownUsage(acc);
  const double used =
      static_cast<double>(own.Slots + acc.Foreign.Slots) / acc.Slots;
  double cost = static_cast<double>(service.count()) + 1;
  cost *= 1 + FullPenalty * used;
  if (acc.Id == r.Queued.Asked.Avoid)
    cost *= AvoidPenalty;
  return cost;
}

/// Weighs account \p idx; returns whether it suits but has no room.
bool weigh(const Scheduler &s, std::uint32_t idx, const Request &r, Time now,
           Best &best) {
  const EndpointAccount &acc = s.Accounts[idx];
  const Duration service = serviceAt(s, acc, r, now);
  if (!suits(s, acc, r, service, now))
    return false;
  if (!hasRoom(s, acc, r))
    return true;
  const double cost = isProbe(s, acc, r, now) ? 0 : costAt(acc, r, service);
  if (!best.Account || cost < best.Cost)
    best = {idx, cost};
  return false;
}

void weighHolders(const Scheduler &s, const Request &r, Time now, Best &best) {
  if (!r.Known)
    return;
  const Time since = now - s.Policy.PrefixMaxAge;
  for (const PrefixHolder &h : r.Known->Holders) {
    const auto it = s.ByEndpoint.find(h.Endpoint);
    if (h.Used > since && it != s.ByEndpoint.end())
      (void)weigh(s, it->second, r, now, best);
  }
}

void claim(Scheduler &s, const Request &r,
           std::span<const std::uint32_t> full) noexcept {
  for (const std::uint32_t idx : full) {
    EndpointAccount &acc = s.Accounts[idx];
    (r.Class == SizeClass::Small ? acc.ClaimedBySmall : acc.ClaimedByLarge) =
        s.Steps;
  }
}

Best weighAll(Scheduler &s, const Request &r, Time now) {
  Best best;
  weighHolders(s, r, now, best);
  std::array<std::uint32_t, ScanLimit> full{};
  std::size_t nfull = 0;
  const std::size_t size = s.WithRoom.size();
  const std::size_t n = std::min(size, ScanLimit);
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint32_t idx = s.WithRoom[(s.ScanFrom + i) % size];
    if (weigh(s, idx, r, now, best))
      full[nfull++] = idx;
  }
  s.ScanFrom += static_cast<std::uint32_t>(n == size ? 1 : n);
  if (!best.Account)
    claim(s, r, std::span(full).first(nfull));
  return best;
}

/// The version moved to first, while it has room.
Best weighMovedTo(const Scheduler &s, const Request &r, Time now) {
  Best best;
  for (const std::uint32_t idx : s.WithRoom)
    if (s.Accounts[idx].Version == r.Queued.Asked.MoveTo)
      (void)weigh(s, idx, r, now, best);
  return best;
}

} // namespace

bool isServable(const UsableCount &usable, const Ticket &t) noexcept {
  if (t.Choice == VersionChoice::Any || t.Choice == VersionChoice::PreferTo)
    return usable.All > 0;
  const auto it =
      std::find_if(usable.ByVersion.begin(), usable.ByVersion.end(),
                   [&](const auto &row) { return row.first == t.MoveTo; });
  const std::uint32_t to = it == usable.ByVersion.end() ? 0 : it->second;
  return t.Choice == VersionChoice::To ? to > 0 : usable.All > to;
}

std::optional<std::uint32_t> place(Scheduler &s, const QueuedTicket &q,
                                   Time now) {
  const Request r = requestOf(s, q);
  if (q.Asked.Choice == VersionChoice::PreferTo ||
      q.Asked.Choice == VersionChoice::To) {
    const Best best = weighMovedTo(s, r, now);
    if (best.Account)
      return best.Account;
  }
  return weighAll(s, r, now).Account;
}

std::optional<std::uint32_t> placeAtHolder(const Scheduler &s,
                                           const QueuedTicket &q, Time now) {
  if (!s.Policy.Affinity || !findPrefix(s.Prefixes, q.Asked.PrefixHash))
    return std::nullopt;
  // The version comes before the prefix.
  if (q.Asked.Choice == VersionChoice::PreferTo)
    return std::nullopt;
  Best best;
  weighHolders(s, requestOf(s, q), now, best);
  return best.Account;
}

Duration leastService(const Scheduler &s, const Ticket &t) noexcept {
  std::uint32_t prefill = t.PromptTokens;
  if (const Prefix *p = prefixOf(s, t))
    prefill -= savedTokens(*p, prefill);
  return serviceTime(s.Board.Fastest, prefill, t.OutputTokens);
}

bool isTooLate(const Scheduler &s, const QueuedTicket &q, Time now) noexcept {
  if (q.Deadline <= now)
    return true;
  return s.Policy.EarlyRefusal && !s.Board.ProbeDue &&
         now + leastService(s, q.Asked) > q.Deadline;
}

} // namespace zinniagauge
