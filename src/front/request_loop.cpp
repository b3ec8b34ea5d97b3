// The request loop's timers, and what it publishes on the board.
#include "zinniagauge/front/request_loop.h"

#include "zinniagauge/front/relay.h"
#include "zinniagauge/front/reported_load.h"

#include <algorithm>
#include <random>

namespace zinniagauge {

namespace {

/// How long changes of this process's loads are collected before they are
/// published for the other processes. Short compared with the time between two
/// calls that end at one back end.
constexpr Duration LoadReportDelay = std::chrono::milliseconds(10);

/// How often allowances are updated with what other processes spent.
constexpr Duration TrackPeriod = std::chrono::milliseconds(500);

/// How often idle connections are checked and gauges updated.
constexpr Duration HousekeepingPeriod = std::chrono::seconds(1);

/// This process's loads of back ends, sorted by id.
LoadList ownLoads(const RequestLoop &rl) {
  LoadList out;
  for (const auto &[id, st] : rl.Backends)
    if (st->Running > 0 || st->EventMs > 0 || st->Reports.Own.Pace > 0)
      out.List.push_back({id, st->Running,
                          static_cast<std::uint32_t>(st->PendingTokens),
                          static_cast<std::uint32_t>(st->EventMs * 1000),
                          sharedReport(*st, rl.EventLoop.Now)});
  std::sort(
      out.List.begin(), out.List.end(),
      [](const BackendLoad &a, const BackendLoad &b) { return a.Id < b.Id; });
  return out;
}

/// The calls that wait here, sorted by pool.
QueueList ownQueues(const RequestLoop &rl) {
  QueueList out;
  for (const auto &[id, pool] : rl.Pools)
    if (!pool.Queue.empty())
      out.List.push_back({id, static_cast<std::uint32_t>(pool.Queue.size())});
  std::sort(
      out.List.begin(), out.List.end(),
      [](const PoolQueue &a, const PoolQueue &b) { return a.Pool < b.Pool; });
  return out;
}

/// The cost that this process charged to each workspace, sorted by id.
SpendList ownSpend(const RequestLoop &rl) {
  SpendList out;
  for (const auto &[id, st] : rl.Allowances)
    if (st.SpentTotal > 0)
      out.List.push_back({id, st.SpentTotal});
  std::sort(out.List.begin(), out.List.end(),
            [](const WorkspaceSpend &a, const WorkspaceSpend &b) {
              return a.Workspace < b.Workspace;
            });
  return out;
}

void onTrackTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  trackAllowances(rl);
  updateCrashes(rl);
  updateLimits(rl);
  updateColdBackends(rl);
  arm(rl.EventLoop, rl.TrackTimer, now + TrackPeriod);
}

VersionStatsList ownVersionStats(const RequestLoop &rl) {
  VersionStatsList out;
  for (const auto &[key, counts] : rl.MoveStats)
    out.Rows.push_back({key, counts});
  return out;
}

void onLoadTimer(void *ctx, Time /*now*/) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  rl.Board.OwnLoads.publish(ownLoads(rl));
  rl.Board.OwnQueues.publish(ownQueues(rl));
  rl.Board.OwnSpend.publish(ownSpend(rl));
  if (!rl.MoveStats.empty()) {
    {
      const ReadGuard guard;
      dropEndedMoveStats(rl.MoveStats, rl.Board.PoolMoves.read(guard));
    }
    rl.Board.OwnStats.publish(ownVersionStats(rl));
  }
  if (rl.OnLoadsChanged)
    rl.OnLoadsChanged();
}

/// Whether this front knows that there is a newer plan than its own.
bool isOutdated(const FrontBoard &board) {
  const ReadGuard guard;
  return lacksOperatorRows(board, guard);
}

/// The version of the plan, the age of its proof, and the greatest age with
/// which a call was routed by it; -1: there is none.
void setPlanGauges(const RequestLoop &rl) {
  const auto seconds = [](std::optional<Duration> age) {
    return age ? std::chrono::duration<double>(*age).count() : -1;
  };
  setGauge(rl.Metrics, "plan_version",
           static_cast<double>(rl.Board.PlanVersion.load()));
  setGauge(rl.Metrics, "plan_proof_age_seconds", seconds(planProofAge(rl)));
  setGauge(rl.Metrics, "plan_proof_age_max_seconds", seconds(rl.OldestProof));
  setGauge(rl.Metrics, "plan_outdated", isOutdated(rl.Board) ? 1 : 0);
}

void onHousekeepingTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  closeIdleConnections(rl, now);
  setGauge(rl.Metrics, "calls_active", static_cast<double>(rl.ActiveCalls));
  setGauge(rl.Metrics, "callers", static_cast<double>(rl.Callers.size()));
  setGauge(rl.Metrics, "links",
           static_cast<double>(rl.BackendConnections.size()));
  setGauge(rl.Metrics, "relay_peers", static_cast<double>(rl.Peers.size()));
  setGauge(rl.Metrics, "relayed_calls", static_cast<double>(rl.RelayedCalls));
  setPlanGauges(rl);
  setReportGauges(rl);
  setBrittleGauge(rl);
  setGauge(rl.Metrics, "log_lines_dropped",
           static_cast<double>(rl.Log.dropped()));
  arm(rl.EventLoop, rl.HousekeepingTimer, now + HousekeepingPeriod);
}

void onDispatchTimer(void *ctx, Time /*now*/) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  for (auto &[id, pool] : rl.Pools)
    dispatchQueued(rl, id);
}

/// Called after a controller has changed the board.
void onBoardChanged(RequestLoop &rl) {
  {
    const ReadGuard guard;
    rl.Limits = rl.Board.Plan.read(guard).Limits;
  }
  refreshBackends(rl);
  refreshRelayPeers(rl);
  updateCrashes(rl);
  updateLimits(rl);
  onDispatchTimer(&rl, rl.EventLoop.Now);
}

void setTimer(RequestLoop &rl, LoopTimer &t, void (*fn)(void *, Time)) {
  t.Fn = fn;
  t.Ctx = &rl;
}

} // namespace

RequestLoop::RequestLoop(FrontBoard &board, const HeaderNames &names,
                         FrontSettings settings, EventLog &log,
                         FrontMetrics &metrics)
    : Board(board), Names(names), Settings(std::move(settings)), Log(log),
      Metrics(metrics), RandomState(std::random_device{}()) {}

RequestLoop::~RequestLoop() {
  // Connections and calls hold timers of the loop, which must not be linked
  // when they are destroyed.
  EventLoop.ArmedTimers.clear();
  Callers.clear();
  BackendConnections.clear();
}

Result<void> startRequestLoop(RequestLoop &rl) {
  BOOST_LEAF_CHECK(openLoop(rl.EventLoop));
  rl.EventLoop.OnWake = [&rl] { onBoardChanged(rl); };
  setTimer(rl, rl.DispatchTimer, onDispatchTimer);
  setTimer(rl, rl.TrackTimer, onTrackTimer);
  setTimer(rl, rl.HousekeepingTimer, onHousekeepingTimer);
  setTimer(rl, rl.LoadTimer, onLoadTimer);
  rl.StartedAt = rl.EventLoop.Now;
  arm(rl.EventLoop, rl.TrackTimer, rl.EventLoop.Now + TrackPeriod);
  arm(rl.EventLoop, rl.HousekeepingTimer,
      rl.EventLoop.Now + HousekeepingPeriod);
  BOOST_LEAF_CHECK(listenForPeers(rl));
  return listenForCallers(rl);
}

void scheduleLoadReport(RequestLoop &rl) {
  if (!rl.LoadTimer.Hook.is_linked())
    arm(rl.EventLoop, rl.LoadTimer, rl.EventLoop.Now + LoadReportDelay);
}

std::optional<Duration> planProofAge(const RequestLoop &rl) {
  const PlanProof proof = rl.Board.Proof.copy();
  return proofAge(proof, proof.Version, bootNow());
}

bool isReady(const RequestLoop &rl) {
  return !rl.Board.Stopping && rl.Board.PlanVersion > 0 &&
         freshnessOf(rl.Settings.FreshnessBounds, planProofAge(rl),
                     isOutdated(rl.Board))
             .MayServe;
}

} // namespace zinniagauge
