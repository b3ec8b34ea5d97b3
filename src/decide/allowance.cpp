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

void takePeers(PeerBook &book, std::span<const PeerDemand> read, Time now) {
  for (const PeerDemand &p : read) {
    auto [it, fresh] = book.Peers.try_emplace(p.Name, PeerBook::Entry{p, now});
    if (fresh)
      continue;
    if (it->second.Last.Beat != p.Beat || it->second.Last.Life != p.Life)
      it->second.Changed = now;
    it->second.Last = p;
  }
  std::erase_if(book.Peers, [&](const auto &it) {
    return now - it.second.Changed > PeerMemory;
  });
}

AllowanceShares sharesOf(const PeerBook &book, std::string_view self,
                         std::span<const Demand> own) {
  // Every process counts what this one published last, so that shares add up
  // to one wherever they are worked out.
  const auto published = book.Peers.find(std::string(self));
  if (published != book.Peers.end())
    own = published->second.Last.Demands;
  std::set<WorkspaceId> ids;
  for (const Demand &d : own)
    ids.insert(d.Workspace);
  std::uint32_t count = 1;
  for (const auto &[name, entry] : book.Peers) {
    if (name == self)
      continue;
    ++count;
    for (const Demand &d : entry.Last.Demands)
      ids.insert(d.Workspace);
  }
  AllowanceShares out;
  out.Processes = count;
  const double even = EvenPart / count;
  out.Default = 1.0 / count;
  for (const WorkspaceId id : ids) {
    const double mine = demandOf(own, id);
    double sum = mine;
    for (const auto &[name, entry] : book.Peers)
      if (name != self)
        sum += demandOf(entry.Last.Demands, id);
    const double part = sum > 0 ? mine / sum : 1.0 / count;
    out.List.push_back({id, even + (1 - EvenPart) * part});
  }
  return out;
}

double bucketSize(const PlanWorkspace &ws,
                  const AllowanceMargin &margin) noexcept {
  const double steady = ws.RatePerSecond * secondsOf(margin.Window);
  const double limit =
      (steady + ws.Burst) * (1 + margin.Overage) + margin.Slack;
  return std::max(ws.Burst, UsedMargin * (limit - steady));
}

namespace {

/// Fills \p bucket up to \p now.
void fill(AllowanceBucket &bucket, double rate, double most,
          Time now) noexcept {
  if (!bucket.Started) {
    bucket.Started = true;
    bucket.Level = most;
    bucket.Filled = now;
  }
  bucket.Level += rate * secondsOf(now - bucket.Filled);
  bucket.Level = std::min(bucket.Level, most);
  bucket.Filled = now;
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

void startAllowance(AllowanceState &st, const PlanWorkspace &ws,
                    const PeerSpending &peers, const AllowanceMargin &margin,
                    Time now) noexcept {
  if (st.All.Started)
    return;
  st.All.Started = true;
  st.All.Filled = now;
  const double most = bucketSize(ws, margin);
  const double past = peers.Heard ? static_cast<double>(peers.Past) : most;
  st.All.Level = std::max(most - past, most * JoinLevel);
  st.PeersSeen = peers.Total;
}

std::optional<Duration> takeAllowance(AllowanceState &st,
                                      const PlanWorkspace &ws, double share,
                                      const PeerSpending &peers,
                                      const AllowanceMargin &margin,
                                      double cost, Time now) noexcept {
  if (ws.RatePerSecond <= 0)
    return std::nullopt;
  const double most = bucketSize(ws, margin);
  fill(st.Own, ws.RatePerSecond * share, most * share, now);
  startAllowance(st, ws, peers, margin, now);
  fill(st.All, ws.RatePerSecond, most, now);
  if (peers.Total > st.PeersSeen)
    st.All.Level -= static_cast<double>(peers.Total - st.PeersSeen);
  st.PeersSeen = std::max(st.PeersSeen, peers.Total);
  const auto wait = peers.Heard ? waitFor(st.All, ws.RatePerSecond, most, cost)
                                : waitFor(st.Own, ws.RatePerSecond * share,
                                          most * share, cost);
  if (wait)
    return wait;
  st.All.Level -= cost;
  // While it follows what all spend, this process may go beyond its share; a
  // debt of a whole bucket is enough to be careful afterwards.
  st.Own.Level = std::max(st.Own.Level - cost, -most * share);
  st.Total += static_cast<std::uint64_t>(cost);
  return std::nullopt;
}

void giveBack(AllowanceState &st, double cost) noexcept {
  st.All.Level += cost;
  st.Own.Level += cost;
}

} // namespace zinniagauge
