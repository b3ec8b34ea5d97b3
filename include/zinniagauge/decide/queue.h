// The tickets that wait at a scheduler: by tier, then in lanes of equal
// needs, then by workspace under deficit round robin, then by deadline.
#ifndef ZINNIAGAUGE_DECIDE_QUEUE_H
#define ZINNIAGAUGE_DECIDE_QUEUE_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/ticket.h"
#include "zinniagauge/decide/endpoint_account.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinniagauge {

/// Hashes an attempt for the tables below.
struct AttemptHash {
  std::size_t operator()(const AttemptId &id) const noexcept {
    return std::hash<RequestId>{}(id.Request) ^
           (id.Number * 0xC2B2AE3D27D4EB4FU);
  }
};

/// Names a queued ticket while it is queued; numbers are used again.
using TicketIndex = std::uint32_t;

/// A ticket in the queue.
struct QueuedTicket {
  Ticket SubmittedTicket;
  Time ArrivedAt;
  Time Deadline;
  Time LatestStart;         // Granted later, it would miss its deadline.
  std::uint32_t Serial = 0; // Tells users of one TicketIndex apart.
  bool Queued = false;
};

/// The tickets of one workspace in one lane.
struct WorkspaceQueue {
  WorkspaceId Workspace;
  std::int64_t Deficit = 0; // In tokens; at zero and below it must wait.
  std::set<std::pair<Time, TicketIndex>> ByDeadline;
};

/// Tickets of a tier with one size class and one version choice: if the first
/// finds no room, nor do the others.
struct Lane {
  std::list<WorkspaceQueue>
      ActiveQueues; // Lines that have tickets; the first one is next.
  std::unordered_map<WorkspaceId, std::list<WorkspaceQueue>::iterator>
      ByWorkspace;
  std::size_t Count = 0;
  std::uint64_t Tokens = 0;
  std::uint32_t Quantum = 1; // Tokens of the largest ticket seen: the quantum.
  double ServedTokens = 0;   // Tokens, in the tier's virtual time.
};

/// The number of lanes of a tier.
inline constexpr std::size_t LaneCount = SizeClassCount * 4;

/// What one workspace has waiting in a tier.
struct WorkspaceBacklog {
  std::uint64_t Tokens = 0;
  std::uint32_t Weight = 1;
};

/// The tickets of one tier.
struct TierQueue {
  std::array<Lane, LaneCount> Lanes;
  std::size_t Count = 0;
  std::uint64_t Tokens = 0;
  double VirtualTime =
      0; // Tokens served, as the least served busy lane has it.
  std::uint64_t ActiveWeight = 0; // Of the workspaces that wait.
  std::unordered_map<WorkspaceId, WorkspaceBacklog> Backlogs;
  std::set<std::pair<double, WorkspaceId>>
      WorkspacesByBacklog; // Tokens by weight.
};

/// All tickets that wait at a scheduler.
struct TicketQueue {
  std::array<TierQueue, MaxTiers> Tiers;
  std::vector<QueuedTicket> Tickets; // Indexed by TicketIndex.
  std::vector<TicketIndex> FreeIndexes;
  std::unordered_map<AttemptId, TicketIndex, AttemptHash> ByAttempt;
  std::set<std::pair<Time, TicketIndex>> ByLatestStart;
  std::unordered_map<WorkspaceId, std::uint32_t>
      WorkspaceWeights; // Of the bundle.
};

/// The tokens that \p t takes at an endpoint; at least one.
[[nodiscard]] std::uint32_t tokensOf(const Ticket &t) noexcept;

/// The number of the lane of \p t.
[[nodiscard]] std::size_t laneIndex(const SchedulePolicy &policy,
                                    const Ticket &t) noexcept;

/// How many tickets wait.
[[nodiscard]] std::size_t size(const TicketQueue &q) noexcept;

/// The ticket of \p id, if it waits.
[[nodiscard]] std::optional<TicketIndex> find(const TicketQueue &q,
                                              AttemptId id) noexcept;

/// Queues \p t, whose attempt must not be queued yet.
TicketIndex push(TicketQueue &q, const SchedulePolicy &policy, const Ticket &t,
                 Time now);

/// Takes the ticket \p idx out. If it was granted, its lane and line are
/// charged for it.
void remove(TicketQueue &q, const SchedulePolicy &policy, TicketIndex idx,
            bool granted);

/// Sets when \p idx has to start at the latest.
void setLatestStart(TicketQueue &q, TicketIndex idx, Time at);

/// The lanes of \p tier that have tickets, the least served first. Returns the
/// part of \p buf that was written.
[[nodiscard]] std::span<std::size_t>
busyLanes(const TierQueue &tier, std::span<std::size_t, LaneCount> buf);

/// The tickets that \p lane may grant next, in order of preference: the first
/// of the line whose turn it is, then a few that may be preferred if they suit
/// an endpoint better, with the latest deadline of each line. Gives lines their
/// credit. Returns the part of \p buf that was written; empty only if the lane
/// is.
[[nodiscard]] std::span<TicketIndex>
nextCandidates(const TicketQueue &q, Lane &lane, std::span<TicketIndex> buf);

/// The ticket to shed: of the lowest tier that waits, of the workspace with
/// most waiting for its weight, the one with the latest deadline.
[[nodiscard]] std::optional<TicketIndex> ticketToShed(const TicketQueue &q);

/// The tokens that are likely to be served before a ticket.
struct WorkAhead {
  std::uint64_t HigherTierTokens = 0; // Of higher tiers.
  std::uint64_t SameTierTokens = 0;   // Of its own tier.
};

/// What is ahead of \p t, which was queued just now.
[[nodiscard]] WorkAhead tokensAhead(const TicketQueue &q,
                                    const SchedulePolicy &policy,
                                    const Ticket &t) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_QUEUE_H
