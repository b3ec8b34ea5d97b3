// The tickets that wait at a scheduler, ordered by tier, then by lane (tickets
// with the same requirements), then by workspace under deficit round robin,
// then by deadline.
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

/// Hashes an attempt id for the tables below.
struct AttemptHash {
  std::size_t operator()(const AttemptId &id) const noexcept {
    return std::hash<RequestId>{}(id.Request) ^
           (id.Number * 0xC2B2AE3D27D4EB4FU);
  }
};

/// Identifies a ticket while it is queued. Indexes are reused.
using TicketIndex = std::uint32_t;

/// A ticket in the queue.
struct QueuedTicket {
  Ticket SubmittedTicket;
  Time ArrivedAt;
  Time Deadline;
  Time LatestStart; // A ticket granted later would miss its deadline.
  /// Distinguishes successive tickets with the same index.
  std::uint32_t Serial = 0;
  bool Queued = false;
};

/// The tickets of one workspace in one lane.
struct WorkspaceQueue {
  WorkspaceId Workspace;
  /// In tokens; at zero or below the workspace must wait.
  std::int64_t Deficit = 0;
  std::set<std::pair<Time, TicketIndex>> ByDeadline;
};

/// The tickets of a tier with one size class and one version choice. If there
/// is no capacity for the first, there is none for the others.
struct Lane {
  /// The workspaces that have tickets; the first one is served next.
  std::list<WorkspaceQueue> ActiveQueues;
  std::unordered_map<WorkspaceId, std::list<WorkspaceQueue>::iterator>
      ByWorkspace;
  std::size_t Count = 0;
  std::uint64_t Tokens = 0;
  std::uint32_t Quantum = 1; // Tokens of the largest ticket so far.
  double ServedTokens = 0;   // Tokens granted, in the tier's virtual time.
};

/// The number of lanes of a tier.
inline constexpr std::size_t LaneCount = SizeClassCount * 4;

/// The tickets of one workspace that wait in a tier.
struct WorkspaceBacklog {
  std::uint64_t Tokens = 0;
  std::uint32_t Weight = 1;
};

/// The tickets of one tier.
struct TierQueue {
  std::array<Lane, LaneCount> Lanes;
  std::size_t Count = 0;
  std::uint64_t Tokens = 0;
  /// ServedTokens of the least served lane that has tickets.
  double VirtualTime = 0;
  std::uint64_t ActiveWeight = 0; // Sum over the workspaces that have tickets.
  std::unordered_map<WorkspaceId, WorkspaceBacklog> Backlogs;
  /// Key: queued tokens divided by weight.
  std::set<std::pair<double, WorkspaceId>> WorkspacesByBacklog;
};

/// All tickets that wait at a scheduler.
struct TicketQueue {
  std::array<TierQueue, MaxTiers> Tiers;
  std::vector<QueuedTicket> Tickets; // Indexed by TicketIndex.
  std::vector<TicketIndex> FreeIndexes;
  std::unordered_map<AttemptId, TicketIndex, AttemptHash> ByAttempt;
  std::set<std::pair<Time, TicketIndex>> ByLatestStart;
  /// From the bundle.
  std::unordered_map<WorkspaceId, std::uint32_t> WorkspaceWeights;
};

/// The tokens that \p t reserves at an endpoint; at least one.
[[nodiscard]] std::uint32_t tokensOf(const Ticket &t) noexcept;

/// The index of the lane for \p t in TierQueue::Lanes.
[[nodiscard]] std::size_t laneIndex(const SchedulePolicy &policy,
                                    const Ticket &t) noexcept;

/// The number of queued tickets.
[[nodiscard]] std::size_t size(const TicketQueue &q) noexcept;

/// The index of the ticket of \p id, if it is queued.
[[nodiscard]] std::optional<TicketIndex> find(const TicketQueue &q,
                                              AttemptId id) noexcept;

/// Queues \p t. Its attempt must not be queued yet.
TicketIndex push(TicketQueue &q, const SchedulePolicy &policy, const Ticket &t,
                 Time now);

/// Removes ticket \p idx. If \p granted, its tokens are charged to its lane and
/// its workspace.
void remove(TicketQueue &q, const SchedulePolicy &policy, TicketIndex idx,
            bool granted);

/// Sets the time after which granting \p idx would miss its deadline.
void setLatestStart(TicketQueue &q, TicketIndex idx, Time at);

/// The indexes of the lanes of \p tier that have tickets, the least served
/// first. Returns the part of \p buf that was written.
[[nodiscard]] std::span<std::size_t>
busyLanes(const TierQueue &tier, std::span<std::size_t, LaneCount> buf);

/// The tickets that \p lane may grant next, in order of preference. First come
/// those of the workspace whose turn it is, then some of the next workspaces,
/// which may suit an available endpoint better. For a workspace with many
/// tickets, the one with the latest deadline is included. Adds to the deficits
/// of workspaces as their turn comes. Returns the part of \p buf that was
/// written, which is empty only if the lane is.
[[nodiscard]] std::span<TicketIndex>
nextCandidates(const TicketQueue &q, Lane &lane, std::span<TicketIndex> buf);

/// The ticket to shed: in the lowest tier that has tickets, of the workspace
/// with the largest backlog relative to its weight, the one with the latest
/// deadline.
[[nodiscard]] std::optional<TicketIndex> ticketToShed(const TicketQueue &q);

/// The tokens that will probably be granted before a ticket.
struct WorkAhead {
  std::uint64_t HigherTierTokens = 0; // From higher tiers.
  std::uint64_t SameTierTokens = 0;   // From its own tier.
};

/// The work ahead of \p t, which must have just been queued.
[[nodiscard]] WorkAhead tokensAhead(const TicketQueue &q,
                                    const SchedulePolicy &policy,
                                    const Ticket &t) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_QUEUE_H
