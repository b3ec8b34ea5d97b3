// The scheduler of one pool: tickets wait in order of tier, and grants go out
// as endpoints have room.
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

/// What the scheduler reads of the board, as views of sections that a read
/// guard keeps alive for the call.
struct ScheduleView {
  const Bundle &ActiveBundle;
  const EndpointList &Endpoints;
  const MoveList &Moves;
};

/// A refused ticket.
struct Refusal {
  AttemptId Attempt;
  VmId Entry;
  RefusalReason Reason = RefusalReason::Shed;
};

/// What a step decided; the caller sends it to the entries.
struct ScheduleActions {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// A grant that has not been returned.
struct OpenGrant {
  Grant IssuedGrant;
  VmId Entry;
  Time OpenedAt; // On this scheduler's clock.
  Time ExpiresAt;
  Time OverdueAt; // When it takes longer than it should.
  SizeClass Class = SizeClass::Small;
  std::uint32_t Account = 0; // Index into Scheduler::Accounts.
  std::uint64_t PrefixHash = 0;
  Tier Rank; // The lowest, if only an announcement told of it.
  std::uint32_t OutputTokens = 0; // As the ticket estimated them.
};

/// What a scheduler has done since it started. Nothing here ever falls.
struct ScheduleCounts {
  std::uint64_t Granted = 0;
  std::uint64_t Returned = 0;
  std::uint64_t Unused = 0;  // Returned without a dispatch.
  std::uint64_t Expired = 0; // Neither returned nor announced in time.
  std::uint64_t Announced = 0;
  std::uint64_t Probes = 0;
  std::uint64_t ShedTickets = 0;
  std::uint64_t LateTickets = 0;
  std::uint64_t UnservableTickets = 0; // No endpoint may serve them.
  std::uint64_t PrefixHits = 0;        // Grants to a likely holder.
  std::uint64_t WastedPrefillTokens = 0;
};

/// How many endpoints may be used, in all and by version.
struct UsableCount {
  std::uint32_t All = 0;
  std::vector<std::pair<VersionId, std::uint32_t>> ByVersion;
};

/// What is read of the board now and then, instead of at each ticket.
struct BoardSnapshot {
  const Bundle *LastBundle = nullptr; // Compared only, never followed.
  const EndpointList *LastEndpoints = nullptr;
  const MoveList *LastMoves = nullptr;
  std::uint64_t LastBundleVersion = 0;
  Time ReadAt;
  std::vector<std::pair<std::uint32_t, std::uint32_t>>
      PoolEndpoints; // Indexes of the
                     // pool's endpoints in the bundle and in Accounts.
  std::vector<VersionId> ExcludedVersions; // Bad or taken back.
  UsableCount Usable;
  bool UsableChanged = false;    // And the queue wasn't looked through since.
  Speed FastestSpeed;            // Of the usable endpoints, part by part.
  std::uint32_t UsableSlots = 0; // Of the usable endpoints.
  std::uint32_t SlotsInUse = 0;
  bool ProbeDue = false; // Some endpoint had nothing for a while.
};

/// How fast a pool serves while tickets wait, in granted tokens a second.
struct DrainRate {
  Time WindowStart;
  bool Backlogged = false; // Throughout the window so far.
  double Rate = 0;         // Zero: not known yet.
  std::array<std::uint64_t, MaxTiers> WindowTokens{}; // Tokens granted in it.
  std::array<double, MaxTiers> RateByTier{};          // Tokens a second.
};

/// The slots that small tickets use, by tier, and what that makes large ones
/// leave free.
struct SmallTicketDemand {
  std::array<std::uint32_t, MaxTiers> InUse{}; // Now.
  std::array<double, MaxTiers> MeanInUse{};    // Lately.
  std::array<double, MaxTiers> ReserveShare{}; // Share of all slots that large
                                               // tickets of the tier leave.
};

/// The state of one pool's scheduler. Only the functions below change it.
struct Scheduler {
  PoolId Pool;
  VmId Self;
  std::uint64_t Incarnation = 0;
  ZoneId Zone; // Only endpoints of this zone are used; zero: all.
  SchedulePolicy Policy;

  std::uint64_t NextGrant = 1;
  TicketQueue Queue;
  std::vector<std::pair<TicketIndex, std::uint32_t>>
      NewTickets; // With serials.
  std::unordered_map<AttemptId, OpenGrant, AttemptHash> OpenGrants;
  std::set<std::pair<Time, AttemptId>> GrantsByExpiry;
  std::set<std::pair<Time, AttemptId>>
      GrantsByOverdueTime; // Should be done by then.
  std::vector<EndpointAccount> Accounts;
  std::vector<std::uint32_t> FreeAccounts;
  std::unordered_map<EndpointId, std::uint32_t> AccountByEndpoint;
  std::vector<std::uint32_t>
      AvailableAccounts; // Accounts that may get a ticket.
  PrefixTable Prefixes;
  BoardSnapshot Snapshot;
  DrainRate Drain;
  Time LatestTime; // The latest time that any call was told.
  std::array<Time, MaxTiers> LastSmallTicketAt; // The last small ticket let in.
  struct SmallTicketDemand SmallDemand;
  std::uint64_t Steps = 0;
  std::uint32_t ScanStart = 0; // Where the next look over WithRoom starts.
  ScheduleCounts Counts;
};

/// Queues \p t. A ticket whose attempt is known already is ignored, so a
/// repeated message does no harm.
void enqueue(Scheduler &s, const Ticket &t, Time now);

/// Forgets the ticket or open grant of \p id: its caller has left. If a grant
/// was open for longer than it should take, the endpoint is taken for slower.
void cancel(Scheduler &s, AttemptId id);

/// Takes a grant back and learns from what the entry saw. A return of another
/// grant than the one that is open for the attempt frees nothing.
void returnGrant(Scheduler &s, const GrantReturn &ret, Time now);

/// Takes over a grant in use, whoever gave it: another scheduler, this one
/// before a restart, or this one itself. The grant keeps its slot for
/// SchedulePolicy::AnnouncedHold, so entries announce each grant in use about
/// every second, and at once to a new scheduler.
void announce(Scheduler &s, const Grant &g, VmId entry, Time now);

/// Grants and refuses what it can now. Appends to \p out. To be called after
/// each batch of the calls above, when the board has changed, and every 20 ms
/// while tickets wait.
void step(Scheduler &s, const ScheduleView &view, Time now,
          ScheduleActions &out);

/// How many grants are open at \p ep.
[[nodiscard]] std::uint32_t inFlight(const Scheduler &s,
                                     EndpointId ep) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SCHEDULE_H
