// Implements the stand-in for the users' platform.
#include "support/consortium.h"

#include <sys/epoll.h>
#include <unistd.h>

namespace zinniagauge::testing {

using nlohmann::json;

namespace {

std::string responseText(int status, std::string_view body,
                         std::initializer_list<HeaderField> more,
                         std::string_view lines = {}) {
  std::string out;
  writeStatusLine(out, status);
  out.append(lines);
  for (const HeaderField &f : more)
    writeField(out, f.Name, f.Value);
  writeField(out, "Content-Length", std::uint64_t{body.size()});
  out.append("\r\n").append(body);
  return out;
}

/// How often a connection with limited bandwidth sends.
constexpr Duration SendInterval = std::chrono::milliseconds(10);

/// Sends what the bandwidth of the connection allows within SendInterval.
void onSendTimer(void *ctx, Time now) {
  PortConnection &conn = *static_cast<PortConnection *>(ctx);
  const std::size_t n = conn.Port->BytesPerSecond *
                        static_cast<std::size_t>(SendInterval.count()) /
                        1'000'000'000;
  send(conn.Connection, std::string_view(conn.DelayedResponse).substr(0, n));
  conn.DelayedResponse.erase(0, n);
  if (!conn.DelayedResponse.empty())
    arm(conn.Port->Owner->Lp, conn.EventTimer, now + SendInterval);
}

void reply(PortConnection &conn, int status, std::string_view body,
           std::initializer_list<HeaderField> more = {}) {
  const std::string text = responseText(status, body, more, conn.Port->Asked);
  if (conn.Port->BytesPerSecond == 0) {
    send(conn.Connection, text);
    return;
  }
  conn.DelayedResponse.append(text);
  conn.EventTimer.Fn = onSendTimer;
  conn.EventTimer.Ctx = &conn;
  if (!conn.EventTimer.Hook.is_linked())
    onSendTimer(&conn, conn.Port->Owner->Lp.Now);
}

std::string queryValue(std::string_view target, std::string_view name) {
  const std::string key = std::string(name) + "=";
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    if (rest.starts_with(key))
      return std::string(rest.substr(key.size(), rest.find('&') - key.size()));
    at = target.find('&', at + 1);
  }
  return {};
}

void replyFromStore(PortConnection &conn, int status, std::string_view body) {
  const std::string era = std::to_string(conn.Port->Owner->Era);
  reply(conn, status, body, {{"Store-Era", era}});
}

/// The rows of \p table that changed after version \p after; dropped ones only
/// if that isn't zero.
json rowsResponse(const Consortium &st, const std::string &table,
                  std::uint64_t after) {
  json rows = json::array();
  for (const auto &[key, row] : st.Rows)
    if (key.first == table && row.at("schema_version") > after &&
        (after > 0 || !row.contains("deleted")))
      rows.push_back(row);
  return {{"rows", rows},
          {"has_more", false},
          {"schema_version", st.Version},
          {"now_ms", monotonicNow().time_since_epoch().count() / 1'000'000}};
}

/// Answers the pending reads for which a row has changed or whose deadline has
/// passed.
void answerPendingReads(Consortium &st) {
  std::erase_if(st.PendingReads, [&](const PendingRead &w) {
    const json doc = rowsResponse(st, w.Table, w.After);
    if (doc.at("rows").empty() && st.Lp.Now < w.Deadline)
      return false;
    if (st.Connections.contains(w.Reader))
      replyFromStore(*w.Reader, 200, doc.dump());
    return true;
  });
}

void onTimer(void *ctx, Time now) {
  Consortium &st = *static_cast<Consortium *>(ctx);
  answerPendingReads(st);
  arm(st.Lp, st.Timer, now + std::chrono::milliseconds(20));
}

/// Applies a transaction if the expected versions match; otherwise answers 412
/// with the current rows.
void handleTransaction(Consortium &st, PortConnection &conn, const json &doc) {
  for (const json &cond : doc.at("expected_revision")) {
    const auto it = st.Rows.find({cond.at("table"), cond.at("key")});
    const std::uint64_t stored =
        it == st.Rows.end()
            ? 0
            : it->second.at("schema_version").get<std::uint64_t>();
    if (stored != cond.at("schema_version").get<std::uint64_t>()) {
      replyFromStore(conn, 412, rowsResponse(st, cond.at("table"), 0).dump());
      return;
    }
  }
  for (const json &row : doc.at("writes"))
    putRow(st, row);
  if (st.Ports[0]->Mode == "lost") {
    close(conn.Connection, true);
    return;
  }
  replyFromStore(conn, 200,
                 json{{"schema_version", st.Version}, {"now_ms", 1}}.dump());
}

/// Serves /stand-in: POST writes or drops a row, sets a mode, or copies or
/// restores the store; GET returns how many calls arrived at each engine and
/// ran there, and how often it crashed.
void handleControl(Consortium &st, PortConnection &conn,
                   const MessageHead &head) {
  if (head.Method == "POST") {
    const json doc = json::parse(conn.Body);
    if (doc.contains("row"))
      putRow(st, doc.at("row"));
    else if (doc.contains("drop"))
      dropRow(st, doc.at("drop"));
    else if (doc.contains("store"))
      st.Ports[0]->Mode = doc.at("store");
    else if (doc.contains("copy"))
      st.LastCopy = copyStore(st, doc.value("without", std::string()));
    else if (doc.contains("restore"))
      restoreStore(st, st.LastCopy);
    else
      st.Ports.at(doc.at("engine").get<std::size_t>() + 1)->Mode =
          doc.at("mode");
    reply(conn, 200, "{}");
    return;
  }
  json runs = json::array();
  for (const auto &p : st.Ports)
    if (p->Engine >= 0)
      runs.push_back({{"runs", p->Runs},
                      {"arrivals", p->Arrivals},
                      {"crashes", p->Crashes}});
  reply(conn, 200, runs.dump());
}

void serveStore(Consortium &st, PortConnection &conn, const MessageHead &head) {
  const std::string_view path =
      std::string_view(head.Target).substr(0, head.Target.find('?'));
  if (path == "/stand-in") {
    handleControl(st, conn, head);
  } else if (st.Ports[0]->Mode == "silent") {
    return;
  } else if (st.Ports[0]->Mode == "busy") {
    replyFromStore(conn, 503, "");
  } else if (path == "/v1/rows-tx") {
    handleTransaction(st, conn, json::parse(conn.Body));
  } else if (path == "/v1/rows-feed" &&
             (st.Ports[0]->Mode == "gone" ||
              std::stoull(queryValue(head.Target, "after_revision")) >
                  st.Version)) {
    replyFromStore(conn, 410, "");
  } else if (path == "/v1/rows-get") {
    replyFromStore(
        conn, 200,
        rowsResponse(st, queryValue(head.Target, "table"), 0).dump());
  } else if (path == "/v1/rows-feed") {
    const auto wait = std::chrono::milliseconds(
        std::stoll(queryValue(head.Target, "wait_ms")));
    st.PendingReads.push_back(
        {&conn, queryValue(head.Target, "table"),
         std::stoull(queryValue(head.Target, "after_revision")),
         st.Lp.Now + wait});
    answerPendingReads(st);
  } else {
    reply(conn, 404, "");
  }
}

/// The events with ids \p first to \p last.
std::string events(int first, int last) {
  std::string out;
  for (int n = first; n <= last; ++n)
    out += "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) +
           "\n\n";
  return out;
}

/// Sends the next event of a stream and arms the timer for the one after it.
void onEventTimer(void *ctx, Time now) {
  PortConnection &conn = *static_cast<PortConnection *>(ctx);
  std::string out;
  writeChunk(out, events(conn.NextEvent, conn.NextEvent));
  ++conn.NextEvent;
  if (conn.NextEvent > StreamEvents)
    out.append(LastChunk);
  else
    arm(conn.Port->Owner->Lp, conn.EventTimer,
        now + conn.Port->Owner->EventInterval);
  send(conn.Connection, out);
}

void serveStream(PortConnection &conn, const MessageHead &head,
                 const std::string &id) {
  std::string out;
  writeStatusLine(out, 200);
  writeField(out, "Zinniagauge-Attempt-Id", id);
  writeField(out, "Zinniagauge-Response-Seal", "seal");
  out.append(conn.Port->Asked);
  writeField(out, "Content-Type", "text/event-stream");
  writeField(out, "Transfer-Encoding", "chunked");
  out.append("\r\n");
  const auto after = findField(head.Fields, "Last-Event-Id");
  const int first = after ? std::stoi(std::string(*after)) + 1 : 1;
  if (conn.Port->Mode == "break") {
    writeChunk(out, events(first, first + 2) + "id: 99\nda");
    send(conn.Connection, out);
    closeAfterSending(conn.Connection);
    return;
  }
  if (conn.Port->Owner->EventInterval == Duration::zero() ||
      first > StreamEvents) {
    writeChunk(out, events(first, StreamEvents));
    send(conn.Connection, out.append(LastChunk));
    return;
  }
  send(conn.Connection, out);
  conn.NextEvent = first;
  conn.EventTimer.Fn = onEventTimer;
  conn.EventTimer.Ctx = &conn;
  onEventTimer(&conn, conn.Port->Owner->Lp.Now);
}

void onResponseTimer(void *ctx, Time /*now*/) {
  PortConnection &conn = *static_cast<PortConnection *>(ctx);
  send(conn.Connection, conn.DelayedResponse);
}

void serveEngine(PortConnection &conn, const MessageHead &head) {
  ConsortiumPort &p = *conn.Port;
  const std::string id(
      findField(head.Fields, "Zinniagauge-Attempt-Id").value_or(""));
  ++p.Arrivals;
  const bool answered =
      p.Mode != "silent" && p.Mode != "reset" && p.Mode != "slow";
  if (p.Owner->OnCall)
    p.Owner->OnCall({p.Engine, p.Mode != "not_run", answered,
                     answered ? p.Asked : std::string(), id, conn.Body});
  if (p.Mode == "not_run") {
    reply(conn, 503, "",
          {{"Zinniagauge-Attempt-Id", id}, {"Zinniagauge-Not-Run", "1"}});
    return;
  }
  ++p.Runs;
  if (conn.Body == DeadlyBody) {
    if (!p.CrashTimer.Hook.is_linked())
      arm(p.Owner->Lp, p.CrashTimer, p.Owner->Lp.Now + DeadlyCallTime);
    return;
  }
  if (p.Mode == "silent")
    return;
  if (p.Mode == "reset") {
    close(conn.Connection, true);
    return;
  }
  if (p.Mode == "fail") {
    reply(conn, 500, "broken",
          {{"Zinniagauge-Attempt-Id", id}, {"Zinniagauge-Response-Seal", "s"}});
    return;
  }
  if (head.Target.starts_with("/stream/")) {
    serveStream(conn, head, id);
    return;
  }
  const std::string workspace(
      findField(head.Fields, "Zinniagauge-Tenant-Name").value_or("none"));
  const bool key = findField(head.Fields, "Zinniagauge-Credential").has_value();
  std::string response = responseText(
      200,
      p.Mode == "large" ? std::string(LargeBodyBytes, 'x')
                        : "workspace " + workspace + (key ? " with key" : ""),
      {{"Zinniagauge-Attempt-Id", id}, {"Zinniagauge-Response-Seal", "s"}},
      p.Asked);
  if (p.Mode == "slow") {
    conn.DelayedResponse = std::move(response);
    conn.EventTimer.Fn = onResponseTimer;
    conn.EventTimer.Ctx = &conn;
    arm(p.Owner->Lp, conn.EventTimer, p.Owner->Lp.Now + SlowResponseDelay);
    return;
  }
  send(conn.Connection, response);
}

std::size_t onData(void *ctx, std::string_view part) {
  PortConnection &conn = *static_cast<PortConnection *>(ctx);
  if (!conn.Parser.State) {
    constexpr std::size_t MaxHeadBytes = 16384;
    beginMessage(conn.Parser, MessageKind::Request, MaxHeadBytes,
                 MaxHeadBytes * MaxHeadBytes);
    conn.Body.clear();
  }
  const std::size_t n = readMessage(conn.Parser, part, conn.Body);
  if (stateOf(conn.Parser) != ParseState::Done)
    return n;
  const MessageHead head = headOf(conn.Parser);
  conn.Parser.State.reset();
  if (conn.Port->Engine < 0)
    serveStore(*conn.Port->Owner, conn, head);
  else
    serveEngine(conn, head);
  return n;
}

void onEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  PortConnection &conn = *static_cast<PortConnection *>(ctx);
  Consortium &st = *conn.Port->Owner;
  disarm(st.Lp, conn.EventTimer);
  deleteLater(st.Lp, st.Connections.at(&conn));
  st.Connections.erase(&conn);
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  ConsortiumPort &p = *static_cast<ConsortiumPort *>(ctx);
  for (int fd = acceptFrom(p.Listener.Fd); fd >= 0;
       fd = acceptFrom(p.Listener.Fd)) {
    auto conn = std::make_shared<PortConnection>();
    conn->Port = &p;
    p.Owner->Connections.emplace(conn.get(), conn);
    adopt(conn->Connection, p.Owner->Lp, fd, Handlers, conn.get());
  }
}

/// Crashes a running engine: its connections are reset, and it takes none until
/// the timer fires again.
void onCrashTimer(void *ctx, Time now) {
  ConsortiumPort &p = *static_cast<ConsortiumPort *>(ctx);
  Loop &lp = p.Owner->Lp;
  if (p.Listener.Fd >= 0) {
    ++p.Crashes;
    unwatch(lp, p.Listener);
    ::close(p.Listener.Fd);
    p.Listener.Fd = -1;
    const auto connections = p.Owner->Connections;
    for (const auto &[ptr, conn] : connections)
      if (conn->Port == &p) {
        close(conn->Connection, true);
        onEnd(ptr, ConnectionEnd::Closed, 0);
      }
    arm(lp, p.CrashTimer, now + CrashDowntime);
    return;
  }
  handleResult([&] { return listenAt(p.Address); },
               [&](int fd) {
                 p.Listener.Fd = fd;
                 p.Listener.Fn = onAccept;
                 watch(lp, p.Listener, EPOLLIN);
                 return 0;
               },
               [&](const Error & /*err*/) {
                 arm(lp, p.CrashTimer, now + CrashDowntime);
                 return 0;
               });
}

Result<void> addPort(Consortium &st, const std::string &address, int engine) {
  auto p = std::make_unique<ConsortiumPort>();
  p->Address = parseAddress(address).value_or(PeerAddress{});
  BOOST_LEAF_AUTO(fd, listenAt(p->Address));
  p->Owner = &st;
  p->Engine = engine;
  p->CrashTimer.Fn = onCrashTimer;
  p->CrashTimer.Ctx = p.get();
  p->Listener.Fd = fd;
  p->Listener.Fn = onAccept;
  p->Listener.Ctx = p.get();
  watch(st.Lp, p->Listener, EPOLLIN);
  st.Ports.push_back(std::move(p));
  return {};
}

} // namespace

void putRow(Consortium &st, const json &row) {
  json stored = row;
  stored["schema_version"] = ++st.Version;
  st.Rows[{row.at("table"), row.at("key")}] = std::move(stored);
}

void dropRow(Consortium &st, const json &row) {
  putRow(st, {{"table", row.at("table")},
              {"part", ""},
              {"key", row.at("key")},
              {"deleted", true}});
}

StoreCopy copyStore(const Consortium &st, const std::string &without) {
  StoreCopy copy{st.Rows, st.Version};
  std::erase_if(copy.Rows,
                [&](const auto &row) { return row.first.first == without; });
  return copy;
}

void restoreStore(Consortium &st, const StoreCopy &copy) {
  st.Rows = copy.Rows;
  st.Version = copy.Version;
  ++st.Era;
  const auto pending = std::move(st.PendingReads);
  st.PendingReads.clear();
  for (const PendingRead &r : pending)
    if (st.Connections.contains(r.Reader))
      close(r.Reader->Connection, true);
}

Result<void> startConsortium(Consortium &st, const std::string &store,
                             const std::vector<std::string> &engines,
                             const std::string &narrowstore) {
  BOOST_LEAF_CHECK(addPort(st, store, -1));
  for (std::size_t n = 0; n < engines.size(); ++n)
    BOOST_LEAF_CHECK(addPort(st, engines[n], static_cast<int>(n)));
  if (!narrowstore.empty()) {
    BOOST_LEAF_CHECK(addPort(st, narrowstore, -1));
    st.Ports.back()->BytesPerSecond = NarrowLinkBytesPerSecond;
  }
  st.Timer.Fn = onTimer;
  st.Timer.Ctx = &st;
  onTimer(&st, st.Lp.Now);
  return {};
}

} // namespace zinniagauge::testing
