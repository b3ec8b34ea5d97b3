#include "zinniagauge/store/pool_move_controller.h"

#include "zinniagauge/decide/version_stats_sum.h"
#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How often a running move's record is read.
constexpr Duration ReadPeriod = std::chrono::milliseconds(500);

/// How often shares and evidence are looked at meanwhile.
constexpr Duration LookPeriod = std::chrono::milliseconds(100);

constexpr Duration AnswerTime = std::chrono::milliseconds(700);

MoveId idOf(const VersionMoveOrder &order) {
  return MoveId::of(order.PoolName + "@" + std::to_string(order.Number));
}

/// What the judge compares the new version with.
VersionId mergedOldVersion() { return VersionId::of("any other version"); }

/// The service's time now, from its last answer.
std::int64_t serviceMs(const PoolMoveController &mk) {
  const Duration since = mk.Owner->Lp.Now - mk.LastReadAt;
  return mk.LastServiceMs +
         std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

const MoveRecord &recordOf(const PoolMoveController &mk,
                           const VersionMoveOrder &order) {
  static const MoveRecord none;
  const auto it = mk.Records.find(order.Pool);
  return it == mk.Records.end() ? none : it->second;
}

/// The stage of \p order: a record of another order says nothing about it.
MoveStage stageOf(const PoolMoveController &mk, const VersionMoveOrder &order) {
  const MoveRecord &rec = recordOf(mk, order);
  return rec.RowVersion != 0 && rec.OrderNumber == order.Number
             ? rec.Stage
             : MoveStage::Waiting;
}

PoolMoveList movesNow(const PoolMoveController &mk) {
  PoolMoveList out;
  for (const auto &[pool, order] : mk.Orders) {
    const MoveStage stage = stageOf(mk, order);
    const Duration elapsed = std::chrono::milliseconds(
        serviceMs(mk) - recordOf(mk, order).StartedMs);
    out.List.push_back({order.Pool, idOf(order), order.NewVersion, stage,
                        newVersionShareAt(order, stage, elapsed)});
  }
  return out;
}

void publish(PoolMoveController &mk) {
  Controllers &ct = *mk.Owner;
  PoolMoveList now = movesNow(mk);
  const PoolMoveList before = ct.Board.PoolMoves.copy();
  if (now.List == before.List)
    return;
  for (const PoolMove &m : now.List) {
    const PoolMove *old = findMove(before, m.Pool);
    if (old && *old == m)
      continue;
    EventLine line = eventLine("version_share");
    add(line, "pool", mk.Orders.at(m.Pool).PoolName);
    add(line, "to", mk.Orders.at(m.Pool).Label);
    add(line, "stage", static_cast<std::int64_t>(m.Stage));
    add(line, "permille", std::int64_t{m.SharePermille});
    ct.Log.write(line);
  }
  ct.Board.PoolMoves.publish(std::move(now));
  ct.OnChange();
}

/// The judge's view of the world: the moves, and who runs which version.
Bundle bundleForEvaluator(const PoolMoveController &mk) {
  Bundle b;
  for (const auto &[pool, order] : mk.Orders) {
    MoveSpec m;
    m.Name = order.PoolName;
    m.Id = idOf(order);
    m.Pool = pool;
    m.OldVersion = mergedOldVersion();
    m.NewVersion = order.NewVersion;
    b.Moves.push_back(std::move(m));
  }
  for (const Backend &be : mk.Owner->Board.Backends.copy().List) {
    EndpointSpec e;
    e.Id = be.Id;
    e.Pool = be.Pool;
    e.Version = be.Version;
    b.Endpoints.push_back(std::move(e));
  }
  return b;
}

/// Looks at what all fronts saw of the new versions.
void judge(PoolMoveController &mk) {
  Controllers &ct = *mk.Owner;
  VersionStatsList all = ct.Board.OwnStats.copy();
  for (const auto &[node, peer] : ct.PeerGossip.PeerReports.Peers)
    addVersionStats(all, peer.LastReport.Stats);
  for (VersionStats &e : all.Rows) {
    const auto it = mk.Orders.find(e.Key.Pool);
    if (it != mk.Orders.end() && e.Key.Version != it->second.NewVersion)
      e.Key.Version = mergedOldVersion();
  }
  VersionStatsList judged;
  addVersionStats(judged, all.Rows);
  const Bundle b = bundleForEvaluator(mk);
  const MoveList none;
  std::vector<BadVersion> found;
  evaluateVersions(mk.Evaluator, {b, none, judged}, found);
  for (const BadVersion &v : found) {
    mk.BadVersionReasons[v.Move] = v.Reason;
    EventLine line = eventLine("version_found_bad");
    add(line, "why", v.Reason);
    ct.Log.write(line);
  }
}

bool anyRunning(const PoolMoveController &mk) {
  return std::any_of(mk.Orders.begin(), mk.Orders.end(), [&](const auto &it) {
    return !isFinal(stageOf(mk, it.second));
  });
}

void requestRecords(PoolMoveController &mk);

void onWritten(void *ctx, const StoreResponse &answer) {
  PoolMoveController &mk = *static_cast<PoolMoveController *>(ctx);
  handleResult(
      [&] { return mk.Owner->Protocol.ParseWriteResult(answer); },
      [&](const TableResult & /*res*/) {
        recordStoreResult(*mk.Owner, mk.StoreUnreachable, "moves", nullptr);
        return 0;
      },
      [&](const Error &err) {
        recordStoreResult(*mk.Owner, mk.StoreUnreachable, "moves", &err);
        return 0;
      });
  // Whatever became of the write, the record says how the move stands.
  requestRecords(mk);
}

/// Writes the first record that is due. False if none is.
bool writeNext(PoolMoveController &mk) {
  for (const auto &[pool, order] : mk.Orders) {
    const auto bad = mk.BadVersionReasons.find(idOf(order));
    const auto next = nextMoveRecord(
        order, recordOf(mk, order), serviceMs(mk),
        bad == mk.BadVersionReasons.end() ? std::string() : bad->second);
    if (!next)
      continue;
    const TableRow row = mk.Owner->Protocol.MakeOutcomeRow(order, *next);
    TableTransaction tx;
    tx.Ops.push_back({TableOpKind::CompareAndSwap, row.Key, row.Value,
                      recordOf(mk, order).RowVersion});
    sendRequest(mk.Connection,
                mk.Owner->Protocol.WriteRequest(StoreTable::Outcomes, tx),
                AnswerTime, onWritten, &mk);
    return true;
  }
  return false;
}

void takeRecords(PoolMoveController &mk, const TableReadResult &rd) {
  mk.LastServiceMs = rd.ServiceMs;
  mk.LastReadAt = mk.Owner->Lp.Now;
  mk.NextReadAt = mk.LastReadAt + ReadPeriod;
  mk.Records.clear();
  for (const TableRow &row : rd.Rows)
    handleResult([&] { return mk.Owner->Protocol.ParseRecord(row); },
                 [&](std::pair<PoolId, MoveRecord> rec) {
                   mk.Records[rec.first] = std::move(rec.second);
                   return 0;
                 },
                 [&](const Error & /*err*/) {
                   // Rows of other kinds lie in the same table.
                   countTableCall(mk.Owner->Metrics, "outcome_row", "other");
                   return 0;
                 });
}

void onRecords(void *ctx, const StoreResponse &answer) {
  PoolMoveController &mk = *static_cast<PoolMoveController *>(ctx);
  handleResult(
      [&] { return mk.Owner->Protocol.ParseRows(answer); },
      [&](const TableReadResult &rd) {
        recordStoreResult(*mk.Owner, mk.StoreUnreachable, "moves", nullptr);
        takeRecords(mk, rd);
        publish(mk);
        writeNext(mk);
        return 0;
      },
      [&](const Error &err) {
        recordStoreResult(*mk.Owner, mk.StoreUnreachable, "moves", &err);
        mk.NextReadAt = mk.Owner->Lp.Now + ReadPeriod;
        return 0;
      });
}

void requestRecords(PoolMoveController &mk) {
  if (!mk.Connection.Busy)
    sendRequest(mk.Connection,
                mk.Owner->Protocol.ReadRequest(StoreTable::Outcomes, {}),
                AnswerTime, onRecords, &mk);
}

void onLook(void *ctx, Time now) {
  PoolMoveController &mk = *static_cast<PoolMoveController *>(ctx);
  judge(mk);
  if (mk.LastReadAt != Time())
    publish(mk);
  const bool written =
      mk.LastReadAt != Time() && !mk.Connection.Busy && writeNext(mk);
  if (!written && now >= mk.NextReadAt)
    requestRecords(mk);
  if (anyRunning(mk))
    arm(mk.Owner->Lp, mk.Timer, now + LookPeriod);
}

} // namespace

void applyOrder(PoolMoveController &mk, VersionMoveOrder order) {
  const auto it = mk.Orders.find(order.Pool);
  if (it != mk.Orders.end() && it->second.Number == order.Number)
    return;
  EventLine line = eventLine("version_order");
  add(line, "pool", order.PoolName);
  add(line, "to", order.Label);
  add(line, "limit_ms", order.TimeLimit);
  mk.Owner->Log.write(line);
  mk.Orders.insert_or_assign(order.Pool, std::move(order));
  publish(mk);
  mk.NextReadAt = mk.Owner->Lp.Now;
  arm(mk.Owner->Lp, mk.Timer, mk.Owner->Lp.Now);
}

void startPoolMoveController(PoolMoveController &mk) {
  setUpStoreConnection(mk.Connection, mk.Owner->Lp,
                       mk.Owner->Settings.TableService);
  mk.Timer.Fn = onLook;
  mk.Timer.Ctx = &mk;
}

} // namespace zinniagauge
