#include "zinniagauge/store/controllers.h"

namespace zinniagauge {

namespace {

/// How often the list is read. A back end that leaves is served on for two
/// seconds or more after it said so.
constexpr Duration ReadPeriod = std::chrono::milliseconds(900);

/// Sooner after a failure.
constexpr Duration RetryPeriod = std::chrono::milliseconds(250);

constexpr Duration AnswerTime = std::chrono::milliseconds(700);

/// Rows that can't be read and were logged; more are only counted.
constexpr std::size_t MostLogged = 64;

/// How often a front that doesn't read for others looks at what it was told.
constexpr Duration LookPeriod = std::chrono::milliseconds(100);

/// The age of a list at which such a front reads by itself.
constexpr Duration OldList = std::chrono::milliseconds(1800);

void requestPage(DiscoveryController &br);

void publish(DiscoveryController &br);

/// Takes what a reading front said of the list. True if that is enough for now.
bool takeTold(DiscoveryController &br) {
  FrontBoard &board = br.Owner->Board;
  if (board.IsStoreReader || br.StoreUnreachable ||
      board.BackendsConfirmedAt == 0)
    return false;
  if (board.ReportedBackendsDigestAt > board.BackendsConfirmedAt) {
    if (board.ReportedBackendsDigest != board.BackendsDigest)
      return false;
    const Duration age = bootNow() - fromNanos(board.ReportedBackendsDigestAt);
    board.BackendsConfirmedAt = board.ReportedBackendsDigestAt.load();
    const Time now = br.Owner->Lp.Now;
    if (confirmUnchanged(br.Track, now - age, now))
      publish(br);
  }
  return bootNow() - fromNanos(board.BackendsConfirmedAt) < OldList;
}

void onTime(void *ctx, Time now) {
  DiscoveryController &br = *static_cast<DiscoveryController *>(ctx);
  if (takeTold(br)) {
    arm(br.Owner->Lp, br.Timer, now + LookPeriod);
    return;
  }
  br.RowsRead.clear();
  br.ReadStartedAtBoot = bootNow();
  br.NextKey.clear();
  br.ReadStartedAt = now;
  requestPage(br);
}

void logUnreadable(DiscoveryController &br, const TableRow &row,
                   const Error &err) {
  countTableCall(br.Owner->Metrics, "backend_row", "unreadable");
  if (br.LoggedUnreadableRows.size() >= MostLogged ||
      !br.LoggedUnreadableRows.insert(row.Key).second)
    return;
  EventLine line = eventLine("backend_row_unreadable");
  add(line, "row", row.Key);
  add(line, err);
  br.Owner->Log.write(line);
}

void takeRows(DiscoveryController &br, const TableReadResult &rd) {
  for (const TableRow &row : rd.Rows)
    handleResult([&] { return br.Owner->Protocol.ParseBackend(row); },
                 [&](Backend b) {
                   br.RowsRead.push_back(std::move(b));
                   return 0;
                 },
                 [&](const Error &err) {
                   logUnreadable(br, row, err);
                   return 0;
                 });
}

void logChanges(DiscoveryController &br, const BackendList &before,
                const BackendList &after) {
  const auto state = [](const BackendList &list, const Backend &b) {
    for (const Backend &o : list.List)
      if (o.Id == b.Id)
        return o.Leaving ? 1 : 2;
    return 0;
  };
  const auto write = [&](const Backend &b, std::string_view what) {
    EventLine line = eventLine("backend");
    add(line, "backend", b.Name);
    add(line, "address", toString(b.Address));
    add(line, "state", what);
    br.Owner->Log.write(line);
  };
  for (const Backend &b : after.List)
    if (state(before, b) != state(after, b))
      write(b, b.Leaving ? "leaving" : "ready");
  for (const Backend &b : before.List)
    if (state(after, b) == 0)
      write(b, "gone");
}

void publish(DiscoveryController &br) {
  Controllers &ct = *br.Owner;
  const BackendList before = ct.Board.Backends.copy();
  BackendList after = usableBackends(br.Track);
  logChanges(br, before, after);
  ct.Board.Backends.publish(std::move(after));
  ct.OnChange();
}

void onAnswer(void *ctx, const StoreResponse &answer) {
  DiscoveryController &br = *static_cast<DiscoveryController *>(ctx);
  Loop &lp = br.Owner->Lp;
  handleResult(
      [&] { return br.Owner->Protocol.ParseRows(answer); },
      [&](const TableReadResult &rd) {
        recordStoreResult(*br.Owner, br.StoreUnreachable, "backends", nullptr);
        takeRows(br, rd);
        if (rd.HasMore && !rd.Rows.empty()) {
          br.NextKey = rd.Rows.back().Key + '\0';
          requestPage(br);
          return 0;
        }
        if (applyReading(br.Track, br.RowsRead, br.ReadStartedAt, lp.Now))
          publish(br);
        br.Owner->Board.BackendsDigest = digestOf(br.RowsRead);
        br.Owner->Board.BackendsConfirmedAt = toNanos(br.ReadStartedAtBoot);
        arm(lp, br.Timer,
            br.ReadStartedAt +
                (br.Owner->Board.IsStoreReader ? ReadPeriod : LookPeriod));
        return 0;
      },
      [&](const Error &err) {
        recordStoreResult(*br.Owner, br.StoreUnreachable, "backends", &err);
        arm(lp, br.Timer, lp.Now + RetryPeriod);
        return 0;
      });
}

void requestPage(DiscoveryController &br) {
  sendRequest(br.Connection,
              br.Owner->Protocol.ReadRequest(StoreTable::Backends, br.NextKey),
              AnswerTime, onAnswer, &br);
}

} // namespace

void startDiscoveryController(DiscoveryController &br) {
  setUpStoreConnection(br.Connection, br.Owner->Lp,
                       br.Owner->Settings.TableService);
  br.Timer.Fn = onTime;
  br.Timer.Ctx = &br;
  onTime(&br, br.Owner->Lp.Now);
}

} // namespace zinniagauge
