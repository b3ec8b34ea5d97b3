#include "zinniagauge/adapt/http_server.h"

#include "http_connection.h"

#include "zinniagauge/time/timer_service.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/http_headers.h>
#include <pistache/peer.h>

#include <fcntl.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace zinniagauge {

namespace http = Pistache::Http;

using impl::ArrivedRequest;
using impl::ConnectionPhase;
using impl::HttpConnection;
using impl::HttpKeeper;
using impl::KeeperMessage;
using impl::ReadPhase;

namespace {

/// Pistache's own timeouts are set out of reach, because they also end requests
/// that run; the keeper enforces ours.
constexpr Duration Never = std::chrono::hours(24 * 365);

constexpr Duration LongestSweep = std::chrono::seconds(1);
constexpr Duration ShortestSweep = std::chrono::milliseconds(20);

/// What the threads and replies of one server share. Replies may outlive the
/// server.
struct Hub {
  Hub(const HttpServerOptions &opt, HttpHandlers handlers)
      : Handlers(std::move(handlers)), Keeper(opt) {}

  const HttpHandlers Handlers;
  HttpKeeper Keeper;
  std::atomic<bool> Stopped{false};
};

ArrivedRequest readRequest(const http::Request &req, std::uint64_t id) {
  ArrivedRequest out;
  HttpRequest &to = out.Request;
  to.Method = http::methodString(req.method());
  to.Path = req.resource();
  const std::string query = req.query().as_str();
  to.Query = query.empty() ? query : query.substr(1);
  to.Body = req.body();
  to.Connection = id;
  for (const auto &it : req.headers().rawList())
    to.Headers.push_back({it.second.name(), it.second.value()});
  out.Chunks = req.version() == http::Version::Http11;
  const auto conn = req.headers().tryGet<http::Header::Connection>();
  out.KeepOpen = out.Chunks;
  if (conn && conn->control() == http::ConnectionControl::Close)
    out.KeepOpen = false;
  return out;
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const noexcept {
  for (const HttpHeader &h : Headers)
    if (h.Name.size() == name.size() &&
        ::strncasecmp(h.Name.data(), name.data(), name.size()) == 0)
      return h.Value;
  return {};
}

struct HttpReply::State {
  std::shared_ptr<HttpConnection> Connection;
  std::shared_ptr<Hub> Server;
  bool KeepOpen = true;
  bool Chunks = true;
  bool HeadOnly = false;
  int Status = 0;
  std::vector<HttpHeader> Headers; // Kept for an answer that can't be chunked.
  std::string Parts;               // Likewise.
  bool Done = false;

  [[nodiscard]] bool keepOpen() const {
    return KeepOpen && !Connection->CloseAfter.load();
  }
  bool write(std::string_view bytes) {
    return impl::writeTo(Connection, Server->Keeper, bytes);
  }
  void sendWhole(int status, std::span<const HttpHeader> headers,
                 std::string_view body);
  void finish(bool keepopen);
  void abort();
};

namespace {

void deliver(const std::shared_ptr<Hub> &hub,
             const std::shared_ptr<HttpConnection> &conn, ArrivedRequest req) {
  if (hub->Stopped.load())
    return;
  auto st = std::make_unique<HttpReply::State>();
  st->Connection = conn;
  st->Server = hub;
  st->KeepOpen = req.KeepOpen;
  st->Chunks = req.Chunks;
  st->HeadOnly = req.Request.Method == "HEAD";
  hub->Handlers.OnRequest(std::move(req.Request), HttpReply(std::move(st)));
}

/// Hands over a request that has arrived whole, or keeps it until the one that
/// runs has ended.
void accept(const std::shared_ptr<Hub> &hub,
            const std::shared_ptr<HttpConnection> &conn, ArrivedRequest req) {
  impl::touch(*conn);
  auto idle = ConnectionPhase::Idle;
  if (conn->Phase.compare_exchange_strong(idle, ConnectionPhase::Running)) {
    deliver(hub, conn, std::move(req));
    return;
  }
  conn->Next = std::move(req);
  auto running = ConnectionPhase::Running;
  if (conn->Phase.compare_exchange_strong(running, ConnectionPhase::NextHeld))
    return;
  idle = ConnectionPhase::Idle;
  if (conn->Phase.compare_exchange_strong(idle, ConnectionPhase::Running))
    deliver(hub, conn, *std::exchange(conn->Next, std::nullopt));
}

std::string chunkOf(std::string_view part) {
  std::array<char, 20> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
  std::string chunk(size.data(), static_cast<std::size_t>(n));
  return chunk.append(part).append("\r\n");
}

} // namespace

void HttpReply::State::sendWhole(int status,
                                 std::span<const HttpHeader> headers,
                                 std::string_view body) {
  const bool keep = keepOpen();
  std::string text = impl::answerHead(status, headers, keep, body.size());
  if (!HeadOnly)
    text += body;
  write(text);
  finish(keep);
}

void HttpReply::State::finish(bool keepopen) {
  Done = true;
  if (!keepopen) {
    Connection->Phase.store(ConnectionPhase::Refused);
    impl::touch(*Connection);
    impl::endAfterWrites(Connection, Server->Keeper);
    return;
  }
  impl::touch(*Connection);
  auto running = ConnectionPhase::Running;
  if (Connection->Phase.compare_exchange_strong(running, ConnectionPhase::Idle))
    return;
  ArrivedRequest next = *std::exchange(Connection->Next, std::nullopt);
  Connection->Phase.store(ConnectionPhase::Running);
  deliver(Server, Connection, std::move(next));
}

void HttpReply::State::abort() {
  Done = true;
  Connection->Phase.store(ConnectionPhase::Refused);
  impl::touch(*Connection);
  impl::cut(*Connection);
}

HttpReply::HttpReply(std::unique_ptr<State> st) noexcept : St(std::move(st)) {}
HttpReply::HttpReply(HttpReply &&) noexcept = default;
HttpReply &HttpReply::operator=(HttpReply &&other) noexcept {
  std::swap(St, other.St);
  return *this;
}

HttpReply::~HttpReply() {
  if (St && !St->Done)
    St->abort();
}

void HttpReply::send(int status, std::span<const HttpHeader> headers,
                     std::string_view body) {
  St->sendWhole(status, headers, body);
}

Result<void> HttpReply::start(int status, std::span<const HttpHeader> headers) {
  St->Status = status;
  if (!St->Chunks) {
    St->Headers.assign(headers.begin(), headers.end());
    return {};
  }
  St->KeepOpen = St->keepOpen();
  if (!St->write(impl::answerHead(status, headers, St->KeepOpen, {})))
    return fail({ErrorCode::Gone, Step::Reply, {}, "the caller has left"});
  return {};
}

Result<void> HttpReply::write(std::string_view part) {
  if (part.empty() || St->HeadOnly)
    return {};
  if (!St->Chunks)
    St->Parts += part;
  else if (!St->write(chunkOf(part)))
    return fail({ErrorCode::Gone, Step::Reply, {}, "the caller has left"});
  return {};
}

void HttpReply::end() {
  if (!St->Chunks) {
    St->sendWhole(St->Status, St->Headers, St->Parts);
    return;
  }
  if (!St->HeadOnly)
    St->write("0\r\n\r\n");
  St->finish(St->KeepOpen);
}

void HttpReply::abort() { St->abort(); }

namespace {

/// Takes what Pistache accepted and read, and parses it by Pistache's parser.
class Bridge final : public http::Handler {
public:
  HTTP_PROTOTYPE(Bridge)

  Bridge(std::shared_ptr<Hub> hub, std::size_t max)
      : Server(std::move(hub)), MaxBytes(max) {}

  void onRequest(const http::Request &, http::ResponseWriter) override {
    // Never called: onInput hands requests over itself.
  }

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override {
    const int own = ::fcntl(peer->fd(), F_DUPFD_CLOEXEC, 0);
    auto conn = std::make_shared<HttpConnection>(own, peer->getID(), MaxBytes);
    // Pistache's own sweep looks for this one.
    peer->putData(ParserData, std::make_shared<http::RequestParser>(0));
    peer->putData(ConnectionData, conn);
    Server->Keeper.post({KeeperMessage::Kind::Watch, std::move(conn), {}});
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override {
    const auto conn = connectionOf(peer);
    conn->Gone.store(true);
    impl::cut(*conn);
    if (Server->Handlers.OnGone && !Server->Stopped.load())
      Server->Handlers.OnGone(peer->getID());
  }

  void onInput(const char *buffer, std::size_t len,
               const std::shared_ptr<Pistache::Tcp::Peer> &peer) override {
    const auto conn = connectionOf(peer);
    const ConnectionPhase phase = conn->Phase.load();
    if (phase == ConnectionPhase::Refused)
      return;
    if (phase == ConnectionPhase::NextHeld) {
      conn->CloseAfter.store(true);
      return;
    }
    try {
      read(conn, {buffer, len});
    } catch (const http::HttpError &ex) {
      impl::refuse(conn, Server->Keeper, ex.code(), ex.reason());
    } catch (const std::exception &ex) {
      impl::refuse(conn, Server->Keeper, 400, ex.what());
    }
  }

private:
  static constexpr const char *ConnectionData = "zinnia";

  static std::shared_ptr<HttpConnection>
  connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer) {
    return std::static_pointer_cast<HttpConnection>(
        peer->getData(ConnectionData));
  }

  static void setRead(HttpConnection &conn, ReadPhase read) {
    if (conn.Read.exchange(read) != read)
      impl::touch(conn);
  }

  void read(const std::shared_ptr<HttpConnection> &conn,
            std::string_view bytes) {
    using http::Private::State;
    if (conn->Read.load() == ReadPhase::Nothing)
      setRead(*conn, ReadPhase::Headers);
    if (!conn->Parser.feed(bytes.data(), bytes.size()))
      throw http::HttpError(http::Code::Request_Entity_Too_Large,
                            "the request is larger than " +
                                std::to_string(MaxBytes) + " bytes");
    if (conn->Parser.parse() != State::Done) {
      readOn(conn);
      return;
    }
    ArrivedRequest req = readRequest(conn->Parser.request, conn->Id);
    conn->Parser.reset();
    conn->Continued = false;
    setRead(*conn, ReadPhase::Nothing);
    accept(Server, conn, std::move(req));
  }

  /// A part of a request has arrived; more must come.
  void readOn(const std::shared_ptr<HttpConnection> &conn) {
    if (conn->Parser.step()->id() != http::Private::BodyStep::Id)
      return;
    setRead(*conn, ReadPhase::Body);
    const auto expect =
        conn->Parser.request.headers().tryGet<http::Header::Expect>();
    if (conn->Continued || !expect ||
        conn->Phase.load() != ConnectionPhase::Idle)
      return;
    conn->Continued = true;
    impl::writeTo(conn, Server->Keeper, "HTTP/1.1 100 Continue\r\n\r\n");
  }

  std::shared_ptr<Hub> Server;
  std::size_t MaxBytes;
};

http::Endpoint::Options endpointOptions(const HttpServerOptions &opt) {
  return http::Endpoint::options()
      .threads(opt.Threads)
      .flags(Pistache::Tcp::Options::ReuseAddr |
             Pistache::Tcp::Options::NoDelay)
      .backlog(1024)
      .maxRequestSize(opt.MaxBodyBytes)
      .headerTimeout(Never)
      .bodyTimeout(Never)
      .keepaliveTimeout(Never);
}

Duration sweepPeriod(const HttpServerOptions &opt) {
  const Duration least =
      std::min({opt.HeaderTimeout, opt.BodyTimeout, opt.KeepAlive});
  return std::clamp(least / 4, ShortestSweep, LongestSweep);
}

} // namespace

struct HttpServer::State {
  State(const Pistache::Address &addr, const HttpServerOptions &opt,
        HttpHandlers handlers)
      : Server(std::make_shared<Hub>(opt, std::move(handlers))),
        Endpoint(addr) {}
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() {
    Server->Stopped.store(true);
    Endpoint.shutdown();
    Server->Keeper.stop();
  }

  std::shared_ptr<Hub> Server;
  http::Endpoint Endpoint;
  TimerService Timers;
};

HttpServer::HttpServer(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer &HttpServer::operator=(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() = default;

Result<HttpServer> HttpServer::start(const HttpServerOptions &opt,
                                     HttpHandlers handlers) {
  const std::string name = opt.Host + ":" + std::to_string(opt.Port);
  try {
    const Pistache::Address addr(opt.Host, Pistache::Port(opt.Port));
    auto st = std::make_unique<State>(addr, opt, std::move(handlers));
    st->Endpoint.init(endpointOptions(opt));
    st->Endpoint.setHandler(
        std::make_shared<Bridge>(st->Server, opt.MaxBodyBytes));
    st->Endpoint.serveThreaded();
    Hub &hub = *st->Server;
    st->Timers.every(sweepPeriod(opt), [&hub](Time) {
      hub.Keeper.post({KeeperMessage::Kind::Sweep, {}, {}});
    });
    return HttpServer(std::move(st));
  } catch (const std::exception &ex) {
    return fail({ErrorCode::Unavailable, Step::Connect, name, ex.what()});
  }
}

std::uint16_t HttpServer::port() const noexcept {
  return static_cast<std::uint16_t>(St->Endpoint.getPort());
}

} // namespace zinniagauge
