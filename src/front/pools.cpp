// The back ends of each pool: choice, queue, measurements and ejection.
#include "zinniagauge/decide/share_gate.h"
#include "zinniagauge/decide/zone_evacuation.h"
#include "zinniagauge/front/reachability.h"
#include "zinniagauge/front/relay.h"
#include "zinniagauge/front/reported_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniagauge {

namespace {

/// How often waiting calls are checked without another event: the loads of
/// other processes change, and latency targets pass.
constexpr Duration DispatchPeriod = std::chrono::milliseconds(20);

/// Number of waiting calls without a free back end after which one dispatch
/// stops.
constexpr std::size_t MaxSkipped = 8;

/// For this long after a send other processes may not know of it.
constexpr Duration ContentionWindow = std::chrono::milliseconds(25);

/// Weights of the latest measurement in the moving averages of the time per
/// event and of the time per prompt token.
constexpr double EventTimeWeight = 0.25;
constexpr double PromptTimeWeight = 0.1;

/// Shorter prompts say little about the time per prompt token.
constexpr std::uint64_t MinPromptTokens = 500;

/// Up to this many unseen sends are ignored: a back end that looks second best
/// then costs more than a slot that is taken at the same time.
constexpr double IgnoredSends = 16;

double millisOf(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

PoolState &poolOf(RequestLoop &rl, PoolId id) { return rl.Pools[id]; }

/// Whether the number of ejected back ends of a pool is within its limit, so
/// that another one may be ejected.
bool mayEject(const PoolState &pool, const OutlierLimits &lim, Time now) {
  const auto ejected = std::count_if(
      pool.Backends.begin(), pool.Backends.end(),
      [&](const BackendState *b) { return isEjected(b->Results, now); });
  return static_cast<double>(ejected) <=
         lim.MaxEjectedFraction * static_cast<double>(pool.Backends.size());
}

/// Logs that \p to is ejected.
void logEjection(RequestLoop &rl, const BackendState &to,
                 std::string_view reason) {
  constexpr double Permille = 1000;
  EventLine line = eventLine("backend_passed_over");
  add(line, "backend", to.Info.Name);
  add(line, "why", reason);
  add(line, "pool_failures_permille",
      static_cast<std::int64_t>(rl.Pools[to.Info.Pool].Results.FailureRate *
                                Permille));
  add(line, "for_ms", to.Results.EjectionTime);
  rl.Log.write(line);
}

/// Whether this process has recently sent its part of the free slots of \p b.
/// Applies while calls wait: several processes with waiting calls see the same
/// free slots, and each learns only some milliseconds later that another one
/// has used them.
bool isContended(const RequestLoop &rl, const PoolState &pool,
                 const BackendState &b, double running, double processes) {
  if (pool.Queue.empty() || rl.EventLoop.Now - b.LastSentAt > ContentionWindow)
    return false;
  const double free = b.Info.Slots - running + b.RecentSends;
  return b.RecentSends >= std::max(std::floor(free / processes), 1.0);
}

/// Fills RequestLoop::Candidates with the back ends of \p pool.
void listCandidates(RequestLoop &rl, const PoolState &pool, const Call &call,
                    bool skipejected, bool skiptried) {
  const ReadGuard guard;
  const LoadList &peers = rl.Board.PeerLoads.read(guard);
  const double processes = rl.Board.LivingFronts;
  const ZoneId zone = ZoneId::of(rl.Settings.Zone);
  const Time boot = bootNow();
  rl.Candidates.clear();
  for (BackendState *b : pool.Backends) {
    Candidate c;
    c.Id = b->Info.Id;
    const BackendLoad peerload = findLoad(peers, b->Info.Id);
    const LoadEstimate load = currentLoad(rl, *b, peerload);
    c.Running = load.Running;
    c.LearntRunning = b->Running + peerload.Running;
    c.HasWaiting = load.HasWaiting;
    c.EventMs = load.EventMs;
    c.PendingTokens =
        static_cast<double>(b->PendingTokens) + peerload.PendingTokens;
    c.Slots = std::max(b->Info.Slots, 1U);
    const bool tried =
        skiptried &&
        std::find(call.TriedBackends.begin(), call.TriedBackends.end(),
                  b->Info.Id) != call.TriedBackends.end();
    c.Usable = isUsable(*b) && !tried &&
               maySend(b->Asked, rl.Board.LivingFronts, rl.EventLoop.Now) &&
               nextColdSendAt(rl, pool, *b, boot) <= boot &&
               (pool.Reach.State != PoolReach::NoNewConnections ||
                hasIdleConnection(rl, *b, call)) &&
               !(skipejected && isEjected(b->Results, rl.EventLoop.Now));
    c.Contended = isContended(rl, pool, *b, c.Running, processes);
    c.Paused = isPaused(rl, pool, *b, load, peerload);
    c.SameZone = b->Info.Zone == zone;
    rl.Candidates.push_back(c);
  }
}

/// During a version move, limits the candidates to the version that the next
/// call goes to.
void applyVersionMove(RequestLoop &rl, PoolState &pool, PoolId id) {
  const ReadGuard guard;
  const PoolMove *move = findMove(rl.Board.PoolMoves.read(guard), id);
  if (!move)
    return;
  recordMoveSeen(pool.Split, *move, rl.EventLoop.Now - rl.StartedAt,
                 rl.Board.LivingFronts);
  const bool tonewversion = goesToNewVersion(
      pool.Split, *move, ownEarlyCalls(rl.Settings.Exposure, pool.Split));
  const auto matches = [&](std::size_t n) {
    return (pool.Backends[n]->Info.Version == move->NewVersion) == tonewversion;
  };
  // During a trial a call doesn't wait for room at the new version.
  const bool trial = move->SharePermille < FullSharePermille;
  bool any = false;
  for (std::size_t n = 0; n < rl.Candidates.size(); ++n)
    any = any || (matches(n) && (trial ? hasFreeSlot(rl.Candidates[n])
                                       : rl.Candidates[n].Usable));
  // If the new version has no such back end, the call goes to the old one. The
  // reverse isn't allowed, as the new version would exceed its share.
  const bool fallback = !any && tonewversion;
  for (std::size_t n = 0; n < rl.Candidates.size(); ++n)
    rl.Candidates[n].Usable =
        rl.Candidates[n].Usable && (fallback || matches(n));
}

/// How many calls of other processes to assume at the back ends of pool \p id
/// beyond the known loads. While calls wait, each process that has some sees
/// the same free slots.
std::size_t unseenSends(RequestLoop &rl, PoolState &pool, PoolId id) {
  const Duration delay(rl.Board.LoadDelay.load());
  const double others = rl.Board.LivingFronts.load() - 1.0;
  double expected = arrivalsPerSecond(pool.Arrivals, rl.EventLoop.Now) *
                    std::chrono::duration<double>(delay).count() * others;
  if (!pool.Queue.empty()) {
    const ReadGuard guard;
    const double waiting = waitingFor(rl.Board.PeerQueues.read(guard), id);
    expected = std::max(expected, std::min(waiting, others));
  }
  return assumedSends(pool.Place, expected - IgnoredSends, delay,
                      rl.EventLoop.Now, rl.RandomState);
}

bool anyUsable(const RequestLoop &rl) {
  return std::any_of(rl.Candidates.begin(), rl.Candidates.end(),
                     [](const Candidate &c) { return c.Usable; });
}

/// Moves calls that missed their latency target behind calls of the same
/// priority that can still meet it.
void demoteLateCalls(const RequestLoop &rl, PoolState &pool) {
  std::vector<Call *> late;
  for (const auto &[rank, call] : pool.Queue)
    if (rank.TargetMissed == 0 &&
        rl.EventLoop.Now >= call->Arrived + call->Plan.LatencyTarget)
      late.push_back(call);
  for (Call *call : late) {
    pool.Queue.erase({call->Rank, call});
    call->Rank.TargetMissed = 1;
    pool.Queue.emplace(call->Rank, call);
  }
}

/// The times of the successful response to \p call, which has just ended.
ResponseTimes responseTimes(const RequestLoop &rl, const Call &call) {
  const Time first =
      call.Stream.Events > 0 ? call.Stream.FirstEventAt : rl.EventLoop.Now;
  return {std::max(first - call.SentAt, Duration::zero()),
          rl.EventLoop.Now - std::max(first, call.SentAt),
          std::max(call.Stream.Events, 1U) - 1};
}

/// The baseline of \p route. Routes that operators have removed are forgotten
/// with all others once there are many.
ResponseBaseline &baselineOf(PoolState &pool, RouteId route) {
  constexpr std::size_t MaxBaselines = 512;
  if (pool.Baselines.size() >= MaxBaselines && !pool.Baselines.contains(route))
    pool.Baselines.clear();
  return pool.Baselines[route];
}

/// Whether \p b would take calls, wherever it is.
bool isServing(const BackendState &b) noexcept {
  return b.Listed && !b.Info.Leaving && !b.Asked.Leaving && !b.WrongIncarnation;
}

void addSuccess(VersionStatsCounts &c, const Call &call,
                const ResponseTimes &times, bool slow) {
  c.FirstTokenNanos += static_cast<std::uint64_t>(times.First.count());
  c.TotalNanos +=
      static_cast<std::uint64_t>((times.First + times.Rest).count());
  c.OutputTokens += std::max(call.Stream.Events, 1U);
  c.SlowResponses += slow ? 1 : 0;
}

} // namespace

bool isUsable(const BackendState &b) noexcept {
  return isServing(b) && !b.Evacuated;
}

bool isPoolEvacuated(const RequestLoop &rl, PoolId pool) {
  const auto it = rl.Pools.find(pool);
  if (it == rl.Pools.end())
    return false;
  const auto &list = it->second.Backends;
  return std::none_of(list.begin(), list.end(),
                      [](const BackendState *b) { return isUsable(*b); }) &&
         std::any_of(list.begin(), list.end(),
                     [](const BackendState *b) { return isServing(*b); });
}

void refreshBackends(RequestLoop &rl) {
  const ReadGuard guard;
  const BackendList &list = rl.Board.Backends.read(guard);
  const EvacuatedZones &evacuated = rl.Board.Evacuations.read(guard);
  setGauge(rl.Metrics, "zones_evacuated",
           static_cast<double>(evacuated.Zones.size()));
  for (auto &[id, st] : rl.Backends)
    st->Listed = false;
  for (const Backend &b : list.List) {
    auto &st = rl.Backends[b.Id];
    if (!st)
      st = std::make_unique<BackendState>();
    st->Info = b;
    st->Listed = true;
    st->Evacuated = isEvacuated(evacuated, b.Zone);
  }
  for (auto &[id, pool] : rl.Pools)
    pool.Backends.clear();
  for (auto it = rl.Backends.begin(); it != rl.Backends.end();) {
    BackendState &st = *it->second;
    if (st.Listed)
      poolOf(rl, st.Info.Pool).Backends.push_back(&st);
    if (!st.Listed && st.ConnectionCount == 0)
      it = rl.Backends.erase(it);
    else
      ++it;
  }
  for (auto &[id, pool] : rl.Pools)
    std::sort(pool.Backends.begin(), pool.Backends.end(),
              [](const BackendState *a, const BackendState *b) {
                return a->Info.Id < b->Info.Id;
              });
  refreshColdPools(rl);
}

BackendState *pickBackend(RequestLoop &rl, const Call &call) {
  PoolState &pool = poolOf(rl, call.Plan.Pool);
  if (isHeldBack(rl, call))
    return nullptr;
  const bool suspect = traitStatus(rl, call) == TraitStatus::Suspect;
  listCandidates(rl, pool, call, true, true);
  if (!anyUsable(rl))
    listCandidates(rl, pool, call, false, true);
  if (!anyUsable(rl))
    listCandidates(rl, pool, call, false, false);
  pool.EventMs = meanEventMs(rl.Candidates);
  applyVersionMove(rl, pool, call.Plan.Pool);
  allowOnlyCandidate(rl.Candidates);
  CallEstimate work;
  work.PromptTokens = static_cast<double>(call.Work.PromptTokens);
  work.ExpectedEvents =
      std::max(call.Work.ExpectedEvents - call.Stream.Events, 1.0);
  work.PromptTokenMs = pool.PromptMs;
  work.TargetLeftMs =
      millisOf(call.Arrived + call.Plan.LatencyTarget - rl.EventLoop.Now);
  work.TimeLeftMs = millisOf(call.Deadline - rl.EventLoop.Now);
  const std::vector<std::size_t> cold = setColdAside(rl, pool);
  placeAssumedSends(rl.Candidates, work, rl.Weights,
                    unseenSends(rl, pool, call.Plan.Pool));
  // A crash ends all calls of the back end.
  const auto choose = [&] {
    return suspect ? chooseEmptiest(rl.Candidates)
                   : chooseBackend(rl.Candidates, work, rl.Weights);
  };
  auto at = choose();
  if (!at && useColdInstead(rl, call, cold))
    at = choose();
  return at ? rl.Backends[rl.Candidates[*at].Id].get() : nullptr;
}

BackendState *pickTarget(RequestLoop &rl, const Call &call) {
  const PoolReach reach = poolOf(rl, call.Plan.Pool).Reach.State;
  if (reach == PoolReach::Reached || (rl.Peers.empty() && !call.FromPeer))
    return pickBackend(rl, call);
  BackendState *to =
      reach == PoolReach::NoNewConnections ? pickBackend(rl, call) : nullptr;
  return to ? to : pickRelayPeer(rl, call);
}

std::uint64_t tokensAhead(const RequestLoop &rl, const BackendState &to) {
  const ReadGuard guard;
  return to.PendingTokens +
         findLoad(rl.Board.PeerLoads.read(guard), to.Info.Id).PendingTokens;
}

Duration expectedFirstEventTime(RequestLoop &rl, const Call &call) {
  const PoolState &pool = poolOf(rl, call.Plan.Pool);
  const auto it = rl.Backends.find(call.LastBackend);
  const double slowness =
      it != rl.Backends.end() && it->second->EventMs > 0 && pool.EventMs > 0
          ? it->second->EventMs / pool.EventMs
          : 1;
  const double ms =
      static_cast<double>(call.TokensAhead + call.Work.PromptTokens) *
      pool.PromptMs * slowness;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

void recordPromptTime(RequestLoop &rl, const Call &call) {
  const auto it = rl.Backends.find(call.LastBackend);
  if (it == rl.Backends.end() || call.Work.PromptTokens < MinPromptTokens)
    return;
  PoolState &pool = poolOf(rl, call.Plan.Pool);
  listCandidates(rl, pool, call, false, false);
  const double mean = meanEventMs(rl.Candidates);
  const BackendState &at = *it->second;
  const double slowness = mean > 0 && at.EventMs > 0 ? at.EventMs / mean : 1;
  const auto tokens =
      static_cast<double>(call.TokensAhead + call.Work.PromptTokens);
  const double ms =
      millisOf(rl.EventLoop.Now - call.SentAt) / tokens / slowness;
  pool.PromptMs = pool.PromptMs > 0
                      ? pool.PromptMs + PromptTimeWeight * (ms - pool.PromptMs)
                      : ms;
}

void recordEventTime(BackendState &to, Time from, Time until,
                     std::uint32_t events) {
  if (events == 0)
    return;
  const double ms = millisOf(usualSpan(to.Reports.Paces, from, until)) / events;
  to.EventMs =
      to.EventMs > 0 ? to.EventMs + EventTimeWeight * (ms - to.EventMs) : ms;
}

void enqueue(RequestLoop &rl, Call &call) {
  call.Rank.Priority = call.Plan.Priority;
  call.Rank.RoutePriority = call.Plan.RoutePriority;
  call.Rank.TargetMissed =
      rl.EventLoop.Now >= call.Arrived + call.Plan.LatencyTarget ? 1 : 0;
  call.Rank.WaitingSince = call.Arrived;
  call.Rank.SequenceNumber = ++rl.LastSequenceNumber;
  call.Queued = true;
  call.QueuedSince = rl.EventLoop.Now;
  PoolState &pool = poolOf(rl, call.Plan.Pool);
  pool.Queue.emplace(call.Rank, &call);
  setCallsWait(pool.Sends, true, rl.EventLoop.Now);
  scheduleLoadReport(rl);
  if (!rl.DispatchTimer.Hook.is_linked())
    arm(rl.EventLoop, rl.DispatchTimer, rl.EventLoop.Now + DispatchPeriod);
}

void dequeue(RequestLoop &rl, Call &call) {
  if (!call.Queued)
    return;
  poolOf(rl, call.Plan.Pool).Queue.erase({call.Rank, &call});
  call.Queued = false;
  scheduleLoadReport(rl);
  call.QueueTime += rl.EventLoop.Now - call.QueuedSince;
}

void dispatchQueued(RequestLoop &rl, PoolId id) {
  PoolState &pool = poolOf(rl, id);
  setCallsWait(pool.Sends, !pool.Queue.empty(), rl.EventLoop.Now);
  if (pool.Queue.empty())
    return;
  demoteLateCalls(rl, pool);
  std::size_t skipped = 0;
  std::size_t at = 0;
  // One call at a time: each call that is sent uses capacity.
  while (skipped < MaxSkipped && at < pool.Queue.size()) {
    Call &call = *std::next(pool.Queue.begin(), static_cast<int>(at))->second;
    if (isHeldBack(rl, call)) {
      ++at;
      continue;
    }
    if (!pickTarget(rl, call)) {
      ++skipped;
      ++at;
      continue;
    }
    dequeue(rl, call);
    if (call.Caller) {
      const std::shared_ptr<Call> queued = call.Caller->ActiveCall;
      dispatchCall(queued);
    }
  }
  if (!pool.Queue.empty() && !rl.DispatchTimer.Hook.is_linked())
    arm(rl.EventLoop, rl.DispatchTimer, rl.EventLoop.Now + DispatchPeriod);
}

void recordMoveStats(RequestLoop &rl, Call &call, bool failed) {
  const auto it = rl.Backends.find(call.LastBackend);
  if (it == rl.Backends.end())
    return;
  const BackendState &at = *it->second;
  const RouteId route = RouteId::of(call.Plan.Route);
  const ResponseTimes times = responseTimes(rl, call);
  const ReadGuard guard;
  const PoolMove *move =
      findMove(rl.Board.PoolMoves.read(guard), call.Plan.Pool);
  const bool moving = move && !isFinal(move->Stage);
  ResponseBaseline &base = baselineOf(poolOf(rl, call.Plan.Pool), route);
  if (moving && !std::exchange(call.Evaluated, true)) {
    VersionStatsCounts &c = rl.MoveStats[{call.Plan.Pool, at.Info.Version,
                                          at.Info.Id, route, LoadClass::Light}];
    ++c.Requests;
    if (failed)
      ++c.Failures;
    else
      addSuccess(c, call, times, isSlow(base, times));
  }
  if (!failed && !(moving && at.Info.Version == move->NewVersion))
    addResponse(base, times);
}

void recordSent(RequestLoop &rl, BackendState &to) {
  countSend(poolOf(rl, to.Info.Pool).Sends, rl.EventLoop.Now);
  {
    const ReadGuard guard;
    const PoolMove *move =
        findMove(rl.Board.PoolMoves.read(guard), to.Info.Pool);
    if (move)
      countSent(poolOf(rl, to.Info.Pool).Split, *move,
                to.Info.Version == move->NewVersion);
  }
  usePermission(to.Asked, rl.Board.LivingFronts, rl.EventLoop.Now);
  recordRiskedCall(to.Guard, rl.EventLoop.Now);
  recordColdSend(poolOf(rl, to.Info.Pool), to);
  if (rl.EventLoop.Now - to.LastSentAt > ContentionWindow)
    to.RecentSends = 0;
  ++to.RecentSends;
  to.LastSentAt = rl.EventLoop.Now;
}

void recordWrongAnswer(RequestLoop &rl, BackendState &to) {
  if (to.IsPeer)
    return;
  PoolState &pool = poolOf(rl, to.Info.Pool);
  if (mayEject(pool, rl.Outliers, rl.EventLoop.Now) &&
      recordWrongAnswer(to.Results, pool.Results, rl.Outliers,
                        rl.EventLoop.Now))
    logEjection(rl, to, "answers that are wrong");
}

void recordLostConnection(RequestLoop &rl, BackendState &to) {
  if (to.IsPeer) {
    passOverPeer(rl, to);
    return;
  }
  recordUnreachable(rl, to);
  recordGuardLoss(to.Guard);
  PoolState &pool = poolOf(rl, to.Info.Pool);
  if (mayEject(pool, rl.Outliers, rl.EventLoop.Now) &&
      recordLostConnection(to.Results, rl.Outliers, rl.EventLoop.Now))
    logEjection(rl, to, "connections lost in a row");
}

void recordResponse(RequestLoop &rl, BackendState &to, bool failed) {
  PoolState &pool = poolOf(rl, to.Info.Pool);
  if (mayEject(pool, rl.Outliers, rl.EventLoop.Now) &&
      recordResult(to.Results, pool.Results, failed, rl.Outliers,
                   rl.EventLoop.Now))
    logEjection(rl, to, "fails more than its pool");
}

} // namespace zinniagauge
