// Keeps the board's list of back ends up to date.
#include "zinniagauge/decide/list_source.h"
#include "zinniagauge/store/controllers.h"

namespace zinniagauge {

namespace {

/// How often the list is read. A back end that leaves keeps serving for at
/// least two seconds after it has announced that.
constexpr Duration ReadPeriod = std::chrono::milliseconds(900);

/// The wait before a retry after a failed read.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);

constexpr Duration ResponseTimeout = std::chrono::milliseconds(700);

/// Up to this many unreadable rows are logged; further ones are only counted.
constexpr std::size_t MaxLoggedRows = 64;

/// How often a front that doesn't read for others checks the reports of those
/// that do.
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

void requestPage(DiscoveryController &dc);

void publish(DiscoveryController &dc);

void publishGrace(DiscoveryController &dc, std::string_view why);

/// Confirms the list by what a reading front reported of it.
void applyReaderReport(DiscoveryController &dc) {
  FrontBoard &board = dc.Owner->Board;
  if (board.IsStoreReader || dc.StoreUnreachable ||
      board.BackendsConfirmedAt == 0 ||
      board.ReportedBackendsDigestAt <= board.BackendsConfirmedAt ||
      board.ReportedBackendsDigest != board.BackendsDigest)
    return;
  const Duration age = bootNow() - fromNanos(board.ReportedBackendsDigestAt);
  board.BackendsConfirmedAt = board.ReportedBackendsDigestAt.load();
  dc.PeerFailed = false;
  const Time now = dc.Owner->EventLoop.Now;
  if (confirmUnchanged(dc.Track, now - age, now))
    publish(dc);
  publishGrace(dc, "confirmed by another front");
}

/// What this front knows of its list. \p peer has the reported one.
ListState listState(const DiscoveryController &dc,
                    std::optional<PeerAddress> peer) {
  const FrontBoard &board = dc.Owner->Board;
  ListState st;
  st.IsStoreReader = board.IsStoreReader;
  st.StoreUnreachable = dc.StoreUnreachable;
  st.HasReading = board.BackendsConfirmedAt != 0;
  st.Age = bootNow() - fromNanos(board.BackendsConfirmedAt);
  st.OtherReported = board.ReportedBackendsDigestAt > board.BackendsConfirmedAt;
  st.HasPeer = peer.has_value();
  st.PeerFailed = dc.PeerFailed;
  return st;
}

/// The path under which a front passes on page \p page of its list.
std::string peerPath(std::size_t page) {
  return "/backends/" + std::to_string(page);
}

/// Connects to \p peer for the next reading, unless that is done.
void usePeer(DiscoveryController &dc, PeerAddress peer) {
  if (dc.PeerConnection.ServerAddress == peer)
    return;
  closeStoreConnection(dc.PeerConnection);
  setUpStoreConnection(dc.PeerConnection, dc.Owner->EventLoop, peer);
}

void onTimer(void *ctx, Time now) {
  DiscoveryController &dc = *static_cast<DiscoveryController *>(ctx);
  applyReaderReport(dc);
  const auto peer = backendsSource(dc.Owner->PeerGossip);
  const ListSource source = nextListSource(listState(dc, peer));
  if (source == ListSource::Wait) {
    arm(dc.Owner->EventLoop, dc.Timer, now + CheckPeriod);
    return;
  }
  // A list that another front reported as current is read from that front, so
  // that a change of it isn't read from the table service by every front.
  dc.FromPeer = source == ListSource::Peer;
  if (dc.FromPeer)
    usePeer(dc, *peer);
  dc.BackendsRead.clear();
  dc.Bodies.clear();
  dc.ReadOutdated = false;
  dc.ReadStartedAtBoot = bootNow();
  dc.NextKey.clear();
  dc.ReadStartedAt = now;
  requestPage(dc);
}

void logUnreadable(DiscoveryController &dc, const TableRow &row,
                   const Error &err) {
  countTableCall(dc.Owner->Metrics, "backend_row", "unreadable");
  if (dc.LoggedUnreadableRows.size() >= MaxLoggedRows ||
      !dc.LoggedUnreadableRows.insert(row.Key).second)
    return;
  EventLine line = eventLine("backend_row_unreadable");
  add(line, "row", row.Key);
  add(line, err);
  dc.Owner->Log.write(line);
}

void parseRows(DiscoveryController &dc, const TableReadResult &rd) {
  for (const TableRow &row : rd.Rows)
    handleResult([&] { return dc.Owner->Protocol.ParseBackend(row); },
                 [&](Backend b) {
                   if (!b.ColdRemaining)
                     logUnreadable(dc, row,
                                   {ErrorCode::Invalid, Step::Bundle, row.Key,
                                    "no remaining cold time"});
                   dc.BackendsRead.push_back(std::move(b));
                   return 0;
                 },
                 [&](const Error &err) {
                   logUnreadable(dc, row, err);
                   return 0;
                 });
}

void logChanges(DiscoveryController &dc, const BackendList &before,
                const BackendList &after) {
  const auto state = [](const BackendList &list, const Backend &b) {
    for (const Backend &o : list.List)
      if (o.Id == b.Id)
        return o.Leaving ? 1 : 2;
    return 0;
  };
  const auto write = [&](const Backend &b, std::string_view statename) {
    EventLine line = eventLine("backend");
    add(line, "backend", b.Name);
    add(line, "address", toString(b.Address));
    add(line, "state", statename);
    dc.Owner->Log.write(line);
  };
  for (const Backend &b : after.List)
    if (state(before, b) != state(after, b))
      write(b, b.Leaving ? "leaving" : "ready");
  for (const Backend &b : before.List)
    if (state(after, b) == 0)
      write(b, "gone");
}

void publish(DiscoveryController &dc) {
  Controllers &ct = *dc.Owner;
  const BackendList before = ct.Board.Backends.copy();
  BackendList after = usableBackends(dc.Track);
  logChanges(dc, before, after);
  ct.Board.Backends.publish(std::move(after));
  ct.OnChange();
}

/// Writes to the board since when the list is readable, and logs the begin and
/// the end of a time in which missing entries are kept.
void publishGrace(DiscoveryController &dc, std::string_view why) {
  FrontBoard &board = dc.Owner->Board;
  const Time now = dc.Owner->EventLoop.Now;
  const bool grace = isInGrace(dc.Track, now);
  const Duration since = now - dc.Track.ReadableSince;
  board.BackendsReadableSince = grace ? 0 : toNanos(bootNow() - since);
  if (grace == (board.BackendsGraceFrom != 0))
    return;
  board.ReportedReadableSince = 0;
  board.BackendsGraceFrom = grace ? toNanos(bootNow() - since) : 0;
  EventLine line =
      eventLine(grace ? "missing_backends_kept" : "missing_backends_dropped");
  add(line, "why", why);
  add(line, "readable_ms", since);
  add(line, "left_ms", dc.Track.GraceDeadline - now);
  dc.Owner->Log.write(line);
  if (grace)
    arm(dc.Owner->EventLoop, dc.Owner->PeerGossip.QueryTimer, now);
}

/// The back ends that were read. One whose remaining cold time can't be read
/// counts as cold for as long as its pool's are after a start.
std::vector<Backend> withColdStart(const DiscoveryController &dc) {
  std::vector<Backend> out = dc.BackendsRead;
  const ReadGuard guard;
  const TrafficPlan &plan = dc.Owner->Board.Plan.read(guard);
  for (Backend &b : out)
    if (!b.ColdRemaining) {
      const PlanPool *pool = findPool(plan, b.Pool);
      b.ColdRemaining = pool ? pool->ColdStart : Duration::zero();
    }
  return out;
}

/// Applies a reading from the table service. Returns when to read again.
Time applyOwnReading(DiscoveryController &dc) {
  FrontBoard &board = dc.Owner->Board;
  if (applyReading(dc.Track, withColdStart(dc), dc.ReadStartedAt,
                   dc.Owner->EventLoop.Now, bootNow()))
    publish(dc);
  publishGrace(dc, "read from the table service");
  board.BackendsDigest = digestOf(dc.BackendsRead);
  board.BackendsEra = board.TableEra.copy().Number;
  board.BackendsConfirmedAt = toNanos(dc.ReadStartedAtBoot);
  dc.PeerFailed = false;
  return dc.ReadStartedAt + (board.IsStoreReader ? ReadPeriod : CheckPeriod);
}

/// Applies a reading from another front if it is the list that was reported as
/// current. Returns when to read again.
Time applyPeerReading(DiscoveryController &dc) {
  FrontBoard &board = dc.Owner->Board;
  const Time now = dc.Owner->EventLoop.Now;
  // The list may have changed since it was reported.
  if (digestOf(dc.BackendsRead) != board.ReportedBackendsDigest)
    return now + CheckPeriod;
  const std::int64_t confirmedat = board.ReportedBackendsDigestAt;
  const Duration age = bootNow() - fromNanos(confirmedat);
  if (applyReading(dc.Track, withColdStart(dc), now - age, now, bootNow()))
    publish(dc);
  publishGrace(dc, "read from another front");
  board.BackendsDigest = board.ReportedBackendsDigest.load();
  board.BackendsEra = board.TableEra.copy().Number;
  board.BackendsConfirmedAt = confirmedat;
  return now + CheckPeriod;
}

void onResponse(void *ctx, const StoreResponse &response) {
  DiscoveryController &dc = *static_cast<DiscoveryController *>(ctx);
  Loop &lp = dc.Owner->EventLoop;
  const EraOrder order = dc.FromPeer
                             ? EraOrder::Current
                             : applyStoreEra(*dc.Owner, response, "backends");
  // The first page names the era of the reading.
  if (order == EraOrder::New && dc.Bodies.empty())
    dc.ReadOutdated = false;
  else if (order == EraOrder::Outdated)
    dc.ReadOutdated = true;
  handleResult([&] { return dc.Owner->Protocol.ParseRows(response); },
               [&](const TableReadResult &rd) {
                 if (!dc.FromPeer)
                   recordStoreResult(*dc.Owner, dc.StoreUnreachable, "backends",
                                     response, nullptr);
                 if (dc.ReadOutdated) {
                   onTimer(&dc, lp.Now);
                   return 0;
                 }
                 parseRows(dc, rd);
                 dc.Bodies.push_back(response.Body);
                 if (rd.HasMore && !rd.Rows.empty()) {
                   dc.NextKey = rd.Rows.back().Key + '\0';
                   requestPage(dc);
                   return 0;
                 }
                 const Time next =
                     dc.FromPeer ? applyPeerReading(dc) : applyOwnReading(dc);
                 dc.ServedBodies = std::move(dc.Bodies);
                 arm(lp, dc.Timer, next);
                 return 0;
               },
               [&](const Error &err) {
                 if (dc.FromPeer) {
                   dc.PeerFailed = true;
                   onTimer(&dc, lp.Now);
                   return 0;
                 }
                 recordStoreResult(*dc.Owner, dc.StoreUnreachable, "backends",
                                   response, &err);
                 arm(lp, dc.Timer, lp.Now + RetryInterval);
                 return 0;
               });
}

void requestPage(DiscoveryController &dc) {
  if (dc.FromPeer)
    sendRequest(dc.PeerConnection, {"GET", peerPath(dc.Bodies.size()), {}},
                PeerResponseTimeout, onResponse, &dc);
  else
    sendRequest(
        dc.Connection,
        dc.Owner->Protocol.ReadRequest(StoreTable::Backends, dc.NextKey),
        ResponseTimeout, onResponse, &dc);
}

} // namespace

void onStoreRestored(DiscoveryController &dc) {
  FrontBoard &board = dc.Owner->Board;
  dc.ReadOutdated = true;
  board.ReportedBackendsDigestAt = 0;
  keepMissing(dc.Track, dc.Owner->EventLoop.Now);
  publishGrace(dc, "the table service was restored");
}

void applyReportedReadableTime(DiscoveryController &dc) {
  const FrontBoard &board = dc.Owner->Board;
  const Time now = dc.Owner->EventLoop.Now;
  const Duration since = bootNow() - fromNanos(board.ReportedReadableSince);
  if (shortenGrace(dc.Track, now - since, now))
    publish(dc);
  publishGrace(dc, "another front could read");
}

StatusResponse servePage(const DiscoveryController &dc, std::string_view path) {
  for (std::size_t n = 0; n < dc.ServedBodies.size(); ++n)
    if (path == peerPath(n))
      return {200, dc.ServedBodies[n]};
  return {404, {}};
}

void startDiscoveryController(DiscoveryController &dc) {
  setUpStoreConnection(dc.Connection, dc.Owner->EventLoop,
                       dc.Owner->Settings.TableServiceAddress);
  setUpStoreConnection(dc.PeerConnection, dc.Owner->EventLoop, {});
  dc.Timer.Fn = onTimer;
  dc.Timer.Ctx = &dc;
  onTimer(&dc, dc.Owner->EventLoop.Now);
}

} // namespace zinniagauge
