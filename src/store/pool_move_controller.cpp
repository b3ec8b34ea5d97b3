// Reads, evaluates and records version moves.
#include "zinniagauge/store/pool_move_controller.h"

#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/version_stats_sum.h"
#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How often the move records are read while a move is running.
constexpr Duration ReadPeriod = std::chrono::milliseconds(500);

/// How often shares and version statistics are checked while a move is running.
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

constexpr Duration ResponseTimeout = std::chrono::milliseconds(700);

/// How often the evaluation of a running move is logged.
constexpr Duration EvaluationLogPeriod = std::chrono::seconds(1);

MoveId moveIdOf(const VersionMoveOrder &order) {
  return MoveId::of(order.PoolName + "@" + std::to_string(order.Number));
}

/// Stands for all versions of a pool but the new one. The evaluator compares
/// the new version with it.
VersionId mergedOldVersion() { return VersionId::of("any other version"); }

/// The service's clock now: its value in the last response plus the time since.
std::int64_t serviceNowMs(const PoolMoveController &mc) {
  const Duration since = mc.Owner->EventLoop.Now - mc.LastReadAt;
  return mc.LastServiceMs +
         std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

const MoveRecord &recordOf(const PoolMoveController &mc,
                           const VersionMoveOrder &order) {
  static const MoveRecord none;
  const auto it = mc.Records.find(order.Pool);
  return it == mc.Records.end() ? none : it->second;
}

/// The stage of \p order. A record of another order is ignored.
MoveStage stageOf(const PoolMoveController &mc, const VersionMoveOrder &order) {
  const MoveRecord &rec = recordOf(mc, order);
  return rec.RowVersion != 0 && rec.OrderNumber == order.Number
             ? rec.Stage
             : MoveStage::Waiting;
}

/// What the evaluation of \p order rests on.
EvaluationState evaluationOf(const PoolMoveController &mc,
                             const VersionMoveOrder &order) {
  const ReadGuard guard;
  const BackendList &list = mc.Owner->Board.Backends.read(guard);
  const auto endpoints =
      std::count_if(list.List.begin(), list.List.end(), [&](const Backend &b) {
        return b.Pool == order.Pool && b.Version == order.NewVersion;
      });
  return evaluationState(mc.Evaluator, moveIdOf(order),
                         static_cast<std::size_t>(endpoints));
}

/// Adds what the evaluation of \p order rests on to \p line.
void addEvaluation(const PoolMoveController &mc, const VersionMoveOrder &order,
                   EventLine &line) {
  const EvaluationState st = evaluationOf(mc, order);
  const auto count = [&](std::string_view name, std::uint64_t n) {
    add(line, name, static_cast<std::int64_t>(n));
  };
  count("old_requests", st.OldRequests);
  count("old_failures", st.OldFailures);
  count("old_slow", st.OldSlow);
  count("new_requests", st.ScoredRequests);
  count("new_failures", st.NewFailures);
  count("new_slow", st.NewSlow);
  count("old_failing", st.FailingEndpoints);
  count("old_slowed", st.SlowEndpoints);
  add(line, "score", static_cast<std::int64_t>(st.WorstScore));
  add(line, "score_total", static_cast<std::int64_t>(st.WorstTotal));
  add(line, "evidence", static_cast<std::int64_t>(st.Evidence));
}

/// Logs what the decision in \p next rests on.
void logDecision(const PoolMoveController &mc, const VersionMoveOrder &order,
                 const MoveRecord &next) {
  EventLine line = eventLine("version_decision");
  add(line, "pool", order.PoolName);
  add(line, "to", order.Label);
  add(line, "stage", static_cast<std::int64_t>(next.Stage));
  add(line, "why", next.RollbackReason);
  addEvaluation(mc, order, line);
  mc.Owner->Log.write(line);
}

/// Logs the evaluation of each running move.
void logEvaluations(PoolMoveController &mc, Time now) {
  if (now < mc.NextLogAt)
    return;
  mc.NextLogAt = now + EvaluationLogPeriod;
  for (const auto &[pool, order] : mc.Orders) {
    if (stageOf(mc, order) != MoveStage::Moving)
      continue;
    EventLine line = eventLine("version_evaluation");
    add(line, "pool", order.PoolName);
    add(line, "to", order.Label);
    addEvaluation(mc, order, line);
    add(line, "heard", std::int64_t{mc.Owner->Board.HeardFronts});
    add(line, "living", std::int64_t{mc.Owner->Board.LivingFronts});
    mc.Owner->Log.write(line);
  }
}

/// What the evaluation has shown of the new version of \p order.
TrialVerdict verdictOn(const PoolMoveController &mc,
                       const VersionMoveOrder &order) {
  const FrontBoard &board = mc.Owner->Board;
  TrialVerdict out;
  if (const auto it = mc.BadVersionReasons.find(moveIdOf(order));
      it != mc.BadVersionReasons.end())
    out.BadReason = it->second;
  out.Trusted = isTrusted(evaluationOf(mc, order));
  out.Informed = board.HeardFronts >= EnoughHeardFraction * board.LivingFronts;
  return out;
}

PoolMoveList currentMoves(const PoolMoveController &mc) {
  PoolMoveList out;
  for (const auto &[pool, order] : mc.Orders) {
    const MoveStage stage = stageOf(mc, order);
    const Duration elapsed = std::chrono::milliseconds(
        serviceNowMs(mc) - recordOf(mc, order).StartedMs);
    out.List.push_back(
        {order.Pool, moveIdOf(order), order.NewVersion, stage,
         newVersionShareAt(order, stage, elapsed, mc.Owner->Settings.Exposure,
                           verdictOn(mc, order))});
  }
  return out;
}

void publish(PoolMoveController &mc) {
  Controllers &ct = *mc.Owner;
  if (isAttached(ct.PeerGossip))
    return; // The coordinator's summaries say what the moves are.
  PoolMoveList now = currentMoves(mc);
  const PoolMoveList before = ct.Board.PoolMoves.copy();
  if (now.List == before.List)
    return;
  for (const PoolMove &m : now.List) {
    const PoolMove *previous = findMove(before, m.Pool);
    if (previous && *previous == m)
      continue;
    EventLine line = eventLine("version_share");
    add(line, "pool", mc.Orders.at(m.Pool).PoolName);
    add(line, "to", mc.Orders.at(m.Pool).Label);
    add(line, "stage", static_cast<std::int64_t>(m.Stage));
    add(line, "permille", std::int64_t{m.SharePermille});
    ct.Log.write(line);
  }
  ct.Board.PoolMoves.publish(std::move(now));
  ct.OnChange();
}

/// Builds the bundle that the evaluator needs: the moves, and the pool and
/// version of each back end.
Bundle bundleForEvaluator(const PoolMoveController &mc) {
  Bundle b;
  for (const auto &[pool, order] : mc.Orders) {
    MoveSpec m;
    m.Name = order.PoolName;
    m.Id = moveIdOf(order);
    m.Pool = pool;
    m.OldVersion = mergedOldVersion();
    m.NewVersion = order.NewVersion;
    b.Moves.push_back(std::move(m));
  }
  for (const Backend &be : mc.Owner->Board.Backends.copy().List) {
    EndpointSpec e;
    e.Id = be.Id;
    e.Pool = be.Pool;
    e.Version = be.Version;
    b.Endpoints.push_back(std::move(e));
  }
  return b;
}

/// Evaluates the new versions by the statistics of all fronts, and records and
/// logs those that are bad.
void evaluateNewVersions(PoolMoveController &mc) {
  Controllers &ct = *mc.Owner;
  VersionStatsList all = ct.Board.OwnStats.copy();
  for (const GossipState *reports :
       {&ct.PeerGossip.PeerReports, &ct.PeerGossip.MemberReports})
    for (const auto &[node, peer] : reports->Peers)
      addVersionStats(all, peer.LastReport.Stats);
  for (VersionStats &e : all.Rows) {
    const auto it = mc.Orders.find(e.Key.Pool);
    if (it != mc.Orders.end() && e.Key.Version != it->second.NewVersion)
      e.Key.Version = mergedOldVersion();
  }
  VersionStatsList merged;
  addVersionStats(merged, all.Rows);
  const Bundle b = bundleForEvaluator(mc);
  const MoveList none;
  std::vector<BadVersion> badversions;
  evaluateVersions(mc.Evaluator, {b, none, merged}, badversions);
  for (const BadVersion &v : badversions) {
    mc.BadVersionReasons[v.Move] = v.Reason;
    EventLine line = eventLine("version_found_bad");
    add(line, "why", v.Reason);
    ct.Log.write(line);
  }
}

bool anyRunning(const PoolMoveController &mc) {
  return std::any_of(mc.Orders.begin(), mc.Orders.end(), [&](const auto &it) {
    return !isFinal(stageOf(mc, it.second));
  });
}

void requestRecords(PoolMoveController &mc);

void onWriteResponse(void *ctx, const StoreResponse &response) {
  PoolMoveController &mc = *static_cast<PoolMoveController *>(ctx);
  static_cast<void>(applyStoreEra(*mc.Owner, response, "moves"));
  handleResult(
      [&] { return mc.Owner->Protocol.ParseWriteResult(response); },
      [&](const TableResult & /*res*/) {
        recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves", nullptr);
        return 0;
      },
      [&](const Error &err) {
        recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves", &err);
        return 0;
      });
  // The record is read again after a failed or lost write too: only the record
  // says which stage the move is in.
  requestRecords(mc);
}

/// Writes the first record that has to change. Returns false if there is none.
bool writeNextRecord(PoolMoveController &mc) {
  for (const auto &[pool, order] : mc.Orders) {
    const auto next = nextMoveRecord(order, recordOf(mc, order),
                                     serviceNowMs(mc), verdictOn(mc, order));
    if (!next)
      continue;
    if (isFinal(next->Stage))
      logDecision(mc, order, *next);
    const TableRow row = mc.Owner->Protocol.MakeOutcomeRow(order, *next);
    TableTransaction tx;
    tx.Ops.push_back({TableOpKind::CompareAndSwap, row.Key, row.Value,
                      recordOf(mc, order).RowVersion});
    sendRequest(mc.Connection,
                mc.Owner->Protocol.WriteRequest(StoreTable::Outcomes, tx),
                ResponseTimeout, onWriteResponse, &mc);
    return true;
  }
  return false;
}

void applyRecords(PoolMoveController &mc, const TableReadResult &rd) {
  mc.LastServiceMs = rd.ServiceMs;
  mc.LastReadAt = mc.Owner->EventLoop.Now;
  mc.NextReadAt = mc.LastReadAt + ReadPeriod;
  mc.Records.clear();
  for (const TableRow &row : rd.Rows)
    handleResult([&] { return mc.Owner->Protocol.ParseRecord(row); },
                 [&](std::pair<PoolId, MoveRecord> rec) {
                   mc.Records[rec.first] = std::move(rec.second);
                   return 0;
                 },
                 [&](const Error & /*err*/) {
                   // The table also contains rows of other kinds.
                   countTableCall(mc.Owner->Metrics, "outcome_row", "other");
                   return 0;
                 });
}

void onReadResponse(void *ctx, const StoreResponse &response) {
  PoolMoveController &mc = *static_cast<PoolMoveController *>(ctx);
  static_cast<void>(applyStoreEra(*mc.Owner, response, "moves"));
  handleResult(
      [&] { return mc.Owner->Protocol.ParseRows(response); },
      [&](const TableReadResult &rd) {
        recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves", nullptr);
        applyRecords(mc, rd);
        publish(mc);
        writeNextRecord(mc);
        return 0;
      },
      [&](const Error &err) {
        recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves", &err);
        mc.NextReadAt = mc.Owner->EventLoop.Now + ReadPeriod;
        return 0;
      });
}

void requestRecords(PoolMoveController &mc) {
  if (!mc.Connection.Busy)
    sendRequest(mc.Connection,
                mc.Owner->Protocol.ReadRequest(StoreTable::Outcomes, {}),
                ResponseTimeout, onReadResponse, &mc);
}

void onTimer(void *ctx, Time now) {
  PoolMoveController &mc = *static_cast<PoolMoveController *>(ctx);
  if (isAttached(mc.Owner->PeerGossip)) {
    arm(mc.Owner->EventLoop, mc.Timer, now + ReadPeriod);
    return;
  }
  evaluateNewVersions(mc);
  logEvaluations(mc, now);
  if (mc.LastReadAt != Time())
    publish(mc);
  const bool written =
      mc.LastReadAt != Time() && !mc.Connection.Busy && writeNextRecord(mc);
  if (!written && now >= mc.NextReadAt)
    requestRecords(mc);
  if (anyRunning(mc))
    arm(mc.Owner->EventLoop, mc.Timer, now + CheckPeriod);
}

} // namespace

void applyOrder(PoolMoveController &mc, VersionMoveOrder order) {
  const auto it = mc.Orders.find(order.Pool);
  if (it != mc.Orders.end() && it->second.Number == order.Number)
    return;
  EventLine line = eventLine("version_order");
  add(line, "pool", order.PoolName);
  add(line, "to", order.Label);
  add(line, "limit_ms", order.TimeLimit);
  add(line, "number", static_cast<std::int64_t>(order.Number));
  mc.Owner->Log.write(line);
  mc.Orders.insert_or_assign(order.Pool, std::move(order));
  publish(mc);
  mc.NextReadAt = mc.Owner->EventLoop.Now;
  arm(mc.Owner->EventLoop, mc.Timer, mc.Owner->EventLoop.Now);
}

void startPoolMoveController(PoolMoveController &mc) {
  setUpStoreConnection(mc.Connection, mc.Owner->EventLoop,
                       mc.Owner->Settings.TableServiceAddress);
  mc.Timer.Fn = onTimer;
  mc.Timer.Ctx = &mc;
}

} // namespace zinniagauge
