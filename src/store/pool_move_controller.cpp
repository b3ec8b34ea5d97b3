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
  return isRecordOf(rec, order) ? rec.Stage : MoveStage::Waiting;
}

MoveId moveIdOf(const PoolMoveController &mc, const VersionMoveOrder &order) {
  return moveIdOf(order, recordOf(mc, order));
}

/// Whether the record of \p order, by all that is known, isn't the one that the
/// table service has.
bool mustWriteAgain(const PoolMoveController &mc,
                    const VersionMoveOrder &order) {
  const auto it = mc.StoredRecords.find(order.Pool);
  const MoveRecord &rec = recordOf(mc, order);
  return isRecordOf(rec, order) &&
         (it == mc.StoredRecords.end() || it->second != rec);
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
  return evaluationState(mc.Evaluator, moveIdOf(mc, order),
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
  if (const auto it = mc.BadVersionReasons.find(moveIdOf(mc, order));
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
        {order.Pool, moveIdOf(mc, order), order.NewVersion, stage,
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
    m.Id = moveIdOf(mc, order);
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
    return !isFinal(stageOf(mc, it.second)) || mustWriteAgain(mc, it.second);
  });
}

void requestRecords(PoolMoveController &mc);

void onWriteResponse(void *ctx, const StoreResponse &response) {
  PoolMoveController &mc = *static_cast<PoolMoveController *>(ctx);
  static_cast<void>(applyStoreEra(*mc.Owner, response, "moves"));
  handleResult([&] { return mc.Owner->Protocol.ParseWriteResult(response); },
               [&](const TableResult & /*res*/) {
                 recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves",
                                   response, nullptr);
                 return 0;
               },
               [&](const Error &err) {
                 recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves",
                                   response, &err);
                 return 0;
               });
  // The record is read again after a failed or lost write too: only the record
  // says which stage the move is in.
  requestRecords(mc);
}

/// The record of \p order to write next, if it has to change.
std::optional<MoveRecord> recordToWrite(const PoolMoveController &mc,
                                        const VersionMoveOrder &order) {
  const MoveRecord &rec = recordOf(mc, order);
  if (mustWriteAgain(mc, order))
    return rec;
  // Another front may know a record that the table service has lost.
  if (!isRecordOf(rec, order) &&
      mayLackRows(mc.Owner->Board.TableEra.copy(), bootNow()))
    return std::nullopt;
  return nextMoveRecord(order, rec, serviceNowMs(mc), verdictOn(mc, order));
}

/// Writes the first record that has to change. Returns false if there is none.
bool writeNextRecord(PoolMoveController &mc) {
  if (mc.RecordsEra != mc.Owner->Board.TableEra.copy().Number)
    return false; // The rows' versions are those of another era.
  for (const auto &[pool, order] : mc.Orders) {
    const auto next = recordToWrite(mc, order);
    if (!next)
      continue;
    if (isFinal(next->Stage) && !mustWriteAgain(mc, order))
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

/// Takes the record of \p order from what was read and what was known before.
void updateRecord(PoolMoveController &mc, const VersionMoveOrder &order) {
  const auto it = mc.StoredRecords.find(order.Pool);
  const MoveRecord read =
      it == mc.StoredRecords.end() ? MoveRecord{} : it->second;
  MoveRecord rec = newerRecord(order, recordOf(mc, order), read);
  if (isRecordOf(rec, order) && !isRecordOf(read, order)) {
    EventLine line = eventLine("version_record_lost");
    add(line, "pool", order.PoolName);
    add(line, "to", order.Label);
    add(line, "stage", static_cast<std::int64_t>(rec.Stage));
    add(line, "outcome", "written again");
    mc.Owner->Log.write(line);
  }
  mc.Records[order.Pool] = std::move(rec);
}

void applyRecords(PoolMoveController &mc, const TableReadResult &rd) {
  mc.LastServiceMs = rd.ServiceMs;
  mc.LastReadAt = mc.Owner->EventLoop.Now;
  mc.NextReadAt = mc.LastReadAt + ReadPeriod;
  mc.RecordsEra = mc.Owner->Board.TableEra.copy().Number;
  mc.StoredRecords.clear();
  for (const TableRow &row : rd.Rows)
    handleResult([&] { return mc.Owner->Protocol.ParseRecord(row); },
                 [&](std::pair<PoolId, MoveRecord> rec) {
                   mc.StoredRecords[rec.first] = std::move(rec.second);
                   return 0;
                 },
                 [&](const Error & /*err*/) {
                   // The table also contains rows of other kinds.
                   countTableCall(mc.Owner->Metrics, "outcome_row", "other");
                   return 0;
                 });
  for (const auto &[pool, order] : mc.Orders)
    updateRecord(mc, order);
}

void onReadResponse(void *ctx, const StoreResponse &response) {
  PoolMoveController &mc = *static_cast<PoolMoveController *>(ctx);
  const EraOrder era = applyStoreEra(*mc.Owner, response, "moves");
  handleResult([&] { return mc.Owner->Protocol.ParseRows(response); },
               [&](const TableReadResult &rd) {
                 recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves",
                                   response, nullptr);
                 if (era == EraOrder::Outdated) {
                   requestRecords(mc);
                   return 0;
                 }
                 applyRecords(mc, rd);
                 publish(mc);
                 writeNextRecord(mc);
                 return 0;
               },
               [&](const Error &err) {
                 recordStoreResult(*mc.Owner, mc.StoreUnreachable, "moves",
                                   response, &err);
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

void applyOrder(PoolMoveController &mc, VersionMoveOrder order, bool maylack) {
  const auto it = mc.Orders.find(order.Pool);
  const bool known = it != mc.Orders.end();
  if (known && it->second.Row == order.Row)
    return;
  const bool same = known && isSameOrder(it->second, order, maylack);
  const bool held = known && !same && maylack;
  EventLine line = eventLine("version_order");
  add(line, "pool", order.PoolName);
  add(line, "to", order.Label);
  add(line, "limit_ms", order.TimeLimit);
  add(line, "era", static_cast<std::int64_t>(order.Row.Era));
  add(line, "row", static_cast<std::int64_t>(order.Row.Number));
  add(line, "outcome",
      same ? "known, written again" : (held ? "held back" : "new"));
  mc.Owner->Log.write(line);
  mc.HeldOrders.erase(order.Pool);
  if (held) {
    mc.HeldOrders.emplace(order.Pool, std::move(order));
    return;
  }
  const PoolId pool = order.Pool;
  if (same && isRecordOf(recordOf(mc, it->second), it->second))
    mc.Records[pool].OrderRow = order.Row;
  mc.Orders.insert_or_assign(pool, std::move(order));
  if (same)
    updateRecord(mc, mc.Orders.at(pool));
  publish(mc);
  mc.NextReadAt = mc.Owner->EventLoop.Now;
  arm(mc.Owner->EventLoop, mc.Timer, mc.Owner->EventLoop.Now);
}

void applyHeldOrders(PoolMoveController &mc) {
  const auto held = std::move(mc.HeldOrders);
  mc.HeldOrders.clear();
  for (const auto &[pool, order] : held)
    applyOrder(mc, order, false);
}

void onStoreRestored(PoolMoveController &mc) {
  if (mc.Orders.empty())
    return;
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
