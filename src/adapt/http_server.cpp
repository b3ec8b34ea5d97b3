#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/adapt/mailbox.h"

#include <pistache/http.h>
#include <pistache/http_headers.h>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/transport.h>

#include <sys/socket.h>
#include <sys/timerfd.h>

#include <atomic>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace zinniagauge {

namespace http = Pistache::Http;

namespace {

/// The buffer size at which Pistache flushes a stream by itself. Each part is
/// flushed on its own, so this only bounds the size of one part.
constexpr std::size_t StreamBufferBytes = std::size_t{1} << 20U;

std::string_view methodName(http::Method m) { return http::methodString(m); }

HttpRequest readRequest(const http::Request &req, std::uint64_t connection) {
  HttpRequest out;
  out.Method = methodName(req.method());
  out.Path = req.resource();
  const std::string query = req.query().as_str();
  out.Query = query.empty() ? query : query.substr(1);
  out.Body = req.body();
  out.Connection = connection;
  for (const auto &it : req.headers().rawList())
    out.Headers.push_back({it.second.name(), it.second.value()});
  return out;
}

/// A typed Pistache header with any name and value. Pistache 0.0.5 omits raw
/// headers from responses and writes only typed ones.
class PlainHeader final : public http::Header::Header {
public:
  explicit PlainHeader(const HttpHeader &from) : NameAndValue(from) {}

  [[nodiscard]] const char *name() const override {
    return NameAndValue.Name.c_str();
  }
  void write(std::ostream &out) const override { out << NameAndValue.Value; }
  [[nodiscard]] std::uint64_t hash() const override { return 0; }

private:
  HttpHeader NameAndValue;
};

void addHeaders(http::Header::Collection &to,
                std::span<const HttpHeader> headers) {
  for (const HttpHeader &h : headers)
    to.add(std::make_shared<PlainHeader>(h));
}

/// Whether the connection stays open after the response. HTTP/1.1 keeps it
/// unless the request has "Connection: close", HTTP/1.0 only if
/// it has "Connection: keep-alive".
bool shouldKeepAlive(const http::Request &req) {
  const auto header = req.headers().tryGet<http::Header::Connection>();
  if (!header)
    return req.version() == http::Version::Http11;
  return header->control() == http::ConnectionControl::KeepAlive;
}

/// Replaces Pistache's Connection header. Pistache 0.0.5 sends
/// "Connection: Close" unless the request has "Connection: keep-alive", though
/// HTTP/1.1 keeps the connection open unless the request has
/// "Connection: close".
void setConnectionHeader(bool keepalive, http::Header::Collection &to) {
  to.remove<http::Header::Connection>();
  to.add(std::make_shared<PlainHeader>(
      HttpHeader{"Connection", keepalive ? "keep-alive" : "close"}));
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const noexcept {
  return findHeader(Headers, name);
}

namespace {

struct ResponseMessage;
using ResponseMailbox = Mailbox<ResponseMessage>;

/// The state of a caller's connection. Its transport and the responders of its
/// requests share ownership, since either may be destroyed first.
struct Connection {
  std::atomic<bool> Open{true};
  /// Requests whose response isn't complete yet.
  std::atomic<int> UnansweredRequests{0};
  // Only the transport's thread uses the members below.
  /// The time of the last request, or of the last check while a response was
  /// pending.
  Time LastActiveAt = monotonicNow();
  bool HasSentRequest = false;  // The caller has sent a complete request.
  bool HasSentContinue = false; // The server has sent 100 Continue.
  /// Functions that pass pipelined requests to the handler. A request waits
  /// here until the response before it is complete, since responses must be
  /// sent in the order of the requests.
  std::deque<std::function<void()>> QueuedRequests;
};

/// Records that a response on \p conn is complete and passes the next queued
/// request, if any, to the handler.
void onResponseComplete(Connection &conn) {
  conn.UnansweredRequests -= 1;
  if (conn.QueuedRequests.empty())
    return;
  const std::function<void()> next = std::move(conn.QueuedRequests.front());
  conn.QueuedRequests.pop_front();
  next();
}

} // namespace

struct HttpResponder::State {
  State(http::ResponseWriter w, std::shared_ptr<Connection> conn,
        std::shared_ptr<ResponseMailbox> outbox, bool keepalive)
      : Writer(std::move(w)), Conn(std::move(conn)), Outbox(std::move(outbox)),
        KeepsAlive(keepalive) {}

  // Only the transport's thread uses these.
  http::ResponseWriter Writer;
  std::optional<http::ResponseStream> Stream;
  // Any thread may use these.
  std::shared_ptr<Connection> Conn;
  std::shared_ptr<ResponseMailbox> Outbox;
  bool KeepsAlive; // Whether the connection stays open after the response.
};

namespace {

/// Sends a complete response.
struct SendResponse {
  std::unique_ptr<HttpResponder::State> St;
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Starts a streamed response. \p St is valid until EndStream, which owns it.
struct StartStream {
  HttpResponder::State *St = nullptr;
  int Status = 0;
  std::vector<HttpHeader> Headers;
};

/// Sends a part of a streamed response.
struct SendChunk {
  HttpResponder::State *St = nullptr;
  std::string Chunk;
};

/// Ends a streamed response. Closes the connection if the response is
/// incomplete or was never started.
struct EndStream {
  std::unique_ptr<HttpResponder::State> St;
  bool Complete = false;
};

/// A message from a responder to the transport of its connection.
struct ResponseMessage {
  std::variant<SendResponse, StartStream, SendChunk, EndStream> Action;
};

void closeConnection(http::ResponseWriter &writer) {
  if (const auto peer = writer.getPeer())
    ::shutdown(peer->fd(), SHUT_RDWR);
}

/// Closes the sending side of the connection once \p written is fulfilled.
void closeAfterWrite(Pistache::Async::Promise<ssize_t> written,
                     const std::shared_ptr<Pistache::Tcp::Peer> &peer) {
  written.then(
      [to = std::weak_ptr(peer)](ssize_t /*bytes*/) {
        if (const auto open = to.lock())
          ::shutdown(open->fd(), SHUT_WR);
      },
      [](const std::exception_ptr &) {});
}

void execute(SendResponse &msg) {
  http::ResponseWriter &writer = msg.St->Writer;
  addHeaders(writer.headers(), msg.Headers);
  auto written = writer.send(static_cast<http::Code>(msg.Status),
                             msg.Body.data(), msg.Body.size());
  onResponseComplete(*msg.St->Conn);
  if (!msg.St->KeepsAlive)
    closeAfterWrite(std::move(written), writer.getPeer());
}

void execute(StartStream &msg) {
  http::ResponseWriter &writer = msg.St->Writer;
  addHeaders(writer.headers(), msg.Headers);
  msg.St->Stream.emplace(
      writer.stream(static_cast<http::Code>(msg.Status), StreamBufferBytes));
  msg.St->Stream->flush();
}

void execute(SendChunk &msg) {
  if (!msg.St->Stream)
    return;
  msg.St->Stream->write(msg.Chunk.data(),
                        static_cast<std::streamsize>(msg.Chunk.size()));
  msg.St->Stream->flush();
}

void execute(EndStream &msg) {
  if (msg.Complete && msg.St->Stream)
    msg.St->Stream->ends();
  else
    closeConnection(msg.St->Writer);
  onResponseComplete(*msg.St->Conn);
}

/// Bounds on the time that a caller takes to send a request or stays idle.
struct ConnectionTimeouts {
  Duration Header = Duration::zero();
  Duration Body = Duration::zero();
  Duration KeepAlive = Duration::zero();
};

/// The interval between checks for timed-out connections, in seconds.
constexpr long TimeoutCheckSeconds = 1;

/// Pistache's transport with three corrections:
///
/// - Responses are written on the transport's own thread. Pistache queues a
///   write by its file descriptor, so a response queued by another thread after
///   its caller disconnected could reach a new caller with the same descriptor.
/// - Each event is handled separately, since Pistache 0.0.5 throws an exception
///   out of its thread when a caller disconnects in the middle of a response.
/// - A connection that waits for a response is never closed as idle.
class Transport final : public Pistache::Tcp::Transport {
public:
  Transport(const std::shared_ptr<Pistache::Tcp::Handler> &handler,
            ConnectionTimeouts timeouts)
      : Pistache::Tcp::Transport(handler), Handler(handler), Timeouts(timeouts),
        Outbox(std::make_shared<ResponseMailbox>()),
        TimerFd(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    const itimerspec interval{{TimeoutCheckSeconds, 0},
                              {TimeoutCheckSeconds, 0}};
    ::timerfd_settime(TimerFd, 0, &interval, nullptr);
  }
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;
  ~Transport() override { ::close(TimerFd); }

  [[nodiscard]] std::shared_ptr<Pistache::Aio::Handler> clone() const override {
    return std::make_shared<Transport>(Handler->clone(), Timeouts);
  }

  void registerPoller(Pistache::Polling::Epoll &poller) override {
    Pistache::Tcp::Transport::registerPoller(poller);
    addToPoller(poller, Outbox->fd());
    addToPoller(poller, TimerFd);
  }

  void onReady(const Pistache::Aio::FdSet &fds) override;

  /// Records that \p peer has sent a complete request; returns its connection.
  std::shared_ptr<Connection> onRequestReceived(Pistache::Tcp::Peer &peer);

  /// Removes the connection of \p peer, which has closed.
  void onClosed(Pistache::Tcp::Peer &peer);

  [[nodiscard]] const std::shared_ptr<ResponseMailbox> &
  outbox() const noexcept {
    return Outbox;
  }

private:
  static void addToPoller(Pistache::Polling::Epoll &poller, int fd) {
    using Pistache::Polling::NotifyOn;
    poller.addFd(fd, Pistache::Flags<NotifyOn>(NotifyOn::Read),
                 Pistache::Polling::Tag(static_cast<std::uint64_t>(fd)));
  }
  static void executeMessage(ResponseMessage &msg);
  void handleEvent(const Pistache::Aio::FdSet::Entry &entry);
  std::shared_ptr<Connection> &connectionOf(int fd);
  void sendContinue(int fd);
  void rejectSlowRequest(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
  void closeTimedOutConnections();
  [[nodiscard]] bool
  hasTimedOut(const std::shared_ptr<Pistache::Tcp::Peer> &peer,
              Connection &conn, Time now) const;

  std::shared_ptr<Pistache::Tcp::Handler> Handler; // Shared with Pistache.
  ConnectionTimeouts Timeouts;
  std::shared_ptr<ResponseMailbox> Outbox;
  int TimerFd;
  std::unordered_map<int, std::shared_ptr<Connection>> Connections;
};

void Transport::onReady(const Pistache::Aio::FdSet &fds) {
  for (const auto &entry : fds) {
    const auto fd = static_cast<int>(entry.getTag().value());
    if (fd == Outbox->fd()) {
      Outbox->takeAll(
          [](std::unique_ptr<ResponseMessage> msg) { executeMessage(*msg); });
      flush();
    } else if (fd == TimerFd) {
      closeTimedOutConnections();
    } else {
      handleEvent(entry);
    }
  }
}

void Transport::handleEvent(const Pistache::Aio::FdSet::Entry &entry) {
  using Pistache::Polling::NotifyOn;
  Pistache::Polling::Event ev(entry.getTag());
  if (entry.isReadable())
    ev.flags.setFlag(NotifyOn::Read);
  if (entry.isWritable())
    ev.flags.setFlag(NotifyOn::Write);
  if (entry.isHangup())
    ev.flags.setFlag(NotifyOn::Hangup);
  std::vector<Pistache::Polling::Event> events;
  events.push_back(ev);
  try {
    Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet(std::move(events)));
    if (entry.isReadable())
      sendContinue(static_cast<int>(entry.getTag().value()));
  } catch (const std::exception &) {
    // The caller disconnected in the middle of a response: nothing to do.
  }
}

void Transport::sendContinue(int fd) {
  constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto it = peers.find(fd);
  if (it == peers.end())
    return;
  const auto parser = http::Handler::getParser(it->second);
  if (parser->step()->id() != http::Private::BodyStep::Id)
    return;
  Connection &conn = *connectionOf(fd);
  if (conn.HasSentContinue ||
      !parser->request.headers().has<http::Header::Expect>())
    return;
  conn.HasSentContinue = true;
  asyncWrite(fd, Pistache::RawBuffer(std::string(ContinueResponse),
                                     ContinueResponse.size()));
  flush();
}

void Transport::executeMessage(ResponseMessage &msg) {
  try {
    std::visit([](auto &m) { execute(m); }, msg.Action);
  } catch (const std::exception &) {
    // The caller has disconnected, so no error can be sent to it.
  }
}

std::shared_ptr<Connection> &Transport::connectionOf(int fd) {
  std::shared_ptr<Connection> &conn = Connections[fd];
  if (!conn)
    conn = std::make_shared<Connection>();
  return conn;
}

std::shared_ptr<Connection>
Transport::onRequestReceived(Pistache::Tcp::Peer &peer) {
  std::shared_ptr<Connection> &conn = connectionOf(peer.fd());
  conn->UnansweredRequests += 1;
  conn->HasSentRequest = true;
  conn->HasSentContinue = false;
  conn->LastActiveAt = monotonicNow();
  return conn;
}

void Transport::onClosed(Pistache::Tcp::Peer &peer) {
  const auto it = Connections.find(peer.fd());
  if (it == Connections.end())
    return;
  const std::shared_ptr<Connection> conn = std::move(it->second);
  Connections.erase(it);
  conn->Open = false;
  // The queued requests share ownership of the connection, so the queue must be
  // cleared to break the cycle.
  const auto unserved = std::move(conn->QueuedRequests);
  conn->QueuedRequests.clear();
}

bool Transport::hasTimedOut(const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                            Connection &conn, Time now) const {
  namespace impl = http::Private;
  const auto id = http::Handler::getParser(peer)->step()->id();
  const Duration waited = now - conn.LastActiveAt;
  if (id == impl::BodyStep::Id)
    return waited > Timeouts.Header + Timeouts.Body;
  if (id == impl::HeadersStep::Id || !conn.HasSentRequest)
    return waited > Timeouts.Header;
  return waited > Timeouts.KeepAlive;
}

void Transport::closeTimedOutConnections() {
  std::uint64_t expirations = 0;
  [[maybe_unused]] const auto n =
      ::read(TimerFd, &expirations, sizeof(expirations));
  const Time now = monotonicNow();
  for (const auto &it : peers) {
    Connection &conn = *connectionOf(it.first);
    if (conn.UnansweredRequests > 0)
      conn.LastActiveAt = now;
    else if (hasTimedOut(it.second, conn, now))
      rejectSlowRequest(it.second);
  }
  flush();
}

void Transport::rejectSlowRequest(
    const std::shared_ptr<Pistache::Tcp::Peer> &peer) {
  const auto id = http::Handler::getParser(peer)->step()->id();
  if (id == http::Private::RequestLineStep::Id) {
    ::shutdown(peer->fd(), SHUT_RDWR);
    return;
  }
  http::ResponseWriter writer(http::Version::Http11, this,
                              static_cast<http::Handler *>(Handler.get()),
                              peer);
  setConnectionHeader(false, writer.headers());
  closeAfterWrite(writer.send(http::Code::Request_Timeout), peer);
}

} // namespace

HttpResponder::HttpResponder(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
HttpResponder::HttpResponder(HttpResponder &&) noexcept = default;

HttpResponder &HttpResponder::operator=(HttpResponder &&from) noexcept {
  std::swap(St, from.St);
  return *this;
}

HttpResponder::~HttpResponder() {
  if (St)
    abort();
}

namespace {

template <typename T> void post(ResponseMailbox &outbox, T msg) {
  auto owned = std::make_unique<ResponseMessage>();
  owned->Action = std::move(msg);
  outbox.post(std::move(owned));
}

boost::leaf::error_id callerDisconnected() {
  return fail({ErrorCode::Disconnected,
               Step::WriteResponse,
               {},
               "the caller has left"});
}

} // namespace

void HttpResponder::send(int status, std::span<const HttpHeader> headers,
                         std::string_view body) {
  const std::shared_ptr<ResponseMailbox> outbox = St->Outbox;
  post(*outbox, SendResponse{std::move(St),
                             status,
                             {headers.begin(), headers.end()},
                             std::string(body)});
}

Result<void> HttpResponder::start(int status,
                                  std::span<const HttpHeader> headers) {
  if (!St->Conn->Open)
    return callerDisconnected();
  post(*St->Outbox,
       StartStream{St.get(), status, {headers.begin(), headers.end()}});
  return {};
}

Result<void> HttpResponder::write(std::string_view part) {
  if (!St->Conn->Open)
    return callerDisconnected();
  post(*St->Outbox, SendChunk{St.get(), std::string(part)});
  return {};
}

void HttpResponder::end() {
  const std::shared_ptr<ResponseMailbox> outbox = St->Outbox;
  post(*outbox, EndStream{std::move(St), true});
}

void HttpResponder::abort() {
  const std::shared_ptr<ResponseMailbox> outbox = St->Outbox;
  post(*outbox, EndStream{std::move(St), false});
}

namespace {

class PistacheHandler final : public http::Handler {
public:
  HTTP_PROTOTYPE(PistacheHandler)

  explicit PistacheHandler(HttpHandlers handlers)
      : Handlers(std::move(handlers)) {}

  void onRequest(const http::Request &req,
                 http::ResponseWriter writer) override {
    const bool keepalive = shouldKeepAlive(req);
    setConnectionHeader(keepalive, writer.headers());
    const auto peer = writer.getPeer();
    if (!peer)
      return;
    Transport &tr = servingTransport();
    auto conn = tr.onRequestReceived(*peer);
    auto st = std::make_unique<HttpResponder::State>(std::move(writer), conn,
                                                     tr.outbox(), keepalive);
    HttpRequest request = readRequest(req, peer->getID());
    if (conn->UnansweredRequests == 1)
      Handlers.OnRequest(std::move(request), HttpResponder(std::move(st)));
    else
      conn->QueuedRequests.push_back(
          queuedRequest(std::move(request), std::move(st)));
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override {
    servingTransport().onClosed(*peer);
    if (Handlers.OnDisconnect)
      Handlers.OnDisconnect(peer->getID());
  }

private:
  /// Returns a function that passes the request to the handler. std::function
  /// requires a copyable callable though it is never copied here, so the
  /// request and its responder, which can't be copied, are held by a shared
  /// pointer.
  std::function<void()>
  queuedRequest(HttpRequest request, std::unique_ptr<HttpResponder::State> st) {
    auto queued = std::make_shared<std::pair<HttpRequest, HttpResponder>>(
        std::move(request), HttpResponder(std::move(st)));
    return [this, queued] {
      Handlers.OnRequest(std::move(queued->first), std::move(queued->second));
    };
  }

  Transport &servingTransport() {
    return *static_cast<Transport *>(transport());
  }

  HttpHandlers Handlers;
};

ConnectionTimeouts timeoutsOf(const HttpServerOptions &opt) noexcept {
  return {opt.HeaderTimeout, opt.BodyTimeout, opt.KeepAliveTimeout};
}

/// The maximum number of connections that wait to be accepted.
constexpr int Backlog = 1024;
constexpr std::size_t MaxResponseBytes = std::size_t{1} << 30U;

} // namespace

struct HttpServer::State {
  State() = default;
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() {
    if (Listening)
      Listener.shutdown();
  }

  Pistache::Tcp::Listener Listener;
  bool Listening = false;
};

HttpServer::HttpServer(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer &HttpServer::operator=(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() = default;

Result<HttpServer> HttpServer::start(const HttpServerOptions &opt,
                                     HttpHandlers handlers) {
  using Pistache::Tcp::Options;
  const std::string name = opt.Host + ":" + std::to_string(opt.Port);
  try {
    auto handler = std::make_shared<PistacheHandler>(std::move(handlers));
    handler->setMaxRequestSize(opt.MaxBodyBytes);
    handler->setMaxResponseSize(MaxResponseBytes);
    auto st = std::make_unique<State>();
    st->Listener.init(static_cast<std::size_t>(opt.Threads),
                      Pistache::Flags<Options>(Options::ReuseAddr) |
                          Options::NoDelay,
                      "", Backlog);
    st->Listener.setHandler(handler);
    st->Listener.setTransportFactory([handler, timeouts = timeoutsOf(opt)] {
      return std::make_shared<Transport>(handler, timeouts);
    });
    st->Listener.bind(Pistache::Address(opt.Host, Pistache::Port(opt.Port)));
    st->Listener.runThreaded();
    st->Listening = true;
    return HttpServer(std::move(st));
  } catch (const std::exception &ex) {
    return fail({ErrorCode::Unavailable, Step::Connect, name, ex.what()});
  }
}

std::uint16_t HttpServer::port() const noexcept {
  return static_cast<std::uint16_t>(St->Listener.getPort());
}

} // namespace zinniagauge
