#include "zinniagauge/decide/allowance.h"

#include <algorithm>
#include <set>

namespace zinniagauge {

namespace {

double demandOf(std::span<const Demand> list, WorkspaceId id) noexcept {
  const auto it = std::find_if(list.begin(), list.end(), [&](const Demand &d) {
    return d.Workspace == id;
  });
  return it == list.end() ? 0 : it->CostPerSecond;
}

double secondsOf(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

} // namespace

void updatePeers(PeerDemandTable &book, std::span<const PeerDemand> read,
                 Time now) {
  for (const PeerDemand &p : read) {
    auto [it, fresh] =
        book.Peers.try_emplace(p.Name, PeerDemandTable::Entry{p, now});
    if (fresh)
      continue;
    if (it->second.Published.Heartbeat != p.Heartbeat ||
        it->second.Published.Incarnation != p.Incarnation)
      it->second.ChangedAt = now;
    it->second.Published = p;
  }
  std::erase_if(book.Peers, [&](const auto &it) {
    return now - it.second.ChangedAt > PeerDemandTimeout;
  });
}

AllowanceShares computeShares(const PeerDemandTable &book,
                              std::string_view self,
                              std::span<const Demand> own) {
  // Every process counts what this one published last, so that shares add up
  // to one wherever they are worked out.
  const auto published = book.Peers.find(std::string(self));
  if (published != book.Peers.end())
    own = published->second.Published.Demands;
  std::set<WorkspaceId> ids;
  for (const Demand &d : own)
    ids.insert(d.Workspace);
  std::uint32_t count = 1;
  for (const auto &[name, entry] : book.Peers) {
    if (name == self)
      continue;
    ++count;
    for (const Demand &d : entry.Published.Demands)
      ids.insert(d.Workspace);
  }
  AllowanceShares out;
  out.AliveProcesses = count;
  const double even = EvenShareFraction / count;
  out.DefaultShare = 1.0 / count;
  for (const WorkspaceId id : ids) {
    const double mine = demandOf(own, id);
    double sum = mine;
    for (const auto &[name, entry] : book.Peers)
      if (name != self)
        sum += demandOf(entry.Published.Demands, id);
    const double part = sum > 0 ? mine / sum : 1.0 / count;
    out.List.push_back({id, even + (1 - EvenShareFraction) * part});
  }
  return out;
}

double bucketSize(const PlanWorkspace &ws,
                  const AllowanceMargin &margin) noexcept {
  const double steady = ws.RatePerSecond * secondsOf(margin.Window);
  const double limit =
      (steady + ws.Burst) * (1 + margin.Overage) + margin.Slack;
  return std::max(ws.Burst, UsedMarginFraction * (limit - steady));
}

namespace {

/// Fills \p bucket up to \p now.
void fill(AllowanceBucket &bucket, double rate, double most,
          Time now) noexcept {
  if (!bucket.Initialized) {
    bucket.Initialized = true;
    bucket.Level = most;
    bucket.RefilledAt = now;
  }
  bucket.Level += rate * secondsOf(now - bucket.RefilledAt);
  bucket.Level = std::min(bucket.Level, most);
  bucket.RefilledAt = now;
}

/// Nothing if \p cost fits, else after how long it would. A cost larger than
/// the whole bucket fits once the bucket is full, and leaves a debt.
std::optional<Duration> waitFor(const AllowanceBucket &bucket, double rate,
                                double most, double cost) noexcept {
  const double needed = std::min(cost, most);
  if (bucket.Level >= needed && most > 0)
    return std::nullopt;
  constexpr double LongestWait = 5; // Seconds; shares change meanwhile.
  const double wait =
      rate > 0 ? std::min((needed - bucket.Level) / rate, LongestWait)
               : LongestWait;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait));
}

} // namespace

void initAllowance(AllowanceState &st, const PlanWorkspace &ws,
                   const PeerSpending &peers, const AllowanceMargin &margin,
                   Time now) noexcept {
  if (st.GlobalBucket.Initialized)
    return;
  st.GlobalBucket.Initialized = true;
  st.GlobalBucket.RefilledAt = now;
  const double most = bucketSize(ws, margin);
  const double past =
      peers.AllReporting ? static_cast<double>(peers.BeforeFirstReport) : most;
  st.GlobalBucket.Level = std::max(most - past, most * InitialLevelFraction);
  st.PeerCostApplied = peers.Total;
}

std::optional<Duration> takeAllowance(AllowanceState &st,
                                      const PlanWorkspace &ws, double share,
                                      const PeerSpending &peers,
                                      const AllowanceMargin &margin,
                                      double cost, Time now) noexcept {
  if (ws.RatePerSecond <= 0)
    return std::nullopt;
  const double most = bucketSize(ws, margin);
  fill(st.LocalBucket, ws.RatePerSecond * share, most * share, now);
  initAllowance(st, ws, peers, margin, now);
  fill(st.GlobalBucket, ws.RatePerSecond, most, now);
  if (peers.Total > st.PeerCostApplied)
    st.GlobalBucket.Level -=
        static_cast<double>(peers.Total - st.PeerCostApplied);
  st.PeerCostApplied = std::max(st.PeerCostApplied, peers.Total);
  const auto wait = peers.AllReporting
                        ? waitFor(st.GlobalBucket, ws.RatePerSecond, most, cost)
                        : waitFor(st.LocalBucket, ws.RatePerSecond * share,
                                  most * share, cost);
  if (wait)
    return wait;
  st.GlobalBucket.Level -= cost;
  // While it follows what all spend, this process may go beyond its share; a
  // debt of a whole bucket is enough to be careful afterwards.
  st.LocalBucket.Level = std::max(st.LocalBucket.Level - cost, -most * share);
  st.SpentTotal += static_cast<std::uint64_t>(cost);
  return std::nullopt;
}

void refundAllowance(AllowanceState &st, double cost) noexcept {
  st.GlobalBucket.Level += cost;
  st.LocalBucket.Level += cost;
}

} // namespace zinniagauge
