// Keeps the board's traffic plan up to date and proves that it is the newest.
#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How long a response may take, on top of the long-poll wait. The service
/// responds within some milliseconds, and within 200 ms when it is slow.
constexpr Duration ResponseTimeout = std::chrono::milliseconds(700);

/// The backoff after failures. It is short because API keys may be accepted
/// only while the plan has been confirmed recently.
constexpr Duration MinBackoff = std::chrono::milliseconds(80);
constexpr Duration MaxBackoff = std::chrono::milliseconds(400);

/// How often a front that doesn't read for others checks the reports of those
/// that do.
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

/// How long the service should wait for a change before it responds. An empty
/// response confirms the plan only up to the time of the request, so the wait
/// adds to the age of the confirmation. A front that reads for itself only
/// doesn't wait, since it needs the confirmation at once.
Duration longPollWait(const PlanController &pc) {
  const Controllers &ct = *pc.Owner;
  return ct.Board.IsStoreReader
             ? proofRenewal(ct.Settings.FreshnessBounds).LongPollWait
             : Duration::zero();
}

void requestNext(PlanController &pc);

/// Logs what confirms the plan if that, or the rows that it rests on, changed.
void logConfirmation(PlanController &pc, std::string_view source) {
  const FrontBoard &board = pc.Owner->Board;
  const TableVersion rows{board.StoreEra, pc.OperatorRowVersion};
  if (pc.LoggedSource == source && pc.LoggedRows == rows)
    return;
  pc.LoggedSource = source;
  pc.LoggedRows = rows;
  EventLine line = eventLine("plan_confirmed");
  add(line, "source", source);
  add(line, "era", static_cast<std::int64_t>(rows.Era));
  add(line, "row", static_cast<std::int64_t>(rows.Number));
  add(line, "version", static_cast<std::int64_t>(board.PlanVersion.load()));
  add(line, "age_ms", bootNow() - fromNanos(board.PlanConfirmedAt));
  pc.Owner->Log.write(line);
}

/// Confirms the plan by what a reading front reported. Returns true if the plan
/// was confirmed recently enough, so that this front needn't read it.
bool applyReaderReport(PlanController &pc) {
  FrontBoard &board = pc.Owner->Board;
  if (board.IsStoreReader || !pc.FullyRead || board.PlanVersion == 0 ||
      board.ReportedRowVersion > pc.OperatorRowVersion)
    return false;
  if (board.ReportedRowVersion == pc.OperatorRowVersion &&
      board.ReportedRowVersionAt > board.PlanConfirmedAt) {
    board.PlanConfirmedAt = board.ReportedRowVersionAt.load();
    logConfirmation(pc, "another front's report");
  }
  const Duration maxage =
      proofRenewal(pc.Owner->Settings.FreshnessBounds).MaxSharedAge;
  return bootNow() - fromNanos(board.PlanConfirmedAt) < maxage;
}

void scheduleNext(PlanController &pc) {
  if (applyReaderReport(pc))
    arm(pc.Owner->EventLoop, pc.Timer, pc.Owner->EventLoop.Now + CheckPeriod);
  else
    requestNext(pc);
}

void onTimer(void *ctx, Time /*now*/) {
  scheduleNext(*static_cast<PlanController *>(ctx));
}

void handleFailure(PlanController &pc, const Error &err) {
  recordStoreResult(*pc.Owner, pc.StoreUnreachable, "plan", &err);
  pc.Backoff = pc.Backoff == Duration::zero()
                   ? MinBackoff
                   : std::min(pc.Backoff * 2, MaxBackoff);
  arm(pc.Owner->EventLoop, pc.Timer, pc.Owner->EventLoop.Now + pc.Backoff);
}

void activatePlan(PlanController &pc, TrafficPlan plan,
                  std::uint64_t rowversion) {
  FrontBoard &board = pc.Owner->Board;
  const std::uint64_t before = board.PlanVersion;
  EventLine line = eventLine("plan");
  add(line, "version", static_cast<std::int64_t>(plan.Version));
  add(line, "before", static_cast<std::int64_t>(before));
  add(line, "era", static_cast<std::int64_t>(board.StoreEra.load()));
  add(line, "row", static_cast<std::int64_t>(rowversion));
  add(line, "routes", static_cast<std::int64_t>(plan.Routes.size()));
  add(line, "workspaces", static_cast<std::int64_t>(plan.Workspaces.size()));
  add(line, "outcome",
      plan.Version > before ? "in force" : "older, passed over");
  pc.Owner->Log.write(line);
  if (plan.Version <= before)
    return;
  const std::uint64_t version = plan.Version;
  board.Plan.publish(std::move(plan));
  board.PlanVersion.store(version, std::memory_order_release);
}

void applyOrderRow(PlanController &pc, const TableRow &row) {
  handleResult([&] { return pc.Owner->Protocol.ParseOrder(row); },
               [&](VersionMoveOrder order) {
                 applyOrder(pc.Owner->Moves, std::move(order));
                 return 0;
               },
               [&](const Error &err) {
                 if (err.Code == ErrorCode::NotFound)
                   return 0;
                 EventLine line = eventLine("order_unreadable");
                 add(line, err);
                 pc.Owner->Log.write(line);
                 return 0;
               });
}

/// Activates the plan in \p row, if it holds one. Returns false if the row
/// can't be read: the active plan then isn't known to be the newest.
bool applyPlanRow(PlanController &pc, const TableRow &row) {
  return handleResult([&] { return pc.Owner->Protocol.ParsePlan(row); },
                      [&](TrafficPlan plan) {
                        activatePlan(pc, std::move(plan), row.Version);
                        return true;
                      },
                      [&](const Error &err) {
                        if (err.Code == ErrorCode::NotFound)
                          return true;
                        EventLine line = eventLine("plan_unreadable");
                        add(line, err);
                        pc.Owner->Log.write(line);
                        return false;
                      });
}

void applyReadResult(PlanController &pc, const TableReadResult &rd,
                     Time requestedat) {
  if (rd.HistoryUnavailable) {
    pc.FullyRead = false;
    EventLine line = eventLine("plan_history_gone");
    add(line, "after", static_cast<std::int64_t>(pc.StoreVersion));
    pc.Owner->Log.write(line);
    requestNext(pc);
    return;
  }
  const std::uint64_t before = pc.Owner->Board.PlanVersion;
  bool allreadable = true;
  for (const TableRow &row : rd.Rows)
    if (!row.Deleted) {
      allreadable = applyPlanRow(pc, row) && allreadable;
      applyOrderRow(pc, row);
    }
  for (const TableRow &row : rd.Rows)
    pc.OperatorRowVersion = std::max(pc.OperatorRowVersion, row.Version);
  pc.StoreVersion = rd.Version;
  pc.FullyRead = true;
  FrontBoard &board = pc.Owner->Board;
  board.OperatorRowVersion = pc.OperatorRowVersion;
  if (allreadable && board.PlanVersion > 0) {
    board.PlanConfirmedAt = toNanos(requestedat);
    logConfirmation(pc, "own reading");
  }
  if (board.PlanVersion != before)
    pc.Owner->OnChange();
  // A front that reads for itself doesn't use long polling: its response came
  // at once, so it waits for the timer instead of sending the next request now.
  if (board.PlanVersion > 0 && board.IsStoreReader)
    scheduleNext(pc);
  else
    arm(pc.Owner->EventLoop, pc.Timer,
        pc.Owner->EventLoop.Now +
            (board.PlanVersion > 0 ? CheckPeriod : MaxBackoff));
}

void onResponse(void *ctx, const StoreResponse &response) {
  PlanController &pc = *static_cast<PlanController *>(ctx);
  applyStoreEra(*pc.Owner, pc.Owner->Protocol.EraOf(response), "plan");
  handleResult([&] { return pc.Owner->Protocol.ParseRows(response); },
               [&](const TableReadResult &rd) {
                 recordStoreResult(*pc.Owner, pc.StoreUnreachable, "plan",
                                   nullptr);
                 pc.Backoff = Duration::zero();
                 applyReadResult(pc, rd, response.RequestedAtBoot);
                 return 0;
               },
               [&](const Error &err) {
                 handleFailure(pc, err);
                 return 0;
               });
}

void requestNext(PlanController &pc) {
  const StoreProtocol &protocol = pc.Owner->Protocol;
  if (!pc.FullyRead || pc.Owner->Board.PlanVersion == 0)
    sendRequest(pc.Connection, protocol.ReadRequest(StoreTable::Operators, {}),
                ResponseTimeout, onResponse, &pc);
  else
    sendRequest(pc.Connection,
                protocol.ChangesRequest(StoreTable::Operators, pc.StoreVersion,
                                        longPollWait(pc)),
                longPollWait(pc) + ResponseTimeout, onResponse, &pc);
}

} // namespace

void startPlanController(PlanController &pc) {
  setUpStoreConnection(pc.Connection, pc.Owner->EventLoop,
                       pc.Owner->Settings.TableServiceAddress);
  pc.Timer.Fn = onTimer;
  pc.Timer.Ctx = &pc;
  requestNext(pc);
}

} // namespace zinniagauge
