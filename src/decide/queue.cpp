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
  const auto it = q.Weights.find(ws);
  return it == q.Weights.end() ? 1 : std::max(it->second, 1U);
}

double shareOf(const Backlog &b) noexcept {
  return static_cast<double>(b.Tokens) / b.Weight;
}

void addBacklog(TicketQueue &q, TierQueue &tier, const Ticket &t) {
  const auto [it, added] = tier.Backlogs.try_emplace(t.Workspace);
  Backlog &b = it->second;
  if (added) {
    b.Weight = weightOf(q, t.Workspace);
    tier.ActiveWeight += b.Weight;
  } else {
    tier.ByBacklog.erase({shareOf(b), t.Workspace});
  }
  b.Tokens += tokensOf(t);
  tier.ByBacklog.insert({shareOf(b), t.Workspace});
}

void dropBacklog(TierQueue &tier, const Ticket &t) {
  const auto it = tier.Backlogs.find(t.Workspace);
  Backlog &b = it->second;
  tier.ByBacklog.erase({shareOf(b), t.Workspace});
  b.Tokens -= tokensOf(t);
  if (b.Tokens > 0) {
    tier.ByBacklog.insert({shareOf(b), t.Workspace});
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
    lane.Served = std::max(lane.Served, tier.Virtual);
  const auto [pos, added] = lane.ByWorkspace.try_emplace(it.Asked.Workspace);
  if (added) {
    Line line;
    line.Workspace = it.Asked.Workspace;
    pos->second = lane.Ring.insert(lane.Ring.end(), std::move(line));
  }
  pos->second->ByDeadline.insert({it.Deadline, idx});
  ++lane.Count;
  lane.Tokens += tokensOf(it.Asked);
  lane.Largest = std::max(lane.Largest, tokensOf(it.Asked));
}

void dropFromLane(TierQueue &tier, Lane &lane, const QueuedTicket &it,
                  TicketIndex idx, bool granted) {
  const std::uint32_t tokens = tokensOf(it.Asked);
  const auto pos = lane.ByWorkspace.find(it.Asked.Workspace);
  Line &line = *pos->second;
  line.ByDeadline.erase({it.Deadline, idx});
  --lane.Count;
  lane.Tokens -= tokens;
  if (granted) {
    tier.Virtual = std::max(tier.Virtual, lane.Served);
    lane.Served += tokens;
    line.Deficit -= tokens;
  }
  if (!line.ByDeadline.empty()) {
    if (granted && line.Deficit <= 0) // It has had its turn.
      lane.Ring.splice(lane.Ring.end(), lane.Ring, pos->second);
    return;
  }
  lane.Ring.erase(pos->second);
  lane.ByWorkspace.erase(pos);
}

/// Gives credit to lines in turn until the first one has some.
void turnRing(const TicketQueue &q, Lane &lane) {
  while (lane.Ring.front().Deficit <= 0) {
    Line &line = lane.Ring.front();
    line.Deficit += std::int64_t{lane.Largest} * weightOf(q, line.Workspace);
    if (line.Deficit <= 0)
      lane.Ring.splice(lane.Ring.end(), lane.Ring, lane.Ring.begin());
  }
}

} // namespace

std::uint32_t tokensOf(const Ticket &t) noexcept {
  return std::max(t.PromptTokens + t.OutputTokens, 1U);
}

std::size_t laneOf(const SchedulePolicy &policy, const Ticket &t) noexcept {
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
  if (q.Unused.empty()) {
    q.Unused.push_back(static_cast<TicketIndex>(q.Tickets.size()));
    q.Tickets.emplace_back();
  }
  const TicketIndex idx = q.Unused.back();
  q.Unused.pop_back();
  QueuedTicket &it = q.Tickets[idx];
  const std::uint32_t serial = it.Serial + 1;
  it = {t, now, now + t.TimeLeft, now + t.TimeLeft, serial, true};
  q.ByAttempt.emplace(t.Attempt, idx);
  q.ByLatestStart.insert({it.LatestStart, idx});
  TierQueue &tier = q.Tiers[tierOf(t)];
  addToLane(q, tier, tier.Lanes[laneOf(policy, t)], idx);
  addBacklog(q, tier, t);
  ++tier.Count;
  tier.Tokens += tokensOf(t);
  return idx;
}

void remove(TicketQueue &q, const SchedulePolicy &policy, TicketIndex idx,
            bool granted) {
  QueuedTicket &it = q.Tickets[idx];
  TierQueue &tier = q.Tiers[tierOf(it.Asked)];
  dropFromLane(tier, tier.Lanes[laneOf(policy, it.Asked)], it, idx, granted);
  dropBacklog(tier, it.Asked);
  --tier.Count;
  tier.Tokens -= tokensOf(it.Asked);
  q.ByLatestStart.erase({it.LatestStart, idx});
  q.ByAttempt.erase(it.Asked.Attempt);
  it.Queued = false;
  q.Unused.push_back(idx);
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
    return tier.Lanes[a].Served < tier.Lanes[b].Served;
  });
  return busy;
}

std::span<TicketIndex> nextOf(const TicketQueue &q, Lane &lane,
                              std::span<TicketIndex> buf) {
  if (lane.Count == 0)
    return buf.first(0);
  turnRing(q, lane);
  std::size_t n = 0;
  std::size_t lines = 0;
  for (const Line &line : lane.Ring) {
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

std::optional<TicketIndex> leastWanted(const TicketQueue &q) {
  const auto tier = std::find_if(q.Tiers.rbegin(), q.Tiers.rend(),
                                 [](const auto &t) { return t.Count > 0; });
  if (tier == q.Tiers.rend())
    return std::nullopt;
  const WorkspaceId ws = tier->ByBacklog.rbegin()->second;
  const std::pair<Time, TicketIndex> *last = nullptr;
  for (const Lane &lane : tier->Lanes) {
    const auto pos = lane.ByWorkspace.find(ws);
    if (pos == lane.ByWorkspace.end())
      continue;
    const auto &cand = *pos->second->ByDeadline.rbegin();
    if (!last || *last < cand)
      last = &cand;
  }
  return last->second;
}

Ahead tokensAhead(const TicketQueue &q, const SchedulePolicy &policy,
                  const Ticket &t) noexcept {
  const std::size_t rank = tierOf(t);
  Ahead ahead;
  for (std::size_t i = 0; i < rank; ++i)
    ahead.Higher += q.Tiers[i].Tokens;
  const TierQueue &tier = q.Tiers[rank];
  // The lanes of a tier share equally: this one waits for as much again.
  std::uint64_t own = 2 * tier.Lanes[laneOf(policy, t)].Tokens;
  const auto it = tier.Backlogs.find(t.Workspace);
  if (it != tier.Backlogs.end())
    own = std::min(own,
                   it->second.Tokens * tier.ActiveWeight / it->second.Weight);
  own = std::min(own, tier.Tokens);
  ahead.Same = own - std::min<std::uint64_t>(own, tokensOf(t));
  return ahead;
}

} // namespace zinniagauge
