#include "zinniagauge/store/move_keeper.h"

#include "zinniagauge/decide/evidence_sum.h"
#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How often a running move's record is read.
constexpr Duration ReadPeriod = std::chrono::milliseconds(500);

/// How often shares and evidence are looked at meanwhile.
constexpr Duration LookPeriod = std::chrono::milliseconds(100);

constexpr Duration AnswerTime = std::chrono::milliseconds(700);

MoveId idOf(const VersionOrder &order) {
  return MoveId::of(order.PoolName + "@" + std::to_string(order.Number));
}

/// What the judge compares the new version with.
VersionId otherVersion() { return VersionId::of("any other version"); }

/// The service's time now, from its last answer.
std::int64_t serviceMs(const MoveKeeper &mk) {
  const Duration since = mk.Owner->Lp.Now - mk.ReadAt;
  return mk.ServiceMs +
         std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

const MoveRecord &recordOf(const MoveKeeper &mk, const VersionOrder &order) {
  static const MoveRecord none;
  const auto it = mk.Records.find(order.Pool);
  return it == mk.Records.end() ? none : it->second;
}

/// The stage of \p order: a record of another order says nothing about it.
MoveStage stageOf(const MoveKeeper &mk, const VersionOrder &order) {
  const MoveRecord &rec = recordOf(mk, order);
  return rec.Version != 0 && rec.Order == order.Number ? rec.Stage
                                                       : MoveStage::Waiting;
}

PoolMoveList movesNow(const MoveKeeper &mk) {
  PoolMoveList out;
  for (const auto &[pool, order] : mk.Orders) {
    const MoveStage stage = stageOf(mk, order);
    const Duration elapsed =
        std::chrono::milliseconds(serviceMs(mk) - recordOf(mk, order).BeganMs);
    out.List.push_back({order.Pool, idOf(order), order.To, stage,
                        shareAt(order, stage, elapsed)});
  }
  return out;
}

void publish(MoveKeeper &mk) {
  Controllers &ct = *mk.Owner;
  PoolMoveList now = movesNow(mk);
  const PoolMoveList before = ct.Board.PoolMoves.copy();
  if (now.List == before.List)
    return;
  for (const PoolMove &m : now.List) {
    const PoolMove *old = moveOf(before, m.Pool);
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
Bundle judgedBundle(const MoveKeeper &mk) {
  Bundle b;
  for (const auto &[pool, order] : mk.Orders) {
    MoveSpec m;
    m.Name = order.PoolName;
    m.Id = idOf(order);
    m.Pool = pool;
    m.From = otherVersion();
    m.To = order.To;
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
void judge(MoveKeeper &mk) {
  Controllers &ct = *mk.Owner;
  EvidenceList all = ct.Board.OwnEvidence.copy();
  for (const auto &[node, peer] : ct.Talk.Book.Peers)
    addEvidence(all, peer.Last.Seen);
  for (Evidence &e : all.Rows) {
    const auto it = mk.Orders.find(e.Key.Pool);
    if (it != mk.Orders.end() && e.Key.Version != it->second.To)
      e.Key.Version = otherVersion();
  }
  EvidenceList judged;
  addEvidence(judged, all.Rows);
  const Bundle b = judgedBundle(mk);
  const MoveList none;
  std::vector<Verdict> found;
  step(mk.Judged, {b, none, judged}, found);
  for (const Verdict &v : found) {
    mk.Bad[v.Move] = v.Why;
    EventLine line = eventLine("version_found_bad");
    add(line, "why", v.Why);
    ct.Log.write(line);
  }
}

bool anyRunning(const MoveKeeper &mk) {
  return std::any_of(mk.Orders.begin(), mk.Orders.end(), [&](const auto &it) {
    return !isFinal(stageOf(mk, it.second));
  });
}

void askRecords(MoveKeeper &mk);

void onWritten(void *ctx, const StoreAnswer &answer) {
  MoveKeeper &mk = *static_cast<MoveKeeper *>(ctx);
  handle([&] { return mk.Owner->Names.Written(answer); },
         [&](const TableResult & /*res*/) {
           noteStore(*mk.Owner, mk.Lost, "moves", nullptr);
           return 0;
         },
         [&](const Error &err) {
           noteStore(*mk.Owner, mk.Lost, "moves", &err);
           return 0;
         });
  // Whatever became of the write, the record says how the move stands.
  askRecords(mk);
}

/// Writes the first record that is due. False if none is.
bool writeNext(MoveKeeper &mk) {
  for (const auto &[pool, order] : mk.Orders) {
    const auto bad = mk.Bad.find(idOf(order));
    const auto next =
        nextRecord(order, recordOf(mk, order), serviceMs(mk),
                   bad == mk.Bad.end() ? std::string() : bad->second);
    if (!next)
      continue;
    const TableRow row = mk.Owner->Names.Outcome(order, *next);
    TableTransaction tx;
    tx.Ops.push_back({TableOpKind::CompareAndSwap, row.Key, row.Value,
                      recordOf(mk, order).Version});
    ask(mk.Link, mk.Owner->Names.Write(StoreTable::Outcomes, tx), AnswerTime,
        onWritten, &mk);
    return true;
  }
  return false;
}

void takeRecords(MoveKeeper &mk, const TableReading &rd) {
  mk.ServiceMs = rd.ServiceMs;
  mk.ReadAt = mk.Owner->Lp.Now;
  mk.NextRead = mk.ReadAt + ReadPeriod;
  mk.Records.clear();
  for (const TableRow &row : rd.Rows)
    handle([&] { return mk.Owner->Names.Record(row); },
           [&](std::pair<PoolId, MoveRecord> rec) {
             mk.Records[rec.first] = std::move(rec.second);
             return 0;
           },
           [&](const Error & /*err*/) {
             // Rows of other kinds lie in the same table.
             countTable(mk.Owner->Metrics, "outcome_row", "other");
             return 0;
           });
}

void onRecords(void *ctx, const StoreAnswer &answer) {
  MoveKeeper &mk = *static_cast<MoveKeeper *>(ctx);
  handle([&] { return mk.Owner->Names.Rows(answer); },
         [&](const TableReading &rd) {
           noteStore(*mk.Owner, mk.Lost, "moves", nullptr);
           takeRecords(mk, rd);
           publish(mk);
           writeNext(mk);
           return 0;
         },
         [&](const Error &err) {
           noteStore(*mk.Owner, mk.Lost, "moves", &err);
           mk.NextRead = mk.Owner->Lp.Now + ReadPeriod;
           return 0;
         });
}

void askRecords(MoveKeeper &mk) {
  if (!mk.Link.Busy)
    ask(mk.Link, mk.Owner->Names.Read(StoreTable::Outcomes, {}), AnswerTime,
        onRecords, &mk);
}

void onLook(void *ctx, Time now) {
  MoveKeeper &mk = *static_cast<MoveKeeper *>(ctx);
  judge(mk);
  if (mk.ReadAt != Time())
    publish(mk);
  const bool written = mk.ReadAt != Time() && !mk.Link.Busy && writeNext(mk);
  if (!written && now >= mk.NextRead)
    askRecords(mk);
  if (anyRunning(mk))
    arm(mk.Owner->Lp, mk.Timer, now + LookPeriod);
}

} // namespace

void takeOrder(MoveKeeper &mk, VersionOrder order) {
  const auto it = mk.Orders.find(order.Pool);
  if (it != mk.Orders.end() && it->second.Number == order.Number)
    return;
  EventLine line = eventLine("version_order");
  add(line, "pool", order.PoolName);
  add(line, "to", order.Label);
  add(line, "limit_ms", order.Limit);
  mk.Owner->Log.write(line);
  mk.Orders.insert_or_assign(order.Pool, std::move(order));
  publish(mk);
  mk.NextRead = mk.Owner->Lp.Now;
  arm(mk.Owner->Lp, mk.Timer, mk.Owner->Lp.Now);
}

void startMoves(MoveKeeper &mk) {
  setUp(mk.Link, mk.Owner->Lp, mk.Owner->Settings.Table);
  mk.Timer.Fn = onLook;
  mk.Timer.Ctx = &mk;
}

} // namespace zinniagauge
