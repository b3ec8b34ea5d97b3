#include "zinniagauge/decide/placement.h"

#include "zinniagauge/decide/board_snapshot.h"

#include <algorithm>
#include <array>

namespace zinniagauge {

namespace {

/// The most accounts that one placement looks at: in larger pools the next one
/// goes on where this one stopped.
constexpr std::size_t ScanLimit = 64;

/// An endpoint that is full costs this much more than an empty one, beyond
/// what its learnt speed says: enough to spread equal ones.
constexpr double FullPenalty = 0.05;

/// The least weight of decoding, see decodeWeight.
constexpr double LeastDecodeWeight = 0.01;

/// A ticket holds out for its prefix at most this share of its spare time.
constexpr double HoldShare = 0.15;

/// In the busiest pool a second of prefill is worth so many of waiting.
constexpr double MostHold = 32;

/// While small tickets have come within this time, room is kept for them.
constexpr Duration SmallWindow = std::chrono::seconds(10);

/// An endpoint that refused the last attempt is taken only if no other fits.
constexpr double AvoidPenalty = 1e3;

/// An endpoint this much slower than the fastest one is probed when its turn
/// comes, since its cost alone would never let it be chosen.
constexpr double SlowFactor = 1.5;

/// A probe must leave a ticket so many times the fastest service time.
constexpr int ProbeSlack = 4;

/// In times of SchedulePolicy::ProbeAfter: how long a probe waits for a ticket
/// that can bear it, and for one that is not of the top tier.
constexpr int Patience = 3;
constexpr int TopTierPatience = 10;

/// What is looked up once for a ticket.
struct Request {
  const QueuedTicket &Queued;
  const Prefix *Known = nullptr;
  SizeClass Class = SizeClass::Small;
  CapacityRequest Room = {};
  Duration Least = Duration::zero(); // At the fastest endpoint.
};

/// The best account so far.
struct Best {
  std::optional<std::uint32_t> Account;
  double Cost = 0;
  bool Waits = false;
};

const Prefix *prefixOf(const Scheduler &s, const Ticket &t) noexcept {
  return s.Policy.Affinity ? findPrefix(s.Prefixes, t.PrefixHash) : nullptr;
}

/// Large tickets keep room for small ones of their tier or a higher one, while
/// such come.
ReserveUse reserveUse(const Scheduler &s, SizeClass cls, Tier rank,
                      Time now) noexcept {
  if (cls == SizeClass::Small)
    return ReserveUse::Ignore;
  const std::size_t n = std::min<std::size_t>(rank.Rank + 1U, MaxTiers);
  const auto seen = std::span(s.LastSmallTicketAt).first(n);
  const bool any = std::any_of(seen.begin(), seen.end(), [&](Time at) {
    return at != Time{} && now - at < SmallWindow;
  });
  return any ? ReserveUse::Preserve : ReserveUse::Ignore;
}

Request requestOf(const Scheduler &s, const QueuedTicket &q,
                  Time now) noexcept {
  Request r{q};
  r.Known = prefixOf(s, q.SubmittedTicket);
  r.Room.Tokens = tokensOf(q.SubmittedTicket);
  r.Class = sizeClass(s.Policy, r.Room.Tokens);
  r.Room.Use = reserveUse(s, r.Class, q.SubmittedTicket.Rank, now);
  r.Room.ReserveShare = s.SmallDemand.ReserveShare[std::min<std::size_t>(
      q.SubmittedTicket.Rank.Rank, MaxTiers - 1)];
  r.Least = minServiceTime(s, q.SubmittedTicket);
  return r;
}

/// What a request takes at one endpoint.
struct Service {
  Duration Prefill = Duration::zero();
  Duration Decode = Duration::zero();
};

Service serviceAt(const Scheduler &s, const EndpointAccount &acc,
                  const Request &r, Time now) noexcept {
  const Ticket &t = r.Queued.SubmittedTicket;
  std::uint32_t prefill = t.PromptTokens;
  if (r.Known && isHeldBy(*r.Known, acc.Id, now - s.Policy.PrefixMaxAge))
    prefill -= savedTokens(*r.Known, prefill);
  return {serviceTime(acc.LearntSpeed, prefill, 0),
          serviceTime(acc.LearntSpeed, 0, t.OutputTokens)};
}

bool inTime(const Service &service, const Request &r, Time now) noexcept {
  return now + service.Prefill + service.Decode <= r.Queued.Deadline;
}

bool isAllowed(const Ticket &t, VersionId version) noexcept {
  if (t.Choice == VersionChoice::ExceptNew)
    return version != t.NewVersion;
  return t.Choice != VersionChoice::NewOnly || version == t.NewVersion;
}

/// Whether \p r should find out whether \p acc is still slow: one that can bear
/// it at the learnt speed, or, if none such comes by, one with ample time. The
/// top tier comes last.
bool isProbe(const Scheduler &s, const EndpointAccount &acc, const Request &r,
             const Service &service, Time now) noexcept {
  const double fastest = s.Snapshot.FastestSpeed.DecodeNanosPerToken;
  if (!isProbeDue(s.Policy, acc, now) ||
      acc.LearntSpeed.DecodeNanosPerToken < fastest * SlowFactor)
    return false;
  if (inTime(service, r, now))
    return true;
  const bool top = r.Queued.SubmittedTicket.Rank == Tier{};
  const Duration idle = now - acc.LastGrantAt;
  return idle >= s.Policy.ProbeInterval * (top ? TopTierPatience : Patience) &&
         now + r.Least * ProbeSlack < r.Queued.Deadline;
}

/// Whether \p r may use \p acc at all, with room or without.
bool suits(const Scheduler &s, const EndpointAccount &acc, const Request &r,
           const Service &service, Time now) noexcept {
  return isAllowed(r.Queued.SubmittedTicket, acc.Version) &&
         (!s.Policy.EarlyRefusal || inTime(service, r, now) ||
          isProbe(s, acc, r, service, now));
}

bool hasRoom(const Scheduler &s, const EndpointAccount &acc,
             const Request &r) noexcept {
  if (acc.SmallClaimStep == s.Steps)
    return false;
  const bool claimed = acc.LargeClaimStep == s.Steps;
  const bool behind =
      isHigher(acc.LargeClaimTier, r.Queued.SubmittedTicket.Rank);
  if (claimed && (r.Class == SizeClass::Large || behind))
    return false;
  CapacityRequest want = r.Room;
  if (claimed)
    want.Use = ReserveUse::OnlyReserve;
  return acc.AvailableIndex != 0 && hasCapacity(acc, want);
}

/// How much it matters that an endpoint decodes faster: the busier the pool,
/// the less, since all its slots will be taken anyway and only the prefill
/// that is saved makes room for more.
double decodeWeight(const Scheduler &s) noexcept {
  const double idle = 1 - static_cast<double>(s.Snapshot.SlotsInUse) /
                              std::max(s.Snapshot.UsableSlots, 1U);
  return std::max(idle * idle * idle, LeastDecodeWeight);
}

double costAt(const Scheduler &s, const EndpointAccount &acc, const Request &r,
              const Service &service) noexcept {
  const Usage own = ownUsage(acc);
  const double used =
      static_cast<double>(own.Slots + acc.ExternalUsage.Slots) / acc.Slots;
  double cost = 1 + static_cast<double>(service.Decode.count());
  cost *= decodeWeight(s) * (1 + FullPenalty * used);
  cost += static_cast<double>(service.Prefill.count());
  if (acc.Id == r.Queued.SubmittedTicket.AvoidEndpoint)
    cost = (cost + 1) * AvoidPenalty;
  return cost;
}

/// Weighs account \p idx; returns whether it suits but has no room.
bool weigh(const Scheduler &s, std::uint32_t idx, const Request &r, Time now,
           Best &best) {
  const EndpointAccount &acc = s.Accounts[idx];
  const Service service = serviceAt(s, acc, r, now);
  if (!suits(s, acc, r, service, now))
    return false;
  if (!hasRoom(s, acc, r))
    return true;
  const double cost =
      isProbe(s, acc, r, service, now) ? 0 : costAt(s, acc, r, service);
  if (!best.Account || cost < best.Cost)
    best = {idx, cost, false};
  return false;
}

void weighHolders(const Scheduler &s, const Request &r, Time now, Best &best) {
  if (!r.Known)
    return;
  const Time since = now - s.Policy.PrefixMaxAge;
  for (const PrefixHolder &h : r.Known->Holders) {
    const auto it = s.AccountByEndpoint.find(h.Endpoint);
    if (h.LastUsedAt > since && it != s.AccountByEndpoint.end())
      (void)weigh(s, it->second, r, now, best);
  }
}

void claim(Scheduler &s, const Request &r,
           std::span<const std::uint32_t> full) noexcept {
  for (const std::uint32_t idx : full) {
    EndpointAccount &acc = s.Accounts[idx];
    if (r.Class == SizeClass::Small) {
      acc.SmallClaimStep = s.Steps;
      continue;
    }
    acc.LargeClaimStep = s.Steps;
    acc.LargeClaimTier = r.Queued.SubmittedTicket.Rank;
  }
}

Best weighAll(Scheduler &s, const Request &r, Time now) {
  Best best;
  weighHolders(s, r, now, best);
  std::array<std::uint32_t, ScanLimit> full{};
  std::size_t nfull = 0;
  const std::size_t size = s.AvailableAccounts.size();
  const std::size_t n = std::min(size, ScanLimit);
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint32_t idx = s.AvailableAccounts[(s.ScanStart + i) % size];
    if (weigh(s, idx, r, now, best))
      full[nfull++] = idx;
  }
  s.ScanStart += static_cast<std::uint32_t>(n == size ? 1 : n);
  if (!best.Account)
    claim(s, r, std::span(full).first(nfull));
  best.Waits = !best.Account && nfull > 0;
  return best;
}

/// The version moved to first, while it has room.
Best weighMovedTo(const Scheduler &s, const Request &r, Time now) {
  Best best;
  for (const std::uint32_t idx : s.AvailableAccounts)
    if (s.Accounts[idx].Version == r.Queued.SubmittedTicket.NewVersion)
      (void)weigh(s, idx, r, now, best);
  return best;
}

} // namespace

bool isServable(const UsableCount &usable, const Ticket &t) noexcept {
  if (t.Choice == VersionChoice::Any || t.Choice == VersionChoice::PreferNew)
    return usable.All > 0;
  const auto it =
      std::find_if(usable.ByVersion.begin(), usable.ByVersion.end(),
                   [&](const auto &row) { return row.first == t.NewVersion; });
  const std::uint32_t to = it == usable.ByVersion.end() ? 0 : it->second;
  return t.Choice == VersionChoice::NewOnly ? to > 0 : usable.All > to;
}

Placement placeTicket(Scheduler &s, const QueuedTicket &q, Time now) {
  const Request r = requestOf(s, q, now);
  if (q.SubmittedTicket.Choice == VersionChoice::PreferNew ||
      q.SubmittedTicket.Choice == VersionChoice::NewOnly) {
    const Best best = weighMovedTo(s, r, now);
    if (best.Account)
      return {best.Account, false};
  }
  const Best best = weighAll(s, r, now);
  return {best.Account, best.Waits};
}

std::optional<std::uint32_t>
placeAtPrefixHolder(const Scheduler &s, const QueuedTicket &q, Time now) {
  if (!s.Policy.Affinity ||
      !findPrefix(s.Prefixes, q.SubmittedTicket.PrefixHash))
    return std::nullopt;
  // The version comes before the prefix.
  if (q.SubmittedTicket.Choice == VersionChoice::PreferNew)
    return std::nullopt;
  Best best;
  weighHolders(s, requestOf(s, q, now), now, best);
  return best.Account;
}

bool shouldWaitForPrefix(const Scheduler &s, const QueuedTicket &q, Time now) {
  const Prefix *p = prefixOf(s, q.SubmittedTicket);
  if (!p)
    return false;
  const Duration saved =
      serviceTime(s.Snapshot.FastestSpeed,
                  savedTokens(*p, q.SubmittedTicket.PromptTokens), 0);
  const Duration spare =
      q.Deadline - q.ArrivedAt - minServiceTime(s, q.SubmittedTicket);
  const double worth = std::min(1 / decodeWeight(s), MostHold);
  const double most = std::min(static_cast<double>(saved.count()) * worth,
                               static_cast<double>(spare.count()) * HoldShare);
  if (static_cast<double>((now - q.ArrivedAt).count()) >= most)
    return false;
  const Request r = requestOf(s, q, now);
  return std::any_of(p->Holders.begin(), p->Holders.end(), [&](const auto &h) {
    const auto it = s.AccountByEndpoint.find(h.Endpoint);
    if (it == s.AccountByEndpoint.end() ||
        h.LastUsedAt <= now - s.Policy.PrefixMaxAge)
      return false;
    const EndpointAccount &acc = s.Accounts[it->second];
    return acc.Usable && acc.Failures == 0 &&
           suits(s, acc, r, serviceAt(s, acc, r, now), now);
  });
}

Duration minServiceTime(const Scheduler &s, const Ticket &t) noexcept {
  std::uint32_t prefill = t.PromptTokens;
  if (const Prefix *p = prefixOf(s, t))
    prefill -= savedTokens(*p, prefill);
  return serviceTime(s.Snapshot.FastestSpeed, prefill, t.OutputTokens);
}

bool isTooLate(const Scheduler &s, const QueuedTicket &q, Time now) noexcept {
  if (q.Deadline <= now)
    return true;
  return s.Policy.EarlyRefusal && !s.Snapshot.ProbeDue &&
         now + minServiceTime(s, q.SubmittedTicket) > q.Deadline;
}

} // namespace zinniagauge
