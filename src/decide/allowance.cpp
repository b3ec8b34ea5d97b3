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

void updatePeers(PeerDemandTable &table, std::span<const PeerDemand> read,
                 Time now) {
  for (const PeerDemand &p : read) {
    auto [it, inserted] =
        table.Peers.try_emplace(p.Name, PeerDemandTable::Entry{p, now});
    if (inserted)
      continue;
    if (it->second.Published.Heartbeat != p.Heartbeat ||
        it->second.Published.Incarnation != p.Incarnation)
      it->second.ChangedAt = now;
    it->second.Published = p;
  }
  std::erase_if(table.Peers, [&](const auto &it) {
    return now - it.second.ChangedAt > PeerDemandTimeout;
  });
}

AllowanceShares computeShares(const PeerDemandTable &table,
                              std::string_view self,
                              std::span<const Demand> own) {
  // All processes use the demand that this one published last, so that the
  // shares that they compute add up to one.
  const auto published = table.Peers.find(std::string(self));
  if (published != table.Peers.end())
    own = published->second.Published.Demands;
  std::set<WorkspaceId> ids;
  for (const Demand &d : own)
    ids.insert(d.Workspace);
  std::uint32_t count = 1;
  for (const auto &[name, entry] : table.Peers) {
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
    const double owndemand = demandOf(own, id);
    double sum = owndemand;
    for (const auto &[name, entry] : table.Peers)
      if (name != self)
        sum += demandOf(entry.Published.Demands, id);
    const double demandfraction = sum > 0 ? owndemand / sum : 1.0 / count;
    out.List.push_back({id, even + (1 - EvenShareFraction) * demandfraction});
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

/// Refills \p bucket up to \p now. A new bucket starts full.
void refill(AllowanceBucket &bucket, double rate, double size,
            Time now) noexcept {
  if (!bucket.Initialized) {
    bucket.Initialized = true;
    bucket.Level = size;
    bucket.RefilledAt = now;
  }
  bucket.Level += rate * secondsOf(now - bucket.RefilledAt);
  bucket.Level = std::min(bucket.Level, size);
  bucket.RefilledAt = now;
}

/// Returns nothing if \p cost fits, else the time after which it would. A cost
/// larger than the whole bucket fits once the bucket is full, and leaves a
/// negative level.
std::optional<Duration> waitFor(const AllowanceBucket &bucket, double rate,
                                double size, double cost) noexcept {
  const double needed = std::min(cost, size);
  if (bucket.Level >= needed && size > 0)
    return std::nullopt;
  constexpr double MaxWait = 5; // Seconds; shares may change in this time.
  const double wait =
      rate > 0 ? std::min((needed - bucket.Level) / rate, MaxWait) : MaxWait;
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
  const double size = bucketSize(ws, margin);
  const double earliercost =
      peers.AllReporting ? static_cast<double>(peers.BeforeFirstReport) : size;
  st.GlobalBucket.Level =
      std::max(size - earliercost, size * InitialLevelFraction);
  st.PeerCostApplied = peers.Total;
}

std::optional<Duration> takeAllowance(AllowanceState &st,
                                      const PlanWorkspace &ws, double share,
                                      const PeerSpending &peers,
                                      const AllowanceMargin &margin,
                                      double cost, Time now) noexcept {
  if (ws.RatePerSecond <= 0)
    return std::nullopt;
  const double size = bucketSize(ws, margin);
  refill(st.LocalBucket, ws.RatePerSecond * share, size * share, now);
  initAllowance(st, ws, peers, margin, now);
  refill(st.GlobalBucket, ws.RatePerSecond, size, now);
  if (peers.Total > st.PeerCostApplied)
    st.GlobalBucket.Level -=
        static_cast<double>(peers.Total - st.PeerCostApplied);
  st.PeerCostApplied = std::max(st.PeerCostApplied, peers.Total);
  const auto wait = peers.AllReporting
                        ? waitFor(st.GlobalBucket, ws.RatePerSecond, size, cost)
                        : waitFor(st.LocalBucket, ws.RatePerSecond * share,
                                  size * share, cost);
  if (wait)
    return wait;
  st.GlobalBucket.Level -= cost;
  // While the global bucket decides, this process may exceed its share. The
  // local debt is limited to one whole bucket, which is enough to slow this
  // process down once peers stop reporting.
  st.LocalBucket.Level = std::max(st.LocalBucket.Level - cost, -size * share);
  st.SpentTotal += static_cast<std::uint64_t>(cost);
  return std::nullopt;
}

void refundAllowance(AllowanceState &st, double cost) noexcept {
  st.GlobalBucket.Level += cost;
  st.LocalBucket.Level += cost;
}

} // namespace zinniagauge
