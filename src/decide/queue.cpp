#include "zinniagauge/decide/queue.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Lines after the one whose turn it is that nextOf looks at.
constexpr std::size_t LinesAhead = 8;

/// Tickets of each line that nextOf looks at.
constexpr std::size_t TicketsOfLine = 8;

constexpr std::size_t ChoiceCount = LaneCount / SizeClassCount;

std::size_t tierOf(const Ticket &t) noexcept {
  return std::min<std::size_t>(t.Rank.Rank, MaxTiers - 1);
}

std::uint32_t weightOf(const TicketQueue &q, WorkspaceId ws) noexcept {
  const auto it = q.WorkspaceWeights.find(ws);
  return it == q.WorkspaceWeights.end() ? 1 : std::max(it->second, 1U);
}

double shareOf(const WorkspaceBacklog &b) noexcept {
  return static_cast<double>(b.Tokens) / b.Weight;
}

void addBacklog(TicketQueue &q, TierQueue &tier, const Ticket &t) {
  const auto [it, added] = tier.Backlogs.try_emplace(t.Workspace);
  WorkspaceBacklog &b = it->second;
  if (added) {
    b.Weight = weightOf(q, t.Workspace);
    tier.ActiveWeight += b.Weight;
  } else {
    tier.WorkspacesByBacklog.erase({shareOf(b), t.Workspace});
  }
  b.Tokens += tokensOf(t);
  tier.WorkspacesByBacklog.insert({shareOf(b), t.Workspace});
}

void dropBacklog(TierQueue &tier, const Ticket &t) {
  const auto it = tier.Backlogs.find(t.Workspace);
  WorkspaceBacklog &b = it->second;
  tier.WorkspacesByBacklog.erase({shareOf(b), t.Workspace});
  b.Tokens -= tokensOf(t);
  if (b.Tokens > 0) {
    tier.WorkspacesByBacklog.insert({shareOf(b), t.Workspace});
    return;
  }
  tier.ActiveWeight -= b.Weight;
  tier.Backlogs.erase(it);
}

/// Puts \p idx into its lane; a lane that was idle starts at the tier's
/// virtual time, so that it can't claim what it didn't ask for.
void addToLane(TicketQueue &q, TierQueue &tier, Lane &lane, TicketIndex idx) {
  const QueuedTicket &it = q.Tickets[idx];
  if (lane.Count == 0)
    lane.ServedTokens = std::max(lane.ServedTokens, tier.VirtualTime);
  const auto [pos, added] =
      lane.ByWorkspace.try_emplace(it.SubmittedTicket.Workspace);
  if (added) {
    WorkspaceQueue line;
    line.Workspace = it.SubmittedTicket.Workspace;
    pos->second =
        lane.ActiveQueues.insert(lane.ActiveQueues.end(), std::move(line));
  }
  pos->second->ByDeadline.insert({it.Deadline, idx});
  ++lane.Count;
  lane.Tokens += tokensOf(it.SubmittedTicket);
  lane.Quantum = std::max(lane.Quantum, tokensOf(it.SubmittedTicket));
}

void dropFromLane(TierQueue &tier, Lane &lane, const QueuedTicket &it,
                  TicketIndex idx, bool granted) {
  const std::uint32_t tokens = tokensOf(it.SubmittedTicket);
  const auto pos = lane.ByWorkspace.find(it.SubmittedTicket.Workspace);
  WorkspaceQueue &line = *pos->second;
  line.ByDeadline.erase({it.Deadline, idx});
  --lane.Count;
  lane.Tokens -= tokens;
  if (granted) {
    tier.VirtualTime = std::max(tier.VirtualTime, lane.ServedTokens);
    lane.ServedTokens += tokens;
    line.Deficit -= tokens;
  }
  if (!line.ByDeadline.empty()) {
    if (granted && line.Deficit <= 0) // It has had its turn.
      lane.ActiveQueues.splice(lane.ActiveQueues.end(), lane.ActiveQueues,
                               pos->second);
    return;
  }
  lane.ActiveQueues.erase(pos->second);
  lane.ByWorkspace.erase(pos);
}

/// Gives credit to lines in turn until the first one has some.
void turnRing(const TicketQueue &q, Lane &lane) {
  while (lane.ActiveQueues.front().Deficit <= 0) {
    WorkspaceQueue &line = lane.ActiveQueues.front();
    line.Deficit += std::int64_t{lane.Quantum} * weightOf(q, line.Workspace);
    if (line.Deficit <= 0)
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
  dropFromLane(tier, tier.Lanes[laneIndex(policy, it.SubmittedTicket)], it, idx,
               granted);
  dropBacklog(tier, it.SubmittedTicket);
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
  turnRing(q, lane);
  std::size_t n = 0;
  std::size_t lines = 0;
  for (const WorkspaceQueue &line : lane.ActiveQueues) {
    if (lines++ == LinesAhead || n == buf.size())
      break;
    std::size_t tickets = 0;
    for (const auto &[at, idx] : line.ByDeadline) {
      if (n == buf.size() || tickets++ == TicketsOfLine)
        break;
      buf[n++] = idx;
    }
    if (tickets > TicketsOfLine && n < buf.size())
      buf[n++] = line.ByDeadline.rbegin()->second;
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
    const auto &cand = *pos->second->ByDeadline.rbegin();
    if (!last || *last < cand)
      last = &cand;
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
  // The lanes of a tier share equally: this one waits for as much again.
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
