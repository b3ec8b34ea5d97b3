// Which pools the front reaches.
#include "zinniagauge/front/reachability.h"

#include <algorithm>
#include <cerrno>

namespace zinniagauge {

namespace {

/// Losses don't count if no connection was established for longer after them:
/// the front itself may have been cut off for a moment.
constexpr Duration MaxHoldTime = std::chrono::milliseconds(700);

/// A back end that is listed anew later than this after a crash may have been
/// restarted for another reason.
constexpr Duration MaxRestartTime = std::chrono::seconds(20);

/// A connection that is opened for other reasons often shows soon after a loss
/// that the pool is reached; a check isn't necessary then.
constexpr Duration ConfirmDelay = std::chrono::milliseconds(50);

void onReachTimer(void *ctx, Time now);

void armReachTimer(RequestLoop &rl) {
  Time next = Time::max();
  for (const auto &[id, pool] : rl.Pools)
    if (pool.Reach.EvaluateAt != Time())
      next = std::min(next, pool.Reach.EvaluateAt);
  if (next == Time::max())
    return;
  rl.ReachTimer.Fn = onReachTimer;
  rl.ReachTimer.Ctx = &rl;
  arm(rl.EventLoop, rl.ReachTimer, next);
}

/// The pool of \p to, or null if that is another front.
PoolState *poolOf(RequestLoop &rl, const BackendState &to) {
  if (to.IsPeer)
    return nullptr;
  const auto it = rl.Pools.find(to.Info.Pool);
  return it == rl.Pools.end() ? nullptr : &it->second;
}

void recordFailure(RequestLoop &rl, const VersionStatsKey &key) {
  VersionStatsCounts &c = rl.MoveStats[key];
  ++c.Requests;
  ++c.Failures;
}

/// Whether something that happened at \p at counts.
bool isConfirmed(const PoolState &pool, Time at) {
  return at <= pool.Held.ConfirmedUntil;
}

/// Whether \p crashes count, as their back end was restarted.
bool isConfirmed(const PoolState &pool, const HeldCrashes &crashes) {
  if (!crashes.AwaitsRestart)
    return isConfirmed(pool, crashes.At);
  return std::any_of(pool.Backends.begin(), pool.Backends.end(),
                     [&](const BackendState *b) {
                       return b->Info.Name == crashes.Backend &&
                              b->Info.StartedAtMs > crashes.StartedAtMs;
                     });
}

/// Whether what happened at \p at can't count any more.
bool isOutdated(const RequestLoop &rl, const PoolState &pool, Time at) {
  return pool.Reach.State != PoolReach::Reached ||
         rl.EventLoop.Now - at > MaxHoldTime;
}

/// Records the losses that count by now and drops those that won't.
void releaseHeld(RequestLoop &rl, PoolState &pool) {
  HeldLosses &losses = pool.Held;
  std::erase_if(losses.Crashes, [&](const HeldCrashes &held) {
    return held.AwaitsRestart ? rl.EventLoop.Now - held.At > MaxRestartTime
                              : isOutdated(rl, pool, held.At);
  });
  std::erase_if(losses.Failures, [&](const HeldFailure &held) {
    return isOutdated(rl, pool, held.At);
  });
  std::erase_if(losses.Crashes, [&](const HeldCrashes &held) {
    const bool counts = isConfirmed(pool, held);
    if (counts)
      recordCrashes(rl, held);
    return counts;
  });
  std::erase_if(losses.Failures, [&](const HeldFailure &held) {
    const bool counts = isConfirmed(pool, held.At);
    if (counts)
      recordFailure(rl, held.Key);
    return counts;
  });
  pool.Reach.Confirming =
      !losses.Failures.empty() ||
      std::any_of(losses.Crashes.begin(), losses.Crashes.end(),
                  [](const HeldCrashes &held) { return !held.AwaitsRestart; });
}

void holdLosses(RequestLoop &rl, PoolState &pool) {
  requestConfirmation(pool.Reach, rl.EventLoop.Now + ConfirmDelay);
  armReachTimer(rl);
}

/// The ids of the usable back ends of \p pool, sorted.
std::vector<EndpointId> usableBackends(const PoolState &pool) {
  std::vector<EndpointId> out;
  for (const BackendState *b : pool.Backends)
    if (isUsable(*b))
      out.push_back(b->Info.Id);
  return out;
}

std::string_view eventName(PoolReach reach) noexcept {
  switch (reach) {
  case PoolReach::Reached:
    return "pool_reached";
  case PoolReach::NoNewConnections:
    return "pool_no_new_connections";
  case PoolReach::Unreached:
    break;
  }
  return "pool_unreached";
}

void logChange(RequestLoop &rl, PoolId id, const PoolReachability &reach) {
  std::string name;
  {
    const ReadGuard guard;
    if (const PlanPool *known = findPool(rl.Board.Plan.read(guard), id))
      name = known->Name;
  }
  EventLine line = eventLine(eventName(reach.State));
  add(line, "pool", name);
  add(line, "failed", static_cast<std::int64_t>(reach.Failed.size()));
  const Time success = std::max(reach.LastConnectedAt, reach.LastByteAt);
  add(line, "silent_ms",
      rl.EventLoop.Now - (success == Time()
                              ? std::max(reach.FailingSince, rl.StartedAt)
                              : success));
  rl.Log.write(line);
}

void publishUnreached(RequestLoop &rl) {
  UnreachedPools out;
  for (const auto &[id, pool] : rl.Pools)
    if (pool.Reach.State != PoolReach::Reached)
      out.Pools.push_back(id);
  std::sort(out.Pools.begin(), out.Pools.end());
  setGauge(rl.Metrics, "pools_unreached",
           static_cast<double>(out.Pools.size()));
  rl.Board.OwnUnreached.publish(std::move(out));
  scheduleLoadReport(rl);
}

/// Takes back what was recorded against the back ends of \p pool since its
/// connections began to fail.
void revokeLosses(RequestLoop &rl, PoolState &pool) {
  const Time since = pool.Reach.FailingSince;
  const Time sinceboot = bootNow() - (rl.EventLoop.Now - since);
  for (BackendState *b : pool.Backends) {
    revokeEjection(b->Results, rl.Outliers, since);
    if (b->LostAt >= sinceboot)
      b->Cold.Unreachable = false;
    b->UnconfirmedCrashes.clear();
  }
}

/// Applies a change of the state of \p pool from \p before.
void applyChange(RequestLoop &rl, PoolId id, PoolState &pool,
                 PoolReach before) {
  if (before == PoolReach::Reached)
    revokeLosses(rl, pool);
  if (pool.Reach.State == PoolReach::Reached)
    pool.ReachedSince = rl.EventLoop.Now;
  else if (pool.Reach.State == PoolReach::Unreached)
    for (BackendState *b : pool.Backends)
      closeIdleConnections(*b);
  logChange(rl, id, pool.Reach);
  publishUnreached(rl);
  onPoolReachChanged(rl, id);
}

void evaluatePool(RequestLoop &rl, PoolId id, Time now) {
  PoolState &pool = rl.Pools[id];
  const std::vector<EndpointId> usable = usableBackends(pool);
  const PoolReach before = pool.Reach.State;
  evaluate(pool.Reach, usable, now);
  releaseHeld(rl, pool);
  for (const EndpointId at : startChecks(pool.Reach, usable, now))
    if (const auto it = rl.Backends.find(at); it != rl.Backends.end())
      checkBackend(rl, *it->second);
  if (pool.Reach.State != before)
    applyChange(rl, id, pool, before);
}

void onReachTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  std::vector<PoolId> due;
  for (const auto &[id, pool] : rl.Pools)
    if (pool.Reach.EvaluateAt != Time() && pool.Reach.EvaluateAt <= now)
      due.push_back(id);
  for (const PoolId id : due)
    evaluatePool(rl, id, now);
  armReachTimer(rl);
}

void recordLossOf(BackendConnection &conn, Time since) {
  RequestLoop &rl = *conn.Owner;
  PoolState *pool = poolOf(rl, *conn.Target);
  if (!pool)
    return;
  recordLoss(pool->Reach, conn.Target->Info.Id, since, rl.EventLoop.Now);
  armReachTimer(rl);
}

} // namespace

void onBackendReached(BackendConnection &conn) {
  RequestLoop &rl = *conn.Owner;
  PoolState *pool = poolOf(rl, *conn.Target);
  if (!pool)
    return;
  recordConnected(pool->Reach, rl.EventLoop.Now);
  pool->Held.ConfirmedUntil =
      std::max(pool->Held.ConfirmedUntil, conn.OpenedAt);
  releaseHeld(rl, *pool);
  armReachTimer(rl);
}

void onBackendBytes(BackendConnection &conn) {
  if (PoolState *pool = poolOf(*conn.Owner, *conn.Target))
    recordBytes(pool->Reach, conn.Owner->EventLoop.Now);
}

void onConnectFailed(RequestLoop &rl, BackendState &to, Time since) {
  PoolState *pool = poolOf(rl, to);
  if (!pool)
    return;
  recordConnectFailure(pool->Reach, to.Info.Id, since, rl.EventLoop.Now);
  armReachTimer(rl);
}

void onBackendReset(BackendConnection &conn, int err) {
  const Time now = conn.Owner->EventLoop.Now;
  if (err == ETIMEDOUT && conn.ActiveCall)
    recordLossOf(conn, conn.LastByteAt);
  else if (err != 0)
    recordLossOf(conn, now);
}

void onBackendSilent(BackendConnection &conn) {
  // With a connection established since, only the back end is silent.
  const PoolState *pool = poolOf(*conn.Owner, *conn.Target);
  if (pool && pool->Reach.LastConnectedAt <= conn.LastByteAt)
    recordLossOf(conn, conn.LastByteAt);
}

bool lossCounts(const BackendConnection &conn) {
  const PoolState *pool = poolOf(*conn.Owner, *conn.Target);
  const Time used = conn.ActiveCall ? conn.ActiveCall->SentAt : conn.OpenedAt;
  return !pool || (pool->Reach.State == PoolReach::Reached &&
                   used >= pool->ReachedSince);
}

void recordOnceReached(RequestLoop &rl, const BackendState &at,
                       HeldCrashes crashes) {
  PoolState *pool = poolOf(rl, at);
  if (!pool || pool->Reach.State != PoolReach::Reached)
    return;
  if (isConfirmed(*pool, crashes.At)) {
    recordCrashes(rl, crashes);
    return;
  }
  crashes.AwaitsRestart = usableBackends(*pool).size() <= 1;
  const bool check = !crashes.AwaitsRestart;
  pool->Held.Crashes.push_back(std::move(crashes));
  if (check)
    holdLosses(rl, *pool);
}

void recordLostAttempt(RequestLoop &rl, Call &call) {
  const auto it = rl.Backends.find(call.LastBackend);
  PoolState &pool = rl.Pools[call.Plan.Pool];
  if (it == rl.Backends.end() || call.Evaluated ||
      pool.Reach.State != PoolReach::Reached || call.SentAt < pool.ReachedSince)
    return;
  const BackendState &at = *it->second;
  {
    const ReadGuard guard;
    const PoolMove *move =
        findMove(rl.Board.PoolMoves.read(guard), call.Plan.Pool);
    if (!move || isFinal(move->Stage))
      return;
  }
  call.Evaluated = true;
  const VersionStatsKey key = {call.Plan.Pool, at.Info.Version, at.Info.Id,
                               RouteId::of(call.Plan.Route), LoadClass::Light};
  const Time now = rl.EventLoop.Now;
  if (isConfirmed(pool, now)) {
    recordFailure(rl, key);
    return;
  }
  pool.Held.Failures.push_back({key, now});
  holdLosses(rl, pool);
}

void onPoolReachChanged(RequestLoop &rl, PoolId pool) {
  const PoolState &st = rl.Pools[pool];
  std::vector<std::shared_ptr<Call>> relayed;
  if (st.Reach.State != PoolReach::Reached)
    for (const auto &[rank, call] : st.Queue)
      if (call->FromPeer && call->Caller)
        relayed.push_back(call->Caller->ActiveCall);
  // Those that no idle connection is left for are refused.
  for (const std::shared_ptr<Call> &call : relayed) {
    dequeue(rl, *call);
    dispatchCall(call);
  }
  dispatchQueued(rl, pool);
}

} // namespace zinniagauge
