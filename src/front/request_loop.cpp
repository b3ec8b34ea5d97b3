#include "zinniagauge/front/request_loop.h"

#include <unistd.h>

#include <algorithm>
#include <random>

namespace zinniagauge {

namespace {

/// How long changes of own loads are gathered before they are put on the
/// board, for other processes to know: short next to the time between two ends
/// of calls at one back end.
constexpr Duration LoadDelay = std::chrono::milliseconds(10);

/// How often demands are put on the board.
constexpr Duration DemandPeriod = std::chrono::milliseconds(500);

/// How often idle connections are looked at.
constexpr Duration HousePeriod = std::chrono::seconds(1);

/// Weight of the latest period in a demand's average.
constexpr double DemandWeight = 0.15;

LoadList ownLoads(const RequestLoop &rl) {
  LoadList out;
  for (const auto &[id, st] : rl.Backends)
    if (st->Running > 0 || st->EventMs > 0)
      out.List.push_back({id, st->Running,
                          static_cast<std::uint32_t>(st->PendingTokens),
                          static_cast<std::uint32_t>(st->EventMs * 1000)});
  std::sort(
      out.List.begin(), out.List.end(),
      [](const BackendLoad &a, const BackendLoad &b) { return a.Id < b.Id; });
  return out;
}

void reportDemand(RequestLoop &rl, Duration span) {
  const double secs = std::chrono::duration<double>(span).count();
  DemandList list = rl.Board.Demands.copy();
  for (Demand &d : list.List) {
    const auto it = rl.Asked.find(d.Workspace);
    const double now = it == rl.Asked.end() ? 0 : it->second / secs;
    if (it != rl.Asked.end())
      rl.Asked.erase(it);
    d.CostPerSecond += DemandWeight * (now - d.CostPerSecond);
  }
  for (const auto &[id, cost] : rl.Asked)
    list.List.push_back({id, cost / secs});
  rl.Asked.clear();
  std::sort(list.List.begin(), list.List.end(),
            [](const Demand &a, const Demand &b) {
              return a.Workspace < b.Workspace;
            });
  rl.Board.Demands.publish(std::move(list));
}

SpentList ownSpent(const RequestLoop &rl) {
  SpentList out;
  for (const auto &[id, st] : rl.Allowances)
    if (st.Total > 0)
      out.List.push_back({id, st.Total});
  std::sort(
      out.List.begin(), out.List.end(),
      [](const Spent &a, const Spent &b) { return a.Workspace < b.Workspace; });
  return out;
}

void onReport(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  reportDemand(rl, now - rl.LastReport);
  rl.LastReport = now;
  followAllowances(rl);
  arm(rl.Lp, rl.ReportTimer, now + DemandPeriod);
}

EvidenceList ownEvidence(const RequestLoop &rl) {
  EvidenceList out;
  for (const auto &[key, counts] : rl.Seen)
    out.Rows.push_back({key, counts});
  return out;
}

void onLoads(void *ctx, Time /*now*/) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  rl.Board.OwnLoads.publish(ownLoads(rl));
  rl.Board.OwnSpent.publish(ownSpent(rl));
  if (!rl.Seen.empty()) {
    {
      const ReadGuard guard;
      forgetEnded(rl.Seen, rl.Board.PoolMoves.read(guard));
    }
    rl.Board.OwnEvidence.publish(ownEvidence(rl));
  }
  if (rl.OnLoads)
    rl.OnLoads();
}

void onHouse(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  reapLinks(rl, now);
  setGauge(rl.Metrics, "calls_active", static_cast<double>(rl.Active));
  setGauge(rl.Metrics, "callers", static_cast<double>(rl.Callers.size()));
  setGauge(rl.Metrics, "links", static_cast<double>(rl.Links.size()));
  setGauge(rl.Metrics, "log_lines_dropped",
           static_cast<double>(rl.Log.dropped()));
  arm(rl.Lp, rl.HouseTimer, now + HousePeriod);
}

void onPump(void *ctx, Time /*now*/) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  for (auto &[id, pool] : rl.Pools)
    pump(rl, id);
}

/// A controller has changed the board.
void onBoardChanged(RequestLoop &rl) {
  {
    const ReadGuard guard;
    rl.Limits = rl.Board.Plan.read(guard).Limits;
  }
  refreshBackends(rl);
  onPump(&rl, rl.Lp.Now);
}

void setTimer(RequestLoop &rl, LoopTimer &t, void (*fn)(void *, Time)) {
  t.Fn = fn;
  t.Ctx = &rl;
}

} // namespace

RequestLoop::RequestLoop(FrontBoard &board, const Dialect &dialect,
                         FrontSettings settings, EventLog &log,
                         FrontMetrics &metrics)
    : Board(board), Names(dialect), Settings(std::move(settings)), Log(log),
      Metrics(metrics), Random(std::random_device{}()) {}

RequestLoop::~RequestLoop() {
  if (Listener.Fd >= 0)
    ::close(Listener.Fd);
  // Calls hold timers of the loop; they go first.
  Callers.clear();
  Links.clear();
}

Result<void> startRequestLoop(RequestLoop &rl) {
  BOOST_LEAF_CHECK(openLoop(rl.Lp));
  rl.Lp.OnWake = [&rl] { onBoardChanged(rl); };
  setTimer(rl, rl.PumpTimer, onPump);
  setTimer(rl, rl.ReportTimer, onReport);
  setTimer(rl, rl.HouseTimer, onHouse);
  rl.LastReport = rl.Lp.Now;
  setTimer(rl, rl.LoadTimer, onLoads);
  arm(rl.Lp, rl.ReportTimer, rl.Lp.Now + DemandPeriod);
  arm(rl.Lp, rl.HouseTimer, rl.Lp.Now + HousePeriod);
  return listenForCallers(rl);
}

void loadsChanged(RequestLoop &rl) {
  if (!rl.LoadTimer.Hook.is_linked())
    arm(rl.Lp, rl.LoadTimer, rl.Lp.Now + LoadDelay);
}

Freshness freshness(const RequestLoop &rl) {
  const Time proven = fromNanos(rl.Board.PlanProven.load());
  return freshnessAt(rl.Settings.Fresh, proven, bootNow());
}

bool isReady(const RequestLoop &rl) {
  return !rl.Board.Stopping && rl.Board.PlanVersion > 0 &&
         freshness(rl).MayServe;
}

} // namespace zinniagauge
