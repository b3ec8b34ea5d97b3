#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How much longer than that an answer may take: the service answers within
/// some milliseconds, and within a fifth of a second when it is slow.
constexpr Duration AnswerTime = std::chrono::milliseconds(700);

/// Pauses after failures: short, since keys may be served only while proofs
/// are fresh.
constexpr Duration FirstPause = std::chrono::milliseconds(80);
constexpr Duration MostPause = std::chrono::milliseconds(400);

/// How often a front that doesn't read for others looks at what it was told.
constexpr Duration LookPeriod = std::chrono::milliseconds(100);

/// How long the service is asked to wait for a change. An empty answer proves
/// the plan up to when it was asked for, so this adds to the proof's age; a
/// front that reads for itself only needs its proof at once.
Duration changeWait(const PlanController &pf) {
  const Controllers &ct = *pf.Owner;
  return ct.Board.IsStoreReader
             ? proofRenewal(ct.Settings.FreshnessBounds).LongPollWait
             : Duration::zero();
}

void requestNext(PlanController &pf);

/// Takes what a reading front said as a proof. True if that is enough for now.
bool takeTold(PlanController &pf) {
  FrontBoard &board = pf.Owner->Board;
  if (board.IsStoreReader || !pf.FullyRead || board.PlanVersion == 0 ||
      board.ReportedRowVersion > pf.OperatorRowVersion)
    return false;
  if (board.ReportedRowVersion == pf.OperatorRowVersion &&
      board.ReportedRowVersionAt > board.PlanConfirmedAt)
    board.PlanConfirmedAt = board.ReportedRowVersionAt.load();
  const Duration old =
      proofRenewal(pf.Owner->Settings.FreshnessBounds).MaxSharedAge;
  return bootNow() - fromNanos(board.PlanConfirmedAt) < old;
}

void scheduleNext(PlanController &pf) {
  if (takeTold(pf))
    arm(pf.Owner->Lp, pf.Timer, pf.Owner->Lp.Now + LookPeriod);
  else
    requestNext(pf);
}

void onPauseOver(void *ctx, Time /*now*/) {
  scheduleNext(*static_cast<PlanController *>(ctx));
}

void failed(PlanController &pf, const Error &err) {
  recordStoreResult(*pf.Owner, pf.StoreUnreachable, "plan", &err);
  pf.Backoff = pf.Backoff == Duration::zero()
                   ? FirstPause
                   : std::min(pf.Backoff * 2, MostPause);
  arm(pf.Owner->Lp, pf.Timer, pf.Owner->Lp.Now + pf.Backoff);
}

void activatePlan(PlanController &pf, TrafficPlan plan) {
  FrontBoard &board = pf.Owner->Board;
  const std::uint64_t before = board.PlanVersion;
  EventLine line = eventLine("plan");
  add(line, "version", static_cast<std::int64_t>(plan.Version));
  add(line, "before", static_cast<std::int64_t>(before));
  add(line, "routes", static_cast<std::int64_t>(plan.Routes.size()));
  add(line, "workspaces", static_cast<std::int64_t>(plan.Workspaces.size()));
  add(line, "outcome",
      plan.Version > before ? "in force" : "older, passed over");
  pf.Owner->Log.write(line);
  if (plan.Version <= before)
    return;
  const std::uint64_t version = plan.Version;
  board.Plan.publish(std::move(plan));
  board.PlanVersion.store(version, std::memory_order_release);
}

void takeOrderIn(PlanController &pf, const TableRow &row) {
  handleResult([&] { return pf.Owner->Protocol.ParseOrder(row); },
               [&](VersionMoveOrder order) {
                 applyOrder(pf.Owner->Moves, std::move(order));
                 return 0;
               },
               [&](const Error &err) {
                 if (err.Code == ErrorCode::NotFound)
                   return 0;
                 EventLine line = eventLine("order_unreadable");
                 add(line, err);
                 pf.Owner->Log.write(line);
                 return 0;
               });
}

/// False if a row could not be read: what is in force isn't proven then.
bool takeRow(PlanController &pf, const TableRow &row) {
  return handleResult([&] { return pf.Owner->Protocol.ParsePlan(row); },
                      [&](TrafficPlan plan) {
                        activatePlan(pf, std::move(plan));
                        return true;
                      },
                      [&](const Error &err) {
                        if (err.Code == ErrorCode::NotFound)
                          return true;
                        EventLine line = eventLine("plan_unreadable");
                        add(line, err);
                        pf.Owner->Log.write(line);
                        return false;
                      });
}

void takeReadingOf(PlanController &pf, const TableReadResult &rd, Time asked) {
  if (rd.HistoryUnavailable) {
    pf.FullyRead = false;
    EventLine line = eventLine("plan_history_gone");
    add(line, "after", static_cast<std::int64_t>(pf.StoreVersion));
    pf.Owner->Log.write(line);
    requestNext(pf);
    return;
  }
  const std::uint64_t before = pf.Owner->Board.PlanVersion;
  bool sound = true;
  for (const TableRow &row : rd.Rows)
    if (!row.Deleted) {
      sound = takeRow(pf, row) && sound;
      takeOrderIn(pf, row);
    }
  for (const TableRow &row : rd.Rows)
    pf.OperatorRowVersion = std::max(pf.OperatorRowVersion, row.Version);
  pf.StoreVersion = rd.Version;
  pf.FullyRead = true;
  FrontBoard &board = pf.Owner->Board;
  board.OperatorRowVersion = pf.OperatorRowVersion;
  if (sound && board.PlanVersion > 0)
    board.PlanConfirmedAt = toNanos(asked);
  if (board.PlanVersion != before)
    pf.Owner->OnChange();
  // One that reads for itself was answered at once: it looks again later.
  if (board.PlanVersion > 0 && board.IsStoreReader)
    scheduleNext(pf);
  else
    arm(pf.Owner->Lp, pf.Timer,
        pf.Owner->Lp.Now + (board.PlanVersion > 0 ? LookPeriod : MostPause));
}

void onAnswer(void *ctx, const StoreResponse &answer) {
  PlanController &pf = *static_cast<PlanController *>(ctx);
  handleResult([&] { return pf.Owner->Protocol.ParseRows(answer); },
               [&](const TableReadResult &rd) {
                 recordStoreResult(*pf.Owner, pf.StoreUnreachable, "plan",
                                   nullptr);
                 pf.Backoff = Duration::zero();
                 takeReadingOf(pf, rd, answer.RequestedAtBoot);
                 return 0;
               },
               [&](const Error &err) {
                 failed(pf, err);
                 return 0;
               });
}

void requestNext(PlanController &pf) {
  const StoreProtocol &names = pf.Owner->Protocol;
  if (!pf.FullyRead || pf.Owner->Board.PlanVersion == 0)
    sendRequest(pf.Connection, names.ReadRequest(StoreTable::Operators, {}),
                AnswerTime, onAnswer, &pf);
  else
    sendRequest(pf.Connection,
                names.ChangesRequest(StoreTable::Operators, pf.StoreVersion,
                                     changeWait(pf)),
                changeWait(pf) + AnswerTime, onAnswer, &pf);
}

} // namespace

void startPlanController(PlanController &pf) {
  setUpStoreConnection(pf.Connection, pf.Owner->Lp,
                       pf.Owner->Settings.TableService);
  pf.Timer.Fn = onPauseOver;
  pf.Timer.Ctx = &pf;
  requestNext(pf);
}

} // namespace zinniagauge
