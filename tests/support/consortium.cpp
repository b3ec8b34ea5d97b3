#include "support/consortium.h"

#include <sys/epoll.h>

namespace zinniagauge::testing {

using nlohmann::json;

namespace {

void reply(Visitor &v, int status, std::string_view body,
           std::initializer_list<HeaderField> more = {}) {
  std::string out;
  writeStatusLine(out, status);
  for (const HeaderField &f : more)
    writeField(out, f.Name, f.Value);
  writeField(out, "Content-Length", std::uint64_t{body.size()});
  out.append("\r\n").append(body);
  send(v.Ch, out);
}

std::string queryOf(std::string_view target, std::string_view name) {
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

json answerRows(const Consortium &st, const std::string &table,
                std::uint64_t after) {
  json rows = json::array();
  for (const auto &[key, row] : st.Rows)
    if (key.first == table && row.at("schema_version") > after)
      rows.push_back(row);
  return {{"rows", rows},
          {"has_more", false},
          {"schema_version", st.Version},
          {"now_ms", monotonicNow().time_since_epoch().count() / 1'000'000}};
}

/// Answers calls that wait for a change, once there is one or time is over.
void answerWaits(Consortium &st) {
  std::erase_if(st.Waits, [&](const WaitingRead &w) {
    const json doc = answerRows(st, w.Table, w.After);
    if (doc.at("rows").empty() && st.Lp.Now < w.Due)
      return false;
    if (st.Visitors.contains(w.Who))
      reply(*w.Who, 200, doc.dump());
    return true;
  });
}

void onTimer(void *ctx, Time now) {
  Consortium &st = *static_cast<Consortium *>(ctx);
  answerWaits(st);
  arm(st.Lp, st.Timer, now + std::chrono::milliseconds(20));
}

void transact(Consortium &st, Visitor &v, const json &doc) {
  for (const json &cond : doc.at("expected_revision")) {
    const auto it = st.Rows.find({cond.at("table"), cond.at("key")});
    const std::uint64_t held =
        it == st.Rows.end()
            ? 0
            : it->second.at("schema_version").get<std::uint64_t>();
    if (held != cond.at("schema_version").get<std::uint64_t>()) {
      reply(v, 412, answerRows(st, cond.at("table"), 0).dump());
      return;
    }
  }
  for (const json &row : doc.at("writes"))
    putRow(st, row);
  if (st.Ports[0]->Mode == "lost") {
    close(v.Ch, true);
    return;
  }
  reply(v, 200, json{{"schema_version", st.Version}, {"now_ms", 1}}.dump());
}

/// Takes the test's own calls.
void control(Consortium &st, Visitor &v, const MessageHead &head) {
  if (head.Method == "POST") {
    const json doc = json::parse(v.Body);
    if (doc.contains("row"))
      putRow(st, doc.at("row"));
    else if (doc.contains("store"))
      st.Ports[0]->Mode = doc.at("store");
    else
      st.Ports.at(doc.at("engine").get<std::size_t>() + 1)->Mode =
          doc.at("mode");
    reply(v, 200, "{}");
    return;
  }
  json runs = json::array();
  for (const auto &p : st.Ports)
    if (p->Engine >= 0)
      runs.push_back({{"runs", p->Runs}, {"arrivals", p->Arrivals}});
  reply(v, 200, runs.dump());
}

void serveStore(Consortium &st, Visitor &v, const MessageHead &head) {
  const std::string_view path =
      std::string_view(head.Target).substr(0, head.Target.find('?'));
  if (path == "/stand-in") {
    control(st, v, head);
  } else if (st.Ports[0]->Mode == "silent") {
    return;
  } else if (st.Ports[0]->Mode == "busy") {
    reply(v, 503, "");
  } else if (path == "/v1/rows-tx") {
    transact(st, v, json::parse(v.Body));
  } else if (st.Ports[0]->Mode == "gone" && path == "/v1/rows-feed") {
    reply(v, 410, "");
  } else if (path == "/v1/rows-get") {
    reply(v, 200, answerRows(st, queryOf(head.Target, "table"), 0).dump());
  } else if (path == "/v1/rows-feed") {
    const auto wait =
        std::chrono::milliseconds(std::stoll(queryOf(head.Target, "wait_ms")));
    st.Waits.push_back({&v, queryOf(head.Target, "table"),
                        std::stoull(queryOf(head.Target, "after_revision")),
                        st.Lp.Now + wait});
    answerWaits(st);
  } else {
    reply(v, 404, "");
  }
}

/// Events from \p first to \p last.
std::string events(int first, int last) {
  std::string out;
  for (int n = first; n <= last; ++n)
    out += "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) +
           "\n\n";
  return out;
}

/// Sends the next event of a stream, and the rest in its time.
void onPace(void *ctx, Time now) {
  Visitor &v = *static_cast<Visitor *>(ctx);
  std::string out;
  writeChunk(out, events(v.NextEvent, v.NextEvent));
  ++v.NextEvent;
  if (v.NextEvent > StreamEvents)
    out.append(LastChunk);
  else
    arm(v.At->Owner->Lp, v.Pace, now + v.At->Owner->Pace);
  send(v.Ch, out);
}

void serveStream(Visitor &v, const MessageHead &head, const std::string &id) {
  std::string out;
  writeStatusLine(out, 200);
  writeField(out, "Zinniagauge-Attempt-Id", id);
  writeField(out, "Zinniagauge-Response-Seal", "seal");
  writeField(out, "Content-Type", "text/event-stream");
  writeField(out, "Transfer-Encoding", "chunked");
  out.append("\r\n");
  const auto after = findField(head.Fields, "Last-Event-Id");
  const int first = after ? std::stoi(std::string(*after)) + 1 : 1;
  if (v.At->Mode == "break") {
    writeChunk(out, events(first, first + 2) + "id: 99\nda");
    send(v.Ch, out);
    closeAfterSending(v.Ch);
    return;
  }
  if (v.At->Owner->Pace == Duration::zero() || first > StreamEvents) {
    writeChunk(out, events(first, StreamEvents));
    send(v.Ch, out.append(LastChunk));
    return;
  }
  send(v.Ch, out);
  v.NextEvent = first;
  v.Pace.Fn = onPace;
  v.Pace.Ctx = &v;
  onPace(&v, v.At->Owner->Lp.Now);
}

void serveEngine(Visitor &v, const MessageHead &head) {
  ConsortiumPort &p = *v.At;
  const std::string id(
      findField(head.Fields, "Zinniagauge-Attempt-Id").value_or(""));
  ++p.Arrivals;
  if (p.Owner->OnCall)
    p.Owner->OnCall({p.Engine, p.Mode != "not_run", id, v.Body});
  if (p.Mode == "not_run") {
    reply(v, 503, "",
          {{"Zinniagauge-Attempt-Id", id}, {"Zinniagauge-Not-Run", "1"}});
    return;
  }
  ++p.Runs;
  if (p.Mode == "silent")
    return;
  if (p.Mode == "reset") {
    close(v.Ch, true);
    return;
  }
  if (p.Mode == "fail") {
    reply(v, 500, "broken",
          {{"Zinniagauge-Attempt-Id", id}, {"Zinniagauge-Response-Seal", "s"}});
    return;
  }
  if (head.Target.starts_with("/stream/")) {
    serveStream(v, head, id);
    return;
  }
  const std::string workspace(
      findField(head.Fields, "Zinniagauge-Tenant-Name").value_or("none"));
  const bool key = findField(head.Fields, "Zinniagauge-Credential").has_value();
  reply(v, 200, "workspace " + workspace + (key ? " with key" : ""),
        {{"Zinniagauge-Attempt-Id", id}, {"Zinniagauge-Response-Seal", "s"}});
}

std::size_t onData(void *ctx, std::string_view part) {
  Visitor &v = *static_cast<Visitor *>(ctx);
  if (!v.Parser.State) {
    constexpr std::size_t MostHead = 16384;
    beginMessage(v.Parser, MessageKind::Request, MostHead, MostHead * MostHead);
    v.Body.clear();
  }
  const std::size_t n = readMessage(v.Parser, part, v.Body);
  if (stateOf(v.Parser) != ParseState::Done)
    return n;
  const MessageHead head = headOf(v.Parser);
  v.Parser.State.reset();
  if (v.At->Engine < 0)
    serveStore(*v.At->Owner, v, head);
  else
    serveEngine(v, head);
  return n;
}

void onEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  Visitor &v = *static_cast<Visitor *>(ctx);
  Consortium &st = *v.At->Owner;
  disarm(st.Lp, v.Pace);
  deleteLater(st.Lp, st.Visitors.at(&v));
  st.Visitors.erase(&v);
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  ConsortiumPort &p = *static_cast<ConsortiumPort *>(ctx);
  for (int fd = acceptFrom(p.Listener.Fd); fd >= 0;
       fd = acceptFrom(p.Listener.Fd)) {
    auto v = std::make_shared<Visitor>();
    v->At = &p;
    p.Owner->Visitors.emplace(v.get(), v);
    adopt(v->Ch, p.Owner->Lp, fd, Handlers, v.get());
  }
}

Result<void> addPort(Consortium &st, const std::string &address, int engine) {
  auto p = std::make_unique<ConsortiumPort>();
  BOOST_LEAF_AUTO(fd, listenAt(parseAddress(address).value_or(PeerAddress{})));
  p->Owner = &st;
  p->Engine = engine;
  p->Listener.Fd = fd;
  p->Listener.Fn = onAccept;
  p->Listener.Ctx = p.get();
  watch(st.Lp, p->Listener, EPOLLIN);
  st.Ports.push_back(std::move(p));
  return {};
}

} // namespace

void putRow(Consortium &st, const json &row) {
  json held = row;
  held["schema_version"] = ++st.Version;
  st.Rows[{row.at("table"), row.at("key")}] = std::move(held);
}

Result<void> startConsortium(Consortium &st, const std::string &store,
                             const std::vector<std::string> &engines) {
  BOOST_LEAF_CHECK(addPort(st, store, -1));
  for (std::size_t n = 0; n < engines.size(); ++n)
    BOOST_LEAF_CHECK(addPort(st, engines[n], static_cast<int>(n)));
  st.Timer.Fn = onTimer;
  st.Timer.Ctx = &st;
  onTimer(&st, st.Lp.Now);
  return {};
}

} // namespace zinniagauge::testing
