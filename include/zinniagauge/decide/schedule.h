// The scheduler of one pool: queues tickets by tier and issues grants as
// endpoints have capacity available.
#ifndef ZINNIAGAUGE_DECIDE_SCHEDULE_H
#define ZINNIAGAUGE_DECIDE_SCHEDULE_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/ticket.h"
#include "zinniagauge/decide/affinity.h"
#include "zinniagauge/decide/endpoint_account.h"
#include "zinniagauge/decide/policy.h"
#include "zinniagauge/decide/queue.h"

#include <array>
#include <cstdint>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinniagauge {

/// The sections of the board that a scheduler reads. The caller keeps them
/// valid for the call, usually with a read guard.
struct ScheduleView {
  const Bundle &ActiveBundle;
  const EndpointList &Endpoints;
  const MoveList &Moves;
};

/// A ticket that the scheduler refused, and why.
struct Refusal {
  AttemptId Attempt;
  VmId Entry;
  RefusalReason Reason = RefusalReason::Shed;
};

/// The decisions of one step; the caller sends them to the entries.
struct ScheduleActions {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// A grant that has not been returned and has not expired.
struct OpenGrant {
  Grant IssuedGrant;
  VmId Entry;
  Time OpenedAt; // On this scheduler's clock.
  Time ExpiresAt;
  Time OverdueAt; // From then on the grant counts as slow.
  SizeClass Class = SizeClass::Small;
  std::uint32_t Account = 0; // Index into Scheduler::Accounts.
  std::uint64_t PrefixHash = 0;
  /// The lowest tier if the grant is known only from an announcement.
  Tier Rank;
  std::uint32_t OutputTokens = 0; // The estimate from the ticket.
};

/// Monotonic counters of a scheduler since it started.
struct ScheduleCounts {
  std::uint64_t Granted = 0;
  std::uint64_t Returned = 0;
  std::uint64_t ReturnedUnused = 0; // Returned without a dispatch.
  std::uint64_t Expired = 0;        // Neither returned nor announced in time.
  std::uint64_t Announced = 0;
  std::uint64_t Probes = 0;
  std::uint64_t ShedTickets = 0;
  std::uint64_t LateTickets = 0;
  std::uint64_t UnservableTickets = 0; // No endpoint may serve them.
  std::uint64_t PrefixHits = 0;        // Grants to a probable prefix holder.
  std::uint64_t WastedPrefillTokens = 0;
};

/// The number of usable endpoints, in total and by version.
struct UsableCount {
  std::uint32_t All = 0;
  std::vector<std::pair<VersionId, std::uint32_t>> ByVersion;
};

/// The state read from the board periodically, instead of for each ticket.
struct BoardSnapshot {
  /// Compared by address, never dereferenced.
  const Bundle *LastBundle = nullptr;
  const EndpointList *LastEndpoints = nullptr;
  const MoveList *LastMoves = nullptr;
  std::uint64_t LastBundleVersion = 0;
  Time ReadAt;
  /// Index in Bundle::Endpoints and index in Scheduler::Accounts of each
  /// endpoint of the pool.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> PoolEndpoints;
  std::vector<VersionId> ExcludedVersions; // Found bad, or rolled back.
  UsableCount Usable;
  /// Set until the queue has been checked for tickets that no endpoint can
  /// serve any more.
  bool UsableChanged = false;
  Speed FastestSpeed;            // The lowest times among the usable endpoints.
  std::uint32_t UsableSlots = 0; // Total slots of the usable endpoints.
  std::uint32_t SlotsInUse = 0;
  /// Some usable endpoint has been idle for the probe interval.
  bool ProbeDue = false;
};

/// The rate at which a pool serves while tickets wait, in granted tokens per
/// second.
struct DrainRate {
  Time WindowStart;
  /// Tickets have waited throughout the current window.
  bool Backlogged = false;
  double Rate = 0; // Tokens per second; zero: not yet known.
  /// Tokens granted in the current window.
  std::array<std::uint64_t, MaxTiers> WindowTokens{};
  std::array<double, MaxTiers> RateByTier{}; // Tokens per second.
};

/// The slots that small tickets use, by tier, and the share of slots that large
/// tickets therefore leave free.
struct SmallTicketDemand {
  std::array<std::uint32_t, MaxTiers> InUse{}; // Current value.
  std::array<double, MaxTiers> MeanInUse{};    // Moving average.
  /// Share of all slots that large tickets of the tier leave free.
  std::array<double, MaxTiers> ReserveShare{};
};

/// The state of one pool's scheduler. Only the functions below change it.
struct Scheduler {
  PoolId Pool;
  VmId Self;
  std::uint64_t Incarnation = 0;
  ZoneId Zone; // Only endpoints of this zone are used; zero: all zones.
  SchedulePolicy Policy;

  std::uint64_t NextGrant = 1;
  TicketQueue Queue;
  /// Index and serial of each ticket queued since the last step.
  std::vector<std::pair<TicketIndex, std::uint32_t>> NewTickets;
  std::unordered_map<AttemptId, OpenGrant, AttemptHash> OpenGrants;
  std::set<std::pair<Time, AttemptId>> GrantsByExpiry;
  /// Ordered by OpenGrant::OverdueAt.
  std::set<std::pair<Time, AttemptId>> GrantsByOverdueTime;
  std::vector<EndpointAccount> Accounts;
  std::vector<std::uint32_t> FreeAccounts;
  std::unordered_map<EndpointId, std::uint32_t> AccountByEndpoint;
  /// Indexes of accounts that may receive a ticket.
  std::vector<std::uint32_t> AvailableAccounts;
  PrefixTable Prefixes;
  BoardSnapshot Snapshot;
  DrainRate Drain;
  Time LatestTime; // The latest time passed to any of the functions below.
  /// When the last small ticket of each tier was admitted.
  std::array<Time, MaxTiers> LastSmallTicketAt;
  struct SmallTicketDemand SmallDemand;
  std::uint64_t Steps = 0;
  /// Where the next scan of AvailableAccounts starts.
  std::uint32_t ScanStart = 0;
  ScheduleCounts Counts;
};

/// Queues \p t. Ignores a ticket whose attempt is already queued or granted, so
/// delivering a message twice has no effect.
void enqueue(Scheduler &s, const Ticket &t, Time now);

/// Removes the ticket or the open grant of \p id because its caller has
/// disconnected. If the grant was open for longer than expected, the estimate
/// of the endpoint's speed is lowered.
void cancel(Scheduler &s, AttemptId id);

/// Closes the grant that \p ret returns and updates the estimates from the
/// results that the entry measured. Has no effect if another grant is open for
/// the attempt.
void returnGrant(Scheduler &s, const GrantReturn &ret, Time now);

/// Records a grant that is in use. It may have been issued by another
/// scheduler, by this one before a restart, or by this one in its current run.
/// The grant keeps its slot for SchedulePolicy::AnnouncedTtl, so entries
/// announce each grant in use about once a second, and immediately to a new
/// scheduler.
void announce(Scheduler &s, const Grant &g, VmId entry, Time now);

/// Issues all grants and refusals that are possible at \p now and appends them
/// to \p out. Call it after each batch of the calls above, after a change of
/// the board, and every 20 ms while tickets wait.
void step(Scheduler &s, const ScheduleView &view, Time now,
          ScheduleActions &out);

/// The number of open grants at \p ep.
[[nodiscard]] std::uint32_t inFlight(const Scheduler &s,
                                     EndpointId ep) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SCHEDULE_H
