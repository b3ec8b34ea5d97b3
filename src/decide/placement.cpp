// Compares the endpoints that a ticket may use by cost.
#include "zinniagauge/decide/placement.h"

#include "zinniagauge/decide/board_snapshot.h"

#include <algorithm>
#include <array>

namespace zinniagauge {

namespace {

/// The maximum number of accounts that one placement examines. In a larger pool
/// the next placement continues where this one stopped.
constexpr std::size_t ScanLimit = 64;

/// The cost of a full endpoint exceeds that of an empty one by this share, in
/// addition to the difference in learnt speed. It spreads the load over
/// endpoints of equal speed.
constexpr double FullPenalty = 0.05;

/// The lower bound of decodeWeight.
constexpr double MinDecodeWeight = 0.01;

/// The maximum share of its spare time that a ticket waits for an endpoint that
/// holds its prefix.
constexpr double MaxWaitShare = 0.15;

/// The maximum number of seconds of waiting that one second of saved prefill is
/// worth; reached in the busiest pool.
constexpr double MaxPrefillWorth = 32;

/// Capacity is reserved for small tickets if one was admitted within this time.
constexpr Duration SmallWindow = std::chrono::seconds(10);

/// The cost factor of the endpoint that refused the last attempt, so that it is
/// chosen only if no other one is suitable.
constexpr double AvoidPenalty = 1e3;

/// An endpoint that is slower than the fastest one by this factor is chosen for
/// a probe regardless of its cost, because the cost would never let it be
/// chosen.
constexpr double SlowFactor = 1.5;

/// A probe must leave a ticket this many times the fastest service time until
/// its deadline.
constexpr int ProbeSlack = 4;

/// In multiples of SchedulePolicy::ProbeInterval: how long an idle endpoint
/// waits for a ticket that would meet its deadline at the learnt speed. After
/// that any ticket with enough time left may probe it, and one of the top tier
/// only after the longer of the two times.
constexpr int ProbeWaitFactor = 3;
constexpr int TopTierProbeWaitFactor = 10;

/// The properties of a ticket that are looked up once per placement.
struct Request {
  const QueuedTicket &Queued;
  const Prefix *KnownPrefix = nullptr;
  SizeClass Class = SizeClass::Small;
  CapacityRequest Capacity = {};
  Duration MinService = Duration::zero(); // At the fastest endpoint.
};

/// The account with the lowest cost so far.
struct BestAccount {
  std::optional<std::uint32_t> Account;
  double Cost = 0;
  bool WaitsForCapacity = false;
};

const Prefix *prefixOf(const Scheduler &s, const Ticket &t) noexcept {
  return s.Policy.Affinity ? findPrefix(s.Prefixes, t.PrefixHash) : nullptr;
}

/// Large tickets leave capacity for small ones of their own and higher tiers
/// while such tickets arrive.
ReserveUse reserveUse(const Scheduler &s, SizeClass cls, Tier rank,
                      Time now) noexcept {
  if (cls == SizeClass::Small)
    return ReserveUse::Ignore;
  const std::size_t n = std::min<std::size_t>(rank.Rank + 1U, MaxTiers);
  const auto times = std::span(s.LastSmallTicketAt).first(n);
  const bool any = std::any_of(times.begin(), times.end(), [&](Time at) {
    return at != Time{} && now - at < SmallWindow;
  });
  return any ? ReserveUse::Preserve : ReserveUse::Ignore;
}

Request requestOf(const Scheduler &s, const QueuedTicket &q,
                  Time now) noexcept {
  Request r{q};
  r.KnownPrefix = prefixOf(s, q.SubmittedTicket);
  r.Capacity.Tokens = tokensOf(q.SubmittedTicket);
  r.Class = sizeClass(s.Policy, r.Capacity.Tokens);
  r.Capacity.Use = reserveUse(s, r.Class, q.SubmittedTicket.Rank, now);
  r.Capacity.ReserveShare = s.SmallDemand.ReserveShare[std::min<std::size_t>(
      q.SubmittedTicket.Rank.Rank, MaxTiers - 1)];
  r.MinService = minServiceTime(s, q.SubmittedTicket);
  return r;
}

/// The service time of a request at one endpoint.
struct Service {
  Duration Prefill = Duration::zero();
  Duration Decode = Duration::zero();
};

Service serviceAt(const Scheduler &s, const EndpointAccount &acc,
                  const Request &r, Time now) noexcept {
  const Ticket &t = r.Queued.SubmittedTicket;
  std::uint32_t prefill = t.PromptTokens;
  if (r.KnownPrefix &&
      isHeldBy(*r.KnownPrefix, acc.Id, now - s.Policy.PrefixMaxAge))
    prefill -= savedTokens(*r.KnownPrefix, prefill);
  return {serviceTime(acc.LearntSpeed, prefill, 0),
          serviceTime(acc.LearntSpeed, 0, t.OutputTokens)};
}

bool meetsDeadline(const Service &service, const Request &r,
                   Time now) noexcept {
  return now + service.Prefill + service.Decode <= r.Queued.Deadline;
}

bool isAllowed(const Ticket &t, VersionId version) noexcept {
  if (t.Choice == VersionChoice::ExceptNew)
    return version != t.NewVersion;
  return t.Choice != VersionChoice::NewOnly || version == t.NewVersion;
}

/// Whether \p r should be used to probe whether \p acc is still slow. A ticket
/// that meets its deadline at the learnt speed is preferred; if none arrives,
/// one with enough time left is used, and one of the top tier last.
bool isProbe(const Scheduler &s, const EndpointAccount &acc, const Request &r,
             const Service &service, Time now) noexcept {
  const double fastest = s.Snapshot.FastestSpeed.DecodeNanosPerToken;
  if (!isProbeDue(s.Policy, acc, now) ||
      acc.LearntSpeed.DecodeNanosPerToken < fastest * SlowFactor)
    return false;
  if (meetsDeadline(service, r, now))
    return true;
  const bool top = r.Queued.SubmittedTicket.Rank == Tier{};
  const Duration idle = now - acc.LastGrantAt;
  return idle >= s.Policy.ProbeInterval *
                     (top ? TopTierProbeWaitFactor : ProbeWaitFactor) &&
         now + r.MinService * ProbeSlack < r.Queued.Deadline;
}

/// Whether \p r may use \p acc, regardless of its available capacity.
bool isSuitable(const Scheduler &s, const EndpointAccount &acc,
                const Request &r, const Service &service, Time now) noexcept {
  return isAllowed(r.Queued.SubmittedTicket, acc.Version) &&
         (!s.Policy.EarlyRefusal || meetsDeadline(service, r, now) ||
          isProbe(s, acc, r, service, now));
}

bool hasFreeCapacity(const Scheduler &s, const EndpointAccount &acc,
                     const Request &r) noexcept {
  if (acc.SmallClaimStep == s.Steps)
    return false;
  const bool claimed = acc.LargeClaimStep == s.Steps;
  const bool outranked =
      isHigher(acc.LargeClaimTier, r.Queued.SubmittedTicket.Rank);
  if (claimed && (r.Class == SizeClass::Large || outranked))
    return false;
  CapacityRequest want = r.Capacity;
  if (claimed)
    want.Use = ReserveUse::OnlyReserve;
  return acc.AvailableIndex != 0 && hasCapacity(acc, want);
}

/// The weight of decoding speed in the cost. It falls as the pool gets busier:
/// then all slots will be used anyway, and only saved prefill frees capacity.
double decodeWeight(const Scheduler &s) noexcept {
  const double idle = 1 - static_cast<double>(s.Snapshot.SlotsInUse) /
                              std::max(s.Snapshot.UsableSlots, 1U);
  return std::max(idle * idle * idle, MinDecodeWeight);
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

/// Compares account \p idx with \p best. Returns true if it is suitable but has
/// no capacity.
bool evaluate(const Scheduler &s, std::uint32_t idx, const Request &r, Time now,
              BestAccount &best) {
  const EndpointAccount &acc = s.Accounts[idx];
  const Service service = serviceAt(s, acc, r, now);
  if (!isSuitable(s, acc, r, service, now))
    return false;
  if (!hasFreeCapacity(s, acc, r))
    return true;
  const double cost =
      isProbe(s, acc, r, service, now) ? 0 : costAt(s, acc, r, service);
  if (!best.Account || cost < best.Cost)
    best = {idx, cost, false};
  return false;
}

void evaluateHolders(const Scheduler &s, const Request &r, Time now,
                     BestAccount &best) {
  if (!r.KnownPrefix)
    return;
  const Time since = now - s.Policy.PrefixMaxAge;
  for (const PrefixHolder &h : r.KnownPrefix->Holders) {
    const auto it = s.AccountByEndpoint.find(h.Endpoint);
    if (h.LastUsedAt > since && it != s.AccountByEndpoint.end())
      (void)evaluate(s, it->second, r, now, best);
  }
}

void claimCapacity(Scheduler &s, const Request &r,
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

BestAccount evaluateAvailable(Scheduler &s, const Request &r, Time now) {
  BestAccount best;
  evaluateHolders(s, r, now, best);
  std::array<std::uint32_t, ScanLimit> full{};
  std::size_t nfull = 0;
  const std::size_t size = s.AvailableAccounts.size();
  const std::size_t n = std::min(size, ScanLimit);
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint32_t idx = s.AvailableAccounts[(s.ScanStart + i) % size];
    if (evaluate(s, idx, r, now, best))
      full[nfull++] = idx;
  }
  s.ScanStart += static_cast<std::uint32_t>(n == size ? 1 : n);
  if (!best.Account)
    claimCapacity(s, r, std::span(full).first(nfull));
  best.WaitsForCapacity = !best.Account && nfull > 0;
  return best;
}

/// The best account that runs the version that the pool is being moved to.
BestAccount evaluateNewVersion(const Scheduler &s, const Request &r, Time now) {
  BestAccount best;
  for (const std::uint32_t idx : s.AvailableAccounts)
    if (s.Accounts[idx].Version == r.Queued.SubmittedTicket.NewVersion)
      (void)evaluate(s, idx, r, now, best);
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
    const BestAccount best = evaluateNewVersion(s, r, now);
    if (best.Account)
      return {best.Account, false};
  }
  const BestAccount best = evaluateAvailable(s, r, now);
  return {best.Account, best.WaitsForCapacity};
}

std::optional<std::uint32_t>
placeAtPrefixHolder(const Scheduler &s, const QueuedTicket &q, Time now) {
  if (!s.Policy.Affinity ||
      !findPrefix(s.Prefixes, q.SubmittedTicket.PrefixHash))
    return std::nullopt;
  // The version has priority over the cached prefix.
  if (q.SubmittedTicket.Choice == VersionChoice::PreferNew)
    return std::nullopt;
  BestAccount best;
  evaluateHolders(s, requestOf(s, q, now), now, best);
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
  const double worth = std::min(1 / decodeWeight(s), MaxPrefillWorth);
  const double maxwait =
      std::min(static_cast<double>(saved.count()) * worth,
               static_cast<double>(spare.count()) * MaxWaitShare);
  if (static_cast<double>((now - q.ArrivedAt).count()) >= maxwait)
    return false;
  const Request r = requestOf(s, q, now);
  return std::any_of(p->Holders.begin(), p->Holders.end(), [&](const auto &h) {
    const auto it = s.AccountByEndpoint.find(h.Endpoint);
    if (it == s.AccountByEndpoint.end() ||
        h.LastUsedAt <= now - s.Policy.PrefixMaxAge)
      return false;
    const EndpointAccount &acc = s.Accounts[it->second];
    return acc.Usable && acc.Failures == 0 &&
           isSuitable(s, acc, r, serviceAt(s, acc, r, now), now);
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
