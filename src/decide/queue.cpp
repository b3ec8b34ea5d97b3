// Deficit round robin over the workspaces of each lane.
#include "zinniagauge/decide/queue.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The number of workspaces of a lane that nextCandidates examines.
constexpr std::size_t MaxWorkspaces = 8;

/// The number of tickets of each workspace that nextCandidates examines.
constexpr std::size_t MaxTicketsPerWorkspace = 8;

constexpr std::size_t ChoiceCount = LaneCount / SizeClassCount;

std::size_t tierOf(const Ticket &t) noexcept {
  return std::min<std::size_t>(t.Rank.Rank, MaxTiers - 1);
}

std::uint32_t weightOf(const TicketQueue &q, WorkspaceId ws) noexcept {
  const auto it = q.WorkspaceWeights.find(ws);
  return it == q.WorkspaceWeights.end() ? 1 : std::max(it->second, 1U);
}

double weightedBacklog(const WorkspaceBacklog &b) noexcept {
  return static_cast<double>(b.Tokens) / b.Weight;
}

void addBacklog(TicketQueue &q, TierQueue &tier, const Ticket &t) {
  const auto [it, added] = tier.Backlogs.try_emplace(t.Workspace);
  WorkspaceBacklog &b = it->second;
  if (added) {
    b.Weight = weightOf(q, t.Workspace);
    tier.ActiveWeight += b.Weight;
  } else {
    tier.WorkspacesByBacklog.erase({weightedBacklog(b), t.Workspace});
  }
  b.Tokens += tokensOf(t);
  tier.WorkspacesByBacklog.insert({weightedBacklog(b), t.Workspace});
}

void removeBacklog(TierQueue &tier, const Ticket &t) {
  const auto it = tier.Backlogs.find(t.Workspace);
  WorkspaceBacklog &b = it->second;
  tier.WorkspacesByBacklog.erase({weightedBacklog(b), t.Workspace});
  b.Tokens -= tokensOf(t);
  if (b.Tokens > 0) {
    tier.WorkspacesByBacklog.insert({weightedBacklog(b), t.Workspace});
    return;
  }
  tier.ActiveWeight -= b.Weight;
  tier.Backlogs.erase(it);
}

/// Adds \p idx to its lane. A lane that was empty starts at the tier's virtual
/// time, so that it gains no credit for the time in which it had no tickets.
void addToLane(TicketQueue &q, TierQueue &tier, Lane &lane, TicketIndex idx) {
  const QueuedTicket &it = q.Tickets[idx];
  if (lane.Count == 0)
    lane.ServedTokens = std::max(lane.ServedTokens, tier.VirtualTime);
  const auto [pos, added] =
      lane.ByWorkspace.try_emplace(it.SubmittedTicket.Workspace);
  if (added) {
    WorkspaceQueue queue;
    queue.Workspace = it.SubmittedTicket.Workspace;
    pos->second =
        lane.ActiveQueues.insert(lane.ActiveQueues.end(), std::move(queue));
  }
  pos->second->ByDeadline.insert({it.Deadline, idx});
  ++lane.Count;
  lane.Tokens += tokensOf(it.SubmittedTicket);
  lane.Quantum = std::max(lane.Quantum, tokensOf(it.SubmittedTicket));
}

void removeFromLane(TierQueue &tier, Lane &lane, const QueuedTicket &it,
                    TicketIndex idx, bool granted) {
  const std::uint32_t tokens = tokensOf(it.SubmittedTicket);
  const auto pos = lane.ByWorkspace.find(it.SubmittedTicket.Workspace);
  WorkspaceQueue &queue = *pos->second;
  queue.ByDeadline.erase({it.Deadline, idx});
  --lane.Count;
  lane.Tokens -= tokens;
  if (granted) {
    tier.VirtualTime = std::max(tier.VirtualTime, lane.ServedTokens);
    lane.ServedTokens += tokens;
    queue.Deficit -= tokens;
  }
  if (!queue.ByDeadline.empty()) {
    if (granted && queue.Deficit <= 0) // The turn of this workspace is over.
      lane.ActiveQueues.splice(lane.ActiveQueues.end(), lane.ActiveQueues,
                               pos->second);
    return;
  }
  lane.ActiveQueues.erase(pos->second);
  lane.ByWorkspace.erase(pos);
}

/// Adds credit to the workspaces in turn until the first one has a positive
/// deficit counter.
void advanceRound(const TicketQueue &q, Lane &lane) {
  while (lane.ActiveQueues.front().Deficit <= 0) {
    WorkspaceQueue &queue = lane.ActiveQueues.front();
    queue.Deficit += std::int64_t{lane.Quantum} * weightOf(q, queue.Workspace);
    if (queue.Deficit <= 0)
      lane.ActiveQueues.splice(lane.ActiveQueues.end(), lane.ActiveQueues,
                               lane.ActiveQueues.begin());
  }
}

} // namespace

std::uint32_t tokensOf(const Ticket &t) noexcept {
  return std::max(t.PromptTokens + t.OutputTokens, 1U);
}

std::size_t laneIndex(const SchedulePolicy &policy, const Ticket &t) noexcept {
  const auto cls = static_cast<std::size_t>(sizeClass(policy, tokensOf(t)));
  return cls * ChoiceCount + static_cast<std::size_t>(t.Choice) % ChoiceCount;
}

std::size_t size(const TicketQueue &q) noexcept { return q.ByAttempt.size(); }

std::optional<TicketIndex> find(const TicketQueue &q, AttemptId id) noexcept {
  const auto it = q.ByAttempt.find(id);
  if (it == q.ByAttempt.end())
    return std::nullopt;
  return it->second;
}

TicketIndex push(TicketQueue &q, const SchedulePolicy &policy, const Ticket &t,
                 Time now) {
  if (q.FreeIndexes.empty()) {
    q.FreeIndexes.push_back(static_cast<TicketIndex>(q.Tickets.size()));
    q.Tickets.emplace_back();
  }
  const TicketIndex idx = q.FreeIndexes.back();
  q.FreeIndexes.pop_back();
  QueuedTicket &it = q.Tickets[idx];
  const std::uint32_t serial = it.Serial + 1;
  it = {t, now, now + t.TimeLeft, now + t.TimeLeft, serial, true};
  q.ByAttempt.emplace(t.Attempt, idx);
  q.ByLatestStart.insert({it.LatestStart, idx});
  TierQueue &tier = q.Tiers[tierOf(t)];
  addToLane(q, tier, tier.Lanes[laneIndex(policy, t)], idx);
  addBacklog(q, tier, t);
  ++tier.Count;
  tier.Tokens += tokensOf(t);
  return idx;
}

void remove(TicketQueue &q, const SchedulePolicy &policy, TicketIndex idx,
            bool granted) {
  QueuedTicket &it = q.Tickets[idx];
  TierQueue &tier = q.Tiers[tierOf(it.SubmittedTicket)];
  removeFromLane(tier, tier.Lanes[laneIndex(policy, it.SubmittedTicket)], it,
                 idx, granted);
  removeBacklog(tier, it.SubmittedTicket);
  --tier.Count;
  tier.Tokens -= tokensOf(it.SubmittedTicket);
  q.ByLatestStart.erase({it.LatestStart, idx});
  q.ByAttempt.erase(it.SubmittedTicket.Attempt);
  it.Queued = false;
  q.FreeIndexes.push_back(idx);
}

void setLatestStart(TicketQueue &q, TicketIndex idx, Time at) {
  QueuedTicket &it = q.Tickets[idx];
  q.ByLatestStart.erase({it.LatestStart, idx});
  it.LatestStart = at;
  q.ByLatestStart.insert({at, idx});
}

std::span<std::size_t> busyLanes(const TierQueue &tier,
                                 std::span<std::size_t, LaneCount> buf) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < LaneCount; ++i)
    if (tier.Lanes[i].Count > 0)
      buf[n++] = i;
  const auto busy = buf.first(n);
  std::sort(busy.begin(), busy.end(), [&](std::size_t a, std::size_t b) {
    return tier.Lanes[a].ServedTokens < tier.Lanes[b].ServedTokens;
  });
  return busy;
}

std::span<TicketIndex> nextCandidates(const TicketQueue &q, Lane &lane,
                                      std::span<TicketIndex> buf) {
  if (lane.Count == 0)
    return buf.first(0);
  advanceRound(q, lane);
  std::size_t n = 0;
  std::size_t workspaces = 0;
  for (const WorkspaceQueue &queue : lane.ActiveQueues) {
    if (workspaces++ == MaxWorkspaces || n == buf.size())
      break;
    std::size_t tickets = 0;
    for (const auto &[at, idx] : queue.ByDeadline) {
      if (n == buf.size() || tickets++ == MaxTicketsPerWorkspace)
        break;
      buf[n++] = idx;
    }
    if (tickets > MaxTicketsPerWorkspace && n < buf.size())
      buf[n++] = queue.ByDeadline.rbegin()->second;
  }
  return buf.first(n);
}

std::optional<TicketIndex> ticketToShed(const TicketQueue &q) {
  const auto tier = std::find_if(q.Tiers.rbegin(), q.Tiers.rend(),
                                 [](const auto &t) { return t.Count > 0; });
  if (tier == q.Tiers.rend())
    return std::nullopt;
  const WorkspaceId ws = tier->WorkspacesByBacklog.rbegin()->second;
  const std::pair<Time, TicketIndex> *last = nullptr;
  for (const Lane &lane : tier->Lanes) {
    const auto pos = lane.ByWorkspace.find(ws);
    if (pos == lane.ByWorkspace.end())
      continue;
    const auto &candidate = *pos->second->ByDeadline.rbegin();
    if (!last || *last < candidate)
      last = &candidate;
  }
  if (!last)
    return std::nullopt;
  return last->second;
}

WorkAhead tokensAhead(const TicketQueue &q, const SchedulePolicy &policy,
                      const Ticket &t) noexcept {
  const std::size_t rank = tierOf(t);
  WorkAhead ahead;
  for (std::size_t i = 0; i < rank; ++i)
    ahead.HigherTierTokens += q.Tiers[i].Tokens;
  const TierQueue &tier = q.Tiers[rank];
  // The lanes of a tier share equally, so an equal amount of work of other
  // lanes is granted meanwhile.
  std::uint64_t own = 2 * tier.Lanes[laneIndex(policy, t)].Tokens;
  const auto it = tier.Backlogs.find(t.Workspace);
  if (it != tier.Backlogs.end())
    own = std::min(own,
                   it->second.Tokens * tier.ActiveWeight / it->second.Weight);
  own = std::min(own, tier.Tokens);
  ahead.SameTierTokens = own - std::min<std::uint64_t>(own, tokensOf(t));
  return ahead;
}

} // namespace zinniagauge
