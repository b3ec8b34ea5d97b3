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
Duration changeWait(const PlanFollower &pf) {
  const Controllers &ct = *pf.Owner;
  return ct.Board.Reads ? proofPace(ct.Settings.Fresh).Wait : Duration::zero();
}

void askNext(PlanFollower &pf);

/// Takes what a reading front said as a proof. True if that is enough for now.
bool takeTold(PlanFollower &pf) {
  FrontBoard &board = pf.Owner->Board;
  if (board.Reads || !pf.Whole || board.PlanVersion == 0 ||
      board.ToldMark > pf.Mark)
    return false;
  if (board.ToldMark == pf.Mark && board.ToldMarkAt > board.PlanProven)
    board.PlanProven = board.ToldMarkAt.load();
  const Duration old = proofPace(pf.Owner->Settings.Fresh).Old;
  return bootNow() - fromNanos(board.PlanProven) < old;
}

void goOn(PlanFollower &pf) {
  if (takeTold(pf))
    arm(pf.Owner->Lp, pf.Timer, pf.Owner->Lp.Now + LookPeriod);
  else
    askNext(pf);
}

void onPauseOver(void *ctx, Time /*now*/) {
  goOn(*static_cast<PlanFollower *>(ctx));
}

void failed(PlanFollower &pf, const Error &err) {
  noteStore(*pf.Owner, pf.Lost, "plan", &err);
  pf.Pause = pf.Pause == Duration::zero() ? FirstPause
                                          : std::min(pf.Pause * 2, MostPause);
  arm(pf.Owner->Lp, pf.Timer, pf.Owner->Lp.Now + pf.Pause);
}

void putInForce(PlanFollower &pf, TrafficPlan plan) {
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

void takeOrderIn(PlanFollower &pf, const TableRow &row) {
  handle([&] { return pf.Owner->Names.Order(row); },
         [&](VersionOrder order) {
           takeOrder(pf.Owner->Moves, std::move(order));
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
bool takeRow(PlanFollower &pf, const TableRow &row) {
  return handle([&] { return pf.Owner->Names.Plan(row); },
                [&](TrafficPlan plan) {
                  putInForce(pf, std::move(plan));
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

void takeReadingOf(PlanFollower &pf, const TableReading &rd, Time asked) {
  if (rd.HistoryGone) {
    pf.Whole = false;
    EventLine line = eventLine("plan_history_gone");
    add(line, "after", static_cast<std::int64_t>(pf.Version));
    pf.Owner->Log.write(line);
    askNext(pf);
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
    pf.Mark = std::max(pf.Mark, row.Version);
  pf.Version = rd.Version;
  pf.Whole = true;
  FrontBoard &board = pf.Owner->Board;
  board.OperatorsMark = pf.Mark;
  if (sound && board.PlanVersion > 0)
    board.PlanProven = toNanos(asked);
  if (board.PlanVersion != before)
    pf.Owner->OnChange();
  // One that reads for itself was answered at once: it looks again later.
  if (board.PlanVersion > 0 && board.Reads)
    goOn(pf);
  else
    arm(pf.Owner->Lp, pf.Timer,
        pf.Owner->Lp.Now + (board.PlanVersion > 0 ? LookPeriod : MostPause));
}

void onAnswer(void *ctx, const StoreAnswer &answer) {
  PlanFollower &pf = *static_cast<PlanFollower *>(ctx);
  handle([&] { return pf.Owner->Names.Rows(answer); },
         [&](const TableReading &rd) {
           noteStore(*pf.Owner, pf.Lost, "plan", nullptr);
           pf.Pause = Duration::zero();
           takeReadingOf(pf, rd, answer.AskedBoot);
           return 0;
         },
         [&](const Error &err) {
           failed(pf, err);
           return 0;
         });
}

void askNext(PlanFollower &pf) {
  const StoreDialect &names = pf.Owner->Names;
  if (!pf.Whole || pf.Owner->Board.PlanVersion == 0)
    ask(pf.Link, names.Read(StoreTable::Operators, {}), AnswerTime, onAnswer,
        &pf);
  else
    ask(pf.Link,
        names.Changes(StoreTable::Operators, pf.Version, changeWait(pf)),
        changeWait(pf) + AnswerTime, onAnswer, &pf);
}

} // namespace

void startPlans(PlanFollower &pf) {
  setUp(pf.Link, pf.Owner->Lp, pf.Owner->Settings.Table);
  pf.Timer.Fn = onPauseOver;
  pf.Timer.Ctx = &pf;
  askNext(pf);
}

} // namespace zinniagauge
