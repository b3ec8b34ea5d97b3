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

void askPage(BackendReader &br);

void publish(BackendReader &br);

/// Takes what a reading front said of the list. True if that is enough for now.
bool takeTold(BackendReader &br) {
  FrontBoard &board = br.Owner->Board;
  if (board.Reads || br.Lost || board.BackendsProven == 0)
    return false;
  if (board.ToldDigestAt > board.BackendsProven) {
    if (board.ToldDigest != board.BackendsDigest)
      return false;
    const Duration age = bootNow() - fromNanos(board.ToldDigestAt);
    board.BackendsProven = board.ToldDigestAt.load();
    const Time now = br.Owner->Lp.Now;
    if (confirmReading(br.Track, now - age, now))
      publish(br);
  }
  return bootNow() - fromNanos(board.BackendsProven) < OldList;
}

void onTime(void *ctx, Time now) {
  BackendReader &br = *static_cast<BackendReader *>(ctx);
  if (takeTold(br)) {
    arm(br.Owner->Lp, br.Timer, now + LookPeriod);
    return;
  }
  br.Page.clear();
  br.AskedBoot = bootNow();
  br.From.clear();
  br.Asked = now;
  askPage(br);
}

void logUnreadable(BackendReader &br, const TableRow &row, const Error &err) {
  countTable(br.Owner->Metrics, "backend_row", "unreadable");
  if (br.Unreadable.size() >= MostLogged ||
      !br.Unreadable.insert(row.Key).second)
    return;
  EventLine line = eventLine("backend_row_unreadable");
  add(line, "row", row.Key);
  add(line, err);
  br.Owner->Log.write(line);
}

void takeRows(BackendReader &br, const TableReading &rd) {
  for (const TableRow &row : rd.Rows)
    handle([&] { return br.Owner->Names.BackendOf(row); },
           [&](Backend b) {
             br.Page.push_back(std::move(b));
             return 0;
           },
           [&](const Error &err) {
             logUnreadable(br, row, err);
             return 0;
           });
}

void logChanges(BackendReader &br, const BackendList &before,
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

void publish(BackendReader &br) {
  Controllers &ct = *br.Owner;
  const BackendList before = ct.Board.Backends.copy();
  BackendList after = usable(br.Track);
  logChanges(br, before, after);
  ct.Board.Backends.publish(std::move(after));
  ct.OnChange();
}

void onAnswer(void *ctx, const StoreAnswer &answer) {
  BackendReader &br = *static_cast<BackendReader *>(ctx);
  Loop &lp = br.Owner->Lp;
  handle([&] { return br.Owner->Names.Rows(answer); },
         [&](const TableReading &rd) {
           noteStore(*br.Owner, br.Lost, "backends", nullptr);
           takeRows(br, rd);
           if (rd.More && !rd.Rows.empty()) {
             br.From = rd.Rows.back().Key + '\0';
             askPage(br);
             return 0;
           }
           if (takeReading(br.Track, br.Page, br.Asked, lp.Now))
             publish(br);
           br.Owner->Board.BackendsDigest = digestOf(br.Page);
           br.Owner->Board.BackendsProven = toNanos(br.AskedBoot);
           arm(lp, br.Timer,
               br.Asked + (br.Owner->Board.Reads ? ReadPeriod : LookPeriod));
           return 0;
         },
         [&](const Error &err) {
           noteStore(*br.Owner, br.Lost, "backends", &err);
           arm(lp, br.Timer, lp.Now + RetryPeriod);
           return 0;
         });
}

void askPage(BackendReader &br) {
  ask(br.Link, br.Owner->Names.Read(StoreTable::Backends, br.From), AnswerTime,
      onAnswer, &br);
}

} // namespace

void startDiscovery(BackendReader &br) {
  setUp(br.Link, br.Owner->Lp, br.Owner->Settings.Table);
  br.Timer.Fn = onTime;
  br.Timer.Ctx = &br;
  onTime(&br, br.Owner->Lp.Now);
}

} // namespace zinniagauge
