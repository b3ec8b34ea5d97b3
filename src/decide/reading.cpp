#include "zinniagauge/decide/reading.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

constexpr double PerMille = 1000;

/// The time over which the slots that small tickets use are averaged.
constexpr double DemandSeconds = 10;

/// How far above their average the slots of small tickets are expected to go,
/// in standard deviations of a Poisson process.
constexpr double DemandDeviations = 2;

bool isMine(const Scheduler &s, const EndpointSpec &ep) noexcept {
  return ep.Pool == s.Pool && (s.Zone == ZoneId{} || s.Zone == ep.Zone);
}

void takeWeights(Scheduler &s, const Bundle &b) {
  s.Queue.Weights.clear();
  for (const WorkspaceSpec &ws : b.Workspaces)
    s.Queue.Weights.emplace(ws.Id, ws.Weight);
}

/// Forgets the accounts of endpoints that the bundle no longer has.
void dropAccounts(Scheduler &s, const Bundle &b) {
  for (std::uint32_t i = 0; i < s.Accounts.size(); ++i) {
    EndpointAccount &acc = s.Accounts[i];
    const bool known = acc.Id == EndpointId{} || findEndpoint(b, acc.Id);
    if (known)
      continue;
    acc.Usable = false;
    updateRoom(s, i, s.Board.At);
    if (ownUsage(acc).Slots > 0)
      continue;
    s.ByEndpoint.erase(acc.Id);
    acc = {};
    s.UnusedAccounts.push_back(i);
  }
}

void takeBundle(Scheduler &s, const Bundle &b) {
  takeWeights(s, b);
  dropAccounts(s, b);
  s.Board.Mine.clear();
  for (std::uint32_t i = 0; i < b.Endpoints.size(); ++i) {
    const EndpointSpec &ep = b.Endpoints[i];
    if (!isMine(s, ep))
      continue;
    const std::uint32_t idx = accountOf(s, ep.Id);
    EndpointAccount &acc = s.Accounts[idx];
    acc.Slots = std::max(ep.Slots, 1U);
    acc.TokenLimit = ep.TokenLimit;
    if (acc.Learnt.Samples == 0)
      acc.Learnt = statedSpeed(ep);
    s.Board.Mine.emplace_back(i, idx);
  }
}

void takeBarred(Scheduler &s, const ScheduleView &view) {
  s.Board.Barred.clear();
  for (const MoveSpec &mv : view.InForce.Moves)
    if (isBarred(view, s.Pool, mv.To))
      s.Board.Barred.push_back(mv.To);
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

void takeEndpoint(Scheduler &s, const ScheduleView &view,
                  const EndpointSpec &ep, std::uint32_t idx, Time now) {
  EndpointAccount &acc = s.Accounts[idx];
  const EndpointState *st = findState(view.Endpoints, ep.Id);
  const auto &barred = s.Board.Barred;
  acc.Version = versionOf(ep, st);
  acc.Usable =
      (!st || (!st->Leaving && !st->Draining)) &&
      std::find(barred.begin(), barred.end(), acc.Version) == barred.end();
  sampleUsage(acc, now);
  acc.Foreign = {};
  if (st && st->Load)
    correctByReport(acc, *st->Load, s.Policy.LoadMaxAge, now);
  updateRoom(s, idx, now);
}

void noteUsable(Scheduler &s, const EndpointAccount &acc, bool first,
                Time now) {
  Speed &best = s.Board.Fastest;
  countUsable(s.Board.Usable, acc.Version);
  s.Board.ProbeDue = s.Board.ProbeDue || isProbeDue(s.Policy, acc, now);
  s.Board.Slots += acc.Slots;
  s.Board.SlotsTaken += std::min(ownUsage(acc).Slots, acc.Slots);
  if (first) {
    best = acc.Learnt;
    return;
  }
  best.PrefillNanos = std::min(best.PrefillNanos, acc.Learnt.PrefillNanos);
  best.TokenNanos = std::min(best.TokenNanos, acc.Learnt.TokenNanos);
}

/// Large tickets of a tier keep room for as many small ones of higher tiers as
/// are likely to be in flight at once.
void takeDemand(Scheduler &s, Duration since) noexcept {
  const double dt = std::chrono::duration<double>(since).count();
  const double alpha = std::clamp(dt / DemandSeconds, 0.0, 1.0);
  const double base = s.Policy.ReservePermille / PerMille;
  double higher = 0;
  for (std::size_t i = 0; i < MaxTiers; ++i) {
    const double most = higher + DemandDeviations * std::sqrt(higher);
    const double share = most / std::max(s.Board.Slots, 1U);
    s.SmallDemand.Reserve[i] =
        s.Policy.Reserves ? std::clamp(share, base, 1.0) : 0;
    double &mean = s.SmallDemand.Mean[i];
    mean += alpha * (s.SmallDemand.InUse[i] - mean);
    higher += mean;
  }
}

bool isFresh(const Scheduler &s, const ScheduleView &view, Time now) noexcept {
  const BoardReading &r = s.Board;
  return r.Read == &view.InForce && r.BundleVersion == view.InForce.Version &&
         r.Endpoints == &view.Endpoints && r.Moves == &view.Moves &&
         now - r.At < s.Policy.RefreshEvery;
}

} // namespace

VersionId versionOf(const EndpointSpec &ep, const EndpointState *st) noexcept {
  return st && st->Reported ? *st->Reported : ep.Version;
}

bool isBarred(const ScheduleView &view, PoolId pool,
              VersionId version) noexcept {
  for (const MoveState &st : view.Moves.Moves) {
    if (!st.Bad && st.Stage != MoveStage::TakenBack)
      continue;
    for (const MoveSpec &mv : view.InForce.Moves)
      if (mv.Id == st.Id && mv.Pool == pool && mv.To == version)
        return true;
  }
  return false;
}

bool mayServe(const Scheduler &s, const ScheduleView &view,
              const EndpointAccount &acc) noexcept {
  const EndpointSpec *ep = findEndpoint(view.InForce, acc.Id);
  if (!ep || !isMine(s, *ep))
    return false;
  const EndpointState *st = findState(view.Endpoints, acc.Id);
  if (st && (st->Leaving || st->Draining))
    return false;
  return versionOf(*ep, st) == acc.Version &&
         !isBarred(view, s.Pool, acc.Version);
}

void readBoard(Scheduler &s, const ScheduleView &view, Time now) {
  if (isFresh(s, view, now))
    return;
  const bool other = s.Board.Read != &view.InForce ||
                     s.Board.BundleVersion != view.InForce.Version;
  const UsableCount before = std::move(s.Board.Usable);
  s.Board.Read = &view.InForce;
  s.Board.Endpoints = &view.Endpoints;
  s.Board.Moves = &view.Moves;
  s.Board.BundleVersion = view.InForce.Version;
  const Duration since = now - s.Board.At;
  s.Board.At = now;
  if (other)
    takeBundle(s, view.InForce);
  takeBarred(s, view);
  s.Board.Usable = {};
  s.Board.Fastest = {};
  s.Board.Slots = 0;
  s.Board.SlotsTaken = 0;
  s.Board.ProbeDue = false;
  for (const auto &[spec, idx] : s.Board.Mine) {
    takeEndpoint(s, view, view.InForce.Endpoints[spec], idx, now);
    if (s.Accounts[idx].Usable)
      noteUsable(s, s.Accounts[idx], s.Board.Usable.All == 0, now);
  }
  takeDemand(s, since);
  if (before.ByVersion != s.Board.Usable.ByVersion)
    s.Board.UsableChanged = true;
}

std::uint32_t accountOf(Scheduler &s, EndpointId id) {
  const auto [it, added] = s.ByEndpoint.try_emplace(id);
  if (!added)
    return it->second;
  if (s.UnusedAccounts.empty()) {
    s.UnusedAccounts.push_back(static_cast<std::uint32_t>(s.Accounts.size()));
    s.Accounts.emplace_back();
  }
  it->second = s.UnusedAccounts.back();
  s.UnusedAccounts.pop_back();
  s.Accounts[it->second].Id = id;
  return it->second;
}

void updateRoom(Scheduler &s, std::uint32_t idx, Time now) {
  EndpointAccount &acc = s.Accounts[idx];
  // After a failure, one grant at a time until one goes well.
  const bool troubled = acc.Failures > 0 && ownUsage(acc).Slots > 0;
  const bool room =
      acc.Usable && !troubled && now >= acc.NotBefore && fits(acc, {1});
  if (room == (acc.RoomIndex != 0))
    return;
  auto &list = s.WithRoom;
  if (room) {
    list.push_back(idx);
    acc.RoomIndex = static_cast<std::uint32_t>(list.size());
    return;
  }
  list[acc.RoomIndex - 1] = list.back();
  s.Accounts[list.back()].RoomIndex = acc.RoomIndex;
  list.pop_back();
  acc.RoomIndex = 0;
}

bool isProbeDue(const SchedulePolicy &policy, const EndpointAccount &acc,
                Time now) noexcept {
  return acc.Learnt.Samples > 0 && ownUsage(acc).Slots == 0 &&
         now - acc.LastGrant >= policy.ProbeAfter && now >= acc.NotBefore;
}

} // namespace zinniagauge
