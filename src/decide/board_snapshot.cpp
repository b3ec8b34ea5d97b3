// Reads the board into a scheduler's snapshot and endpoint accounts.
#include "zinniagauge/decide/board_snapshot.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

constexpr double PerMille = 1000;

/// The time constant of the average number of slots that small tickets use.
constexpr double DemandSeconds = 10;

/// The reserve for small tickets exceeds their average by this many standard
/// deviations of a Poisson process.
constexpr double DemandDeviations = 1;

bool isOwnEndpoint(const Scheduler &s, const EndpointSpec &ep) noexcept {
  return ep.Pool == s.Pool && (s.Zone == ZoneId{} || s.Zone == ep.Zone);
}

void readWeights(Scheduler &s, const Bundle &b) {
  s.Queue.WorkspaceWeights.clear();
  for (const WorkspaceSpec &ws : b.Workspaces)
    s.Queue.WorkspaceWeights.emplace(ws.Id, ws.Weight);
}

/// Removes the accounts of endpoints that are no longer in the bundle.
void removeStaleAccounts(Scheduler &s, const Bundle &b) {
  for (std::uint32_t i = 0; i < s.Accounts.size(); ++i) {
    EndpointAccount &acc = s.Accounts[i];
    const bool known = acc.Id == EndpointId{} || findEndpoint(b, acc.Id);
    if (known)
      continue;
    acc.Usable = false;
    updateAvailability(s, i, s.Snapshot.ReadAt);
    if (ownUsage(acc).Slots > 0)
      continue;
    s.AccountByEndpoint.erase(acc.Id);
    acc = {};
    s.FreeAccounts.push_back(i);
  }
}

void readBundle(Scheduler &s, const Bundle &b) {
  readWeights(s, b);
  removeStaleAccounts(s, b);
  s.Snapshot.PoolEndpoints.clear();
  for (std::uint32_t i = 0; i < b.Endpoints.size(); ++i) {
    const EndpointSpec &ep = b.Endpoints[i];
    if (!isOwnEndpoint(s, ep))
      continue;
    const std::uint32_t idx = findOrCreateAccount(s, ep.Id);
    EndpointAccount &acc = s.Accounts[idx];
    acc.Slots = std::max(ep.Slots, 1U);
    acc.TokenLimit = ep.TokenLimit;
    if (acc.LearntSpeed.Samples == 0)
      acc.LearntSpeed = configuredSpeed(ep);
    s.Snapshot.PoolEndpoints.emplace_back(i, idx);
  }
}

void readExcludedVersions(Scheduler &s, const ScheduleView &view) {
  s.Snapshot.ExcludedVersions.clear();
  for (const MoveSpec &mv : view.ActiveBundle.Moves)
    if (isExcludedVersion(view, s.Pool, mv.NewVersion))
      s.Snapshot.ExcludedVersions.push_back(mv.NewVersion);
}

void countUsable(UsableCount &count, VersionId version) {
  ++count.All;
  auto &all = count.ByVersion;
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto &row) {
    return row.first == version;
  });
  if (it == all.end())
    all.emplace_back(version, 1);
  else
    ++it->second;
}

void readEndpoint(Scheduler &s, const ScheduleView &view,
                  const EndpointSpec &ep, std::uint32_t idx, Time now) {
  EndpointAccount &acc = s.Accounts[idx];
  const EndpointState *st = findEndpointState(view.Endpoints, ep.Id);
  const auto &excluded = s.Snapshot.ExcludedVersions;
  acc.Version = versionOf(ep, st);
  acc.Usable = (!st || (!st->Leaving && !st->Draining)) &&
               std::find(excluded.begin(), excluded.end(), acc.Version) ==
                   excluded.end();
  sampleUsage(acc, now);
  acc.ExternalUsage = {};
  if (st && st->Load)
    updateExternalUsage(acc, *st->Load, s.Policy.LoadMaxAge, now);
  updateAvailability(s, idx, now);
}

void addUsableEndpoint(Scheduler &s, const EndpointAccount &acc, bool first,
                       Time now) {
  Speed &best = s.Snapshot.FastestSpeed;
  countUsable(s.Snapshot.Usable, acc.Version);
  s.Snapshot.ProbeDue = s.Snapshot.ProbeDue || isProbeDue(s.Policy, acc, now);
  s.Snapshot.UsableSlots += acc.Slots;
  s.Snapshot.SlotsInUse += std::min(ownUsage(acc).Slots, acc.Slots);
  if (first) {
    best = acc.LearntSpeed;
    return;
  }
  best.PrefillNanosPerToken =
      std::min(best.PrefillNanosPerToken, acc.LearntSpeed.PrefillNanosPerToken);
  best.DecodeNanosPerToken =
      std::min(best.DecodeNanosPerToken, acc.LearntSpeed.DecodeNanosPerToken);
}

/// Computes the share of slots that large tickets of each tier leave free: as
/// many as small tickets of higher tiers are likely to use at once.
void updateSmallDemand(Scheduler &s, Duration since) noexcept {
  const double dt = std::chrono::duration<double>(since).count();
  const double alpha = std::clamp(dt / DemandSeconds, 0.0, 1.0);
  const double base = s.Policy.ReservePermille / PerMille;
  double higher = 0;
  for (std::size_t i = 0; i < MaxTiers; ++i) {
    const double peak = higher + DemandDeviations * std::sqrt(higher);
    const double share = peak / std::max(s.Snapshot.UsableSlots, 1U);
    s.SmallDemand.ReserveShare[i] =
        s.Policy.ReserveForSmall ? std::clamp(share, base, 1.0) : 0;
    double &mean = s.SmallDemand.MeanInUse[i];
    mean += alpha * (s.SmallDemand.InUse[i] - mean);
    higher += mean;
  }
}

bool isUpToDate(const Scheduler &s, const ScheduleView &view,
                Time now) noexcept {
  const BoardSnapshot &r = s.Snapshot;
  return r.LastBundle == &view.ActiveBundle &&
         r.LastBundleVersion == view.ActiveBundle.Version &&
         r.LastEndpoints == &view.Endpoints && r.LastMoves == &view.Moves &&
         now - r.ReadAt < s.Policy.RefreshPeriod;
}

} // namespace

VersionId versionOf(const EndpointSpec &ep, const EndpointState *st) noexcept {
  return st && st->ReportedVersion ? *st->ReportedVersion : ep.Version;
}

bool isExcludedVersion(const ScheduleView &view, PoolId pool,
                       VersionId version) noexcept {
  for (const MoveState &st : view.Moves.Moves) {
    if (!st.VersionIsBad && st.Stage != MoveStage::RolledBack)
      continue;
    for (const MoveSpec &mv : view.ActiveBundle.Moves)
      if (mv.Id == st.Id && mv.Pool == pool && mv.NewVersion == version)
        return true;
  }
  return false;
}

bool mayServe(const Scheduler &s, const ScheduleView &view,
              const EndpointAccount &acc) noexcept {
  const EndpointSpec *ep = findEndpoint(view.ActiveBundle, acc.Id);
  if (!ep || !isOwnEndpoint(s, *ep))
    return false;
  const EndpointState *st = findEndpointState(view.Endpoints, acc.Id);
  if (st && (st->Leaving || st->Draining))
    return false;
  return versionOf(*ep, st) == acc.Version &&
         !isExcludedVersion(view, s.Pool, acc.Version);
}

void refreshSnapshot(Scheduler &s, const ScheduleView &view, Time now) {
  if (isUpToDate(s, view, now))
    return;
  const bool newbundle =
      s.Snapshot.LastBundle != &view.ActiveBundle ||
      s.Snapshot.LastBundleVersion != view.ActiveBundle.Version;
  const UsableCount before = std::move(s.Snapshot.Usable);
  s.Snapshot.LastBundle = &view.ActiveBundle;
  s.Snapshot.LastEndpoints = &view.Endpoints;
  s.Snapshot.LastMoves = &view.Moves;
  s.Snapshot.LastBundleVersion = view.ActiveBundle.Version;
  const Duration since = now - s.Snapshot.ReadAt;
  s.Snapshot.ReadAt = now;
  if (newbundle)
    readBundle(s, view.ActiveBundle);
  readExcludedVersions(s, view);
  s.Snapshot.Usable = {};
  s.Snapshot.FastestSpeed = {};
  s.Snapshot.UsableSlots = 0;
  s.Snapshot.SlotsInUse = 0;
  s.Snapshot.ProbeDue = false;
  for (const auto &[spec, idx] : s.Snapshot.PoolEndpoints) {
    readEndpoint(s, view, view.ActiveBundle.Endpoints[spec], idx, now);
    if (s.Accounts[idx].Usable)
      addUsableEndpoint(s, s.Accounts[idx], s.Snapshot.Usable.All == 0, now);
  }
  updateSmallDemand(s, since);
  if (before.ByVersion != s.Snapshot.Usable.ByVersion)
    s.Snapshot.UsableChanged = true;
}

std::uint32_t findOrCreateAccount(Scheduler &s, EndpointId id) {
  const auto [it, added] = s.AccountByEndpoint.try_emplace(id);
  if (!added)
    return it->second;
  if (s.FreeAccounts.empty()) {
    s.FreeAccounts.push_back(static_cast<std::uint32_t>(s.Accounts.size()));
    s.Accounts.emplace_back();
  }
  it->second = s.FreeAccounts.back();
  s.FreeAccounts.pop_back();
  s.Accounts[it->second].Id = id;
  return it->second;
}

void updateAvailability(Scheduler &s, std::uint32_t idx, Time now) {
  EndpointAccount &acc = s.Accounts[idx];
  // After a failure, grants one at a time until one succeeds.
  const bool failing = acc.Failures > 0 && ownUsage(acc).Slots > 0;
  const bool available = acc.Usable && !failing && now >= acc.BackoffUntil &&
                         hasCapacity(acc, {1});
  if (available == (acc.AvailableIndex != 0))
    return;
  auto &list = s.AvailableAccounts;
  if (available) {
    list.push_back(idx);
    acc.AvailableIndex = static_cast<std::uint32_t>(list.size());
    return;
  }
  list[acc.AvailableIndex - 1] = list.back();
  s.Accounts[list.back()].AvailableIndex = acc.AvailableIndex;
  list.pop_back();
  acc.AvailableIndex = 0;
}

bool isProbeDue(const SchedulePolicy &policy, const EndpointAccount &acc,
                Time now) noexcept {
  return acc.LearntSpeed.Samples > 0 && ownUsage(acc).Slots == 0 &&
         now - acc.LastGrantAt >= policy.ProbeInterval &&
         now >= acc.BackoffUntil;
}

} // namespace zinniagauge
