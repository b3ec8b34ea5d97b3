// Keeps the board's traffic plan up to date and proves that it is the newest.
#include "zinniagauge/decide/row_source.h"
#include "zinniagauge/store/controllers.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The longest backoff after failures. It is short because API keys may be
/// accepted only while the plan has been confirmed recently.
constexpr Duration MaxBackoff = std::chrono::milliseconds(400);

/// The wait after a response that is too large, which takes all of a narrow
/// link for seconds and stays so until the operators write again.
constexpr Duration TooLargeBackoff = std::chrono::seconds(5);

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
/// \p reporter is zero for a reading of this front.
void logConfirmation(PlanController &pc, std::uint64_t reporter) {
  const FrontBoard &board = pc.Owner->Board;
  const std::string_view source =
      reporter == 0 ? "own reading" : "another front's report";
  if (pc.LoggedSource == source && pc.LoggedRows == pc.NewestRow)
    return;
  pc.LoggedSource = source;
  pc.LoggedRows = pc.NewestRow;
  EventLine line = eventLine("plan_confirmed");
  add(line, "source", source);
  if (reporter != 0)
    add(line, "from", frontName(pc.Owner->PeerGossip, reporter));
  add(line, "era", static_cast<std::int64_t>(pc.NewestRow.Era));
  add(line, "row", static_cast<std::int64_t>(pc.NewestRow.Number));
  add(line, "version", static_cast<std::int64_t>(board.PlanVersion.load()));
  add(line, "age_ms", bootNow() - fromNanos(board.Proof.copy().ConfirmedAt));
  pc.Owner->Log.write(line);
}

/// All operators' rows up to this version are known.
TableVersion readUpTo(const PlanController &pc) {
  return {pc.Rows.Era, pc.Rows.ReadUpTo};
}

/// Whether another front has reported a later row than this one knows. The
/// newest row that this one knows may be earlier than the reported one, which
/// was deleted before this one read.
bool hasNews(const PlanController &pc) {
  return pc.Owner->Board.ReportedOperatorRows.copy().Version >
         std::max(pc.NewestRow, readUpTo(pc));
}

/// Records that the operators' rows that were read were the newest ones at
/// \p at, in nanoseconds of bootNow. \p reporter is the nameHash of the front
/// that reported this; zero: this one has read them.
void confirmRows(PlanController &pc, std::int64_t at, std::uint64_t reporter) {
  FrontBoard &board = pc.Owner->Board;
  board.OperatorRows.publish({pc.NewestRow, at, 0, readUpTo(pc)});
  board.Proof.publish({board.PlanVersion, at});
  logConfirmation(pc, reporter);
}

/// Confirms the plan by what a reading front reported. Returns true if the plan
/// was confirmed recently enough, so that this front needn't read it.
bool applyReaderReport(PlanController &pc) {
  FrontBoard &board = pc.Owner->Board;
  const ConfirmedVersion reported = board.ReportedOperatorRows.copy();
  if (board.IsStoreReader || !pc.FullyRead || board.PlanVersion == 0 ||
      hasNews(pc))
    return false;
  // Rows without a plan, or with an older one than this front's, are those of a
  // copy.
  if (reported.Version >= pc.NewestRow &&
      pc.Row.Version.Era == pc.NewestRow.Era &&
      pc.Row.Plan >= board.PlanVersion &&
      reported.ConfirmedAt > board.Proof.copy().ConfirmedAt)
    confirmRows(pc, reported.ConfirmedAt, reported.Reporter);
  const Duration maxage =
      proofRenewal(pc.Owner->Settings.FreshnessBounds).MaxSharedAge;
  const PlanProof proof = board.Proof.copy();
  const auto age = proofAge(proof, proof.Version, bootNow());
  return age && *age < maxage;
}

void scheduleNext(PlanController &pc) {
  if (!pc.Owner->Moves.HeldOrders.empty() &&
      !mayLackRows(pc.Owner->Board.TableEra.copy(), bootNow()))
    applyHeldOrders(pc.Owner->Moves);
  const Time now = pc.Owner->EventLoop.Now;
  const bool isreader = pc.Owner->Board.IsStoreReader;
  // Only a reading after the operators' time to write again tells whether an
  // evacuation that a restored table service lacks has ended.
  const bool unsure = lacksOrders(pc.Evacuations) &&
                      !mayLackRows(pc.Owner->Board.TableEra.copy(), bootNow());
  const bool waits =
      !unsure &&
      (applyReaderReport(pc) ||
       (!isreader && pc.FullyRead && !hasNews(pc) && now < pc.NextReadAt));
  if (waits)
    arm(pc.Owner->EventLoop, pc.Timer, now + ProofCheckPeriod);
  else
    requestNext(pc);
}

/// A response without rows is smaller than this.
constexpr std::size_t MaxEmptyResponseBytes = 1024;

void onTimer(void *ctx, Time now) {
  PlanController &pc = *static_cast<PlanController *>(ctx);
  if (!pc.Connection.Busy && !pc.PeerConnection.Busy) {
    scheduleNext(pc);
    return;
  }
  if (!pc.ReadsAll && pc.Connection.Body.size() > MaxEmptyResponseBytes)
    pc.Owner->Board.OperatorRowsArriving = true;
  arm(pc.Owner->EventLoop, pc.Timer, now + ProofCheckPeriod);
}

void handleFailure(PlanController &pc, const StoreResponse &response,
                   const Error &err) {
  recordStoreResult(*pc.Owner, pc.StoreUnreachable, "plan", response, &err);
  pc.Backoff = pc.Backoff == Duration::zero()
                   ? MinReadBackoff
                   : std::min(pc.Backoff * 2, MaxBackoff);
  if (response.FailureReason == TooLargeResponse) {
    // As with a plan that can't be parsed, calls that need no key are served
    // on.
    pc.Owner->Board.OperatorRowsArriving = false;
    pc.Backoff = TooLargeBackoff;
  }
  arm(pc.Owner->EventLoop, pc.Timer, pc.Owner->EventLoop.Now + pc.Backoff);
}

/// How a plan was read; times are by bootNow.
struct PlanReading {
  std::string_view Source;
  TableVersion Row;
  std::size_t Bytes = 0;
  Time RequestedAt;
  Time ReceivedAt; // When parsing began.
};

/// Activates \p plan, unless it is older than the one in force.
void activatePlan(PlanController &pc, TrafficPlan plan,
                  const PlanReading &reading) {
  FrontBoard &board = pc.Owner->Board;
  const std::uint64_t before = board.PlanVersion;
  EventLine line = eventLine("plan");
  add(line, "version", static_cast<std::int64_t>(plan.Version));
  add(line, "before", static_cast<std::int64_t>(before));
  add(line, "era", static_cast<std::int64_t>(reading.Row.Era));
  add(line, "row", static_cast<std::int64_t>(reading.Row.Number));
  add(line, "source", reading.Source);
  add(line, "bytes", static_cast<std::int64_t>(reading.Bytes));
  add(line, "routes", static_cast<std::int64_t>(plan.Routes.size()));
  add(line, "workspaces", static_cast<std::int64_t>(plan.Workspaces.size()));
  const Time now = bootNow();
  add(line, "read_ms", now - reading.RequestedAt);
  add(line, "parse_ms", now - reading.ReceivedAt);
  add(line, "outcome",
      plan.Version > before ? "in force" : "older, passed over");
  pc.Owner->Log.write(line);
  if (plan.Version <= before)
    return;
  const std::uint64_t version = plan.Version;
  board.Plan.publish(std::move(plan));
  board.PlanVersion.store(version, std::memory_order_release);
}

void applyOrderRow(PlanController &pc, const TableRow &row,
                   const StoreEra &era) {
  handleResult([&] { return pc.Owner->Protocol.ParseOrder(row); },
               [&](VersionMoveOrder order) {
                 order.Row.Era = era.Number;
                 applyOrder(pc.Owner->Moves, std::move(order),
                            mayLackRows(era, bootNow()));
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

/// Activates the plan in \p row, which was read in \p era by a request made at
/// \p requestedat, if it holds one. If it can't be read, no plan is confirmed
/// until one that can be read follows.
void applyPlanRow(PlanController &pc, const TableRow &row, std::uint64_t era,
                  Time requestedat) {
  const TableVersion version{era, row.Version};
  const std::string_view source =
      pc.FromPeer ? "another front" : "table service";
  const PlanReading reading{source, version, row.Value.size(), requestedat,
                            bootNow()};
  const auto parse = [&] {
    const ReadGuard guard;
    return pc.Owner->Protocol.ParsePlan(row, pc.Owner->Board.Plan.read(guard));
  };
  handleResult(
      parse,
      [&](TrafficPlan plan) {
        pc.Row = nextPlanRow(pc.Row, version, plan.Version);
        activatePlan(pc, std::move(plan), reading);
        return 0;
      },
      [&](const Error &err) {
        if (err.Code == ErrorCode::NotFound)
          return 0;
        pc.Row = nextPlanRow(pc.Row, version, UnreadablePlan);
        EventLine line = eventLine("plan_unreadable");
        add(line, "row", static_cast<std::int64_t>(row.Version));
        add(line, err);
        pc.Owner->Log.write(line);
        return 0;
      });
}

/// Discards what was read so far and reads all rows.
void readAgain(PlanController &pc) {
  pc.FullyRead = false;
  requestNext(pc);
}

void applyReadResult(PlanController &pc, const TableReadResult &rd,
                     Time requestedat) {
  if (rd.HistoryUnavailable) {
    EventLine line = eventLine("plan_history_gone");
    add(line, "era", static_cast<std::int64_t>(pc.Rows.Era));
    add(line, "after", static_cast<std::int64_t>(pc.Rows.ReadUpTo));
    pc.Owner->Log.write(line);
    readAgain(pc);
    return;
  }
  FrontBoard &board = pc.Owner->Board;
  const StoreEra era = board.TableEra.copy();
  const std::uint64_t before = board.PlanVersion;
  if (pc.NewestRow.Era != era.Number)
    pc.NewestRow = {era.Number, 0};
  // Before the plan: calls are served once there is one.
  applyEvacuationRows(pc, rd, requestedat);
  for (const TableRow &row : rd.Rows) {
    pc.NewestRow = std::max(pc.NewestRow, {era.Number, row.Version});
    if (row.Deleted)
      continue;
    applyPlanRow(pc, row, era.Number, requestedat);
    applyOrderRow(pc, row, era);
  }
  pc.FullyRead = true;
  if (!pc.FromPeer && confirmsPlan(pc.Row, board.PlanVersion, era, requestedat))
    confirmRows(pc, toNanos(requestedat), 0);
  else if (board.OperatorRows.copy().Version != pc.NewestRow)
    board.OperatorRows.publish({pc.NewestRow, 0, 0, readUpTo(pc)});
  board.OperatorRowsArriving = false;
  if (board.PlanVersion != before)
    pc.Owner->OnChange();
  if (!rd.Rows.empty())
    sendChanges(pc.Owner->PeerGossip); // Others learn that there is news.
  const Time now = pc.Owner->EventLoop.Now;
  pc.NextReadAt = now + MaxBackoff;
  // A front that reads for itself doesn't use long polling: its response came
  // at once, so it waits for the timer instead of sending the next request now.
  if (board.PlanVersion > 0 && board.IsStoreReader)
    scheduleNext(pc);
  else
    arm(pc.Owner->EventLoop, pc.Timer,
        now + (board.PlanVersion > 0 ? ProofCheckPeriod : MaxBackoff));
}

/// Applies what the table service responded.
void onResponse(void *ctx, const StoreResponse &response) {
  PlanController &pc = *static_cast<PlanController *>(ctx);
  const EraOrder order = applyStoreEra(*pc.Owner, response, "plan");
  handleResult(
      [&] { return pc.Owner->Protocol.ParseRows(response); },
      [&](const TableReadResult &rd) {
        recordStoreResult(*pc.Owner, pc.StoreUnreachable, "plan", response,
                          nullptr);
        pc.Backoff = Duration::zero();
        const std::uint64_t era = pc.Owner->Board.TableEra.copy().Number;
        // Changes since a version of another era may lack some.
        const bool sameera = era == pc.Rows.Era;
        if (order == EraOrder::Outdated || (!pc.ReadsAll && !sameera)) {
          readAgain(pc);
          return 0;
        }
        if (!rd.HistoryUnavailable)
          recordRows(pc.Rows, rd, era, pc.ReadsAll,
                     pc.Owner->PeerGossip.IsCoordinator ? MakePatches::Yes
                                                        : MakePatches::No);
        applyReadResult(pc, rd, response.RequestedAtBoot);
        return 0;
      },
      [&](const Error &err) {
        handleFailure(pc, response, err);
        return 0;
      });
}

/// Reads from the table service what another front didn't pass on.
void handlePeerFailure(PlanController &pc, const Error &err) {
  countTableCall(pc.Owner->Metrics, "rows_of_another_front",
                 toString(err.Code));
  EventLine line = eventLine("rows_not_passed_on");
  add(line, err);
  pc.Owner->Log.write(line);
  pc.PeerFailed = pc.Owner->Board.ReportedOperatorRows.copy().Version;
  requestNext(pc);
}

/// Applies what another front passed on.
void onPeerResponse(void *ctx, const StoreResponse &response) {
  PlanController &pc = *static_cast<PlanController *>(ctx);
  const auto decode = [&]() -> Result<PassedRows> {
    if (response.Status != 200)
      return fail({ErrorCode::Unavailable, Step::Bundle, "front",
                   response.Status == 0
                       ? response.FailureReason
                       : "status " + std::to_string(response.Status)});
    return decodeRows(pc.Rows, response.Body);
  };
  handleResult(
      decode,
      [&](const PassedRows &passed) {
        // The table service may have been restored meanwhile.
        if (!pc.FullyRead) {
          requestNext(pc);
          return 0;
        }
        const TableVersion before = pc.NewestRow;
        countTableCall(pc.Owner->Metrics, "rows_of_another_front", "ok");
        recordRows(pc.Rows, passed);
        applyReadResult(pc, passed.Rows, response.RequestedAtBoot);
        if (pc.NewestRow == before)
          pc.PeerFailed = pc.Owner->Board.ReportedOperatorRows.copy().Version;
        return 0;
      },
      [&](const Error &err) {
        handlePeerFailure(pc, err);
        return 0;
      });
}

/// The front from which to read, if that is the next source.
std::optional<PeerAddress> nextPeer(const PlanController &pc) {
  const FrontBoard &board = pc.Owner->Board;
  const ConfirmedVersion reported = board.ReportedOperatorRows.copy();
  const auto peer = frontAddress(pc.Owner->PeerGossip, reported.Reporter);
  RowSourceState st;
  st.IsStoreReader = board.IsStoreReader;
  st.HasFullReading = pc.FullyRead && board.PlanVersion > 0 &&
                      pc.Rows.Era == board.TableEra.copy().Number;
  st.NewerReported = hasNews(pc);
  st.LacksOrders = lacksOrders(pc.Evacuations);
  st.HasPeer = peer.has_value();
  st.PeerFailed = pc.PeerFailed == reported.Version;
  return nextRowSource(st) == RowSource::Peer ? peer : std::nullopt;
}

void requestFromPeer(PlanController &pc, PeerAddress peer) {
  if (pc.PeerConnection.ServerAddress != peer) {
    closeStoreConnection(pc.PeerConnection);
    setUpStoreConnection(pc.PeerConnection, pc.Owner->EventLoop, peer);
  }
  // As long as for the table service: several fronts may share its link.
  sendRequest(pc.PeerConnection, {"GET", rowsPath(pc.Rows), {}},
              proofRenewal(pc.Owner->Settings.FreshnessBounds).ResponseTimeout,
              onPeerResponse, &pc);
}

void requestNext(PlanController &pc) {
  const StoreProtocol &protocol = pc.Owner->Protocol;
  const Duration timeout =
      proofRenewal(pc.Owner->Settings.FreshnessBounds).ResponseTimeout;
  arm(pc.Owner->EventLoop, pc.Timer,
      pc.Owner->EventLoop.Now + ProofCheckPeriod);
  const auto peer = nextPeer(pc);
  pc.FromPeer = peer.has_value();
  pc.ReadsAll = !pc.FullyRead || pc.Owner->Board.PlanVersion == 0;
  if (pc.FromPeer)
    requestFromPeer(pc, *peer);
  else if (pc.ReadsAll)
    sendRequest(pc.Connection, protocol.ReadRequest(StoreTable::Operators, {}),
                timeout, onResponse, &pc);
  else
    sendRequest(pc.Connection,
                protocol.ChangesRequest(StoreTable::Operators, pc.Rows.ReadUpTo,
                                        longPollWait(pc)),
                longPollWait(pc) + timeout, onResponse, &pc);
}

} // namespace

void onStoreRestored(PlanController &pc) { pc.FullyRead = false; }

StatusResponse serveRows(PlanController &pc, std::string_view path) {
  auto rows = encodeRows(pc.Rows, path);
  return rows ? StatusResponse{200, std::move(*rows)} : StatusResponse{};
}

void startPlanController(PlanController &pc) {
  setUpStoreConnection(pc.Connection, pc.Owner->EventLoop,
                       pc.Owner->Settings.TableServiceAddress);
  setUpStoreConnection(pc.PeerConnection, pc.Owner->EventLoop, {});
  pc.Timer.Fn = onTimer;
  pc.Timer.Ctx = &pc;
  requestNext(pc);
}

} // namespace zinniagauge
