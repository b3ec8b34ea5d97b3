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

/// The size at which Pistache flushes a stream by itself; parts are flushed one
/// by one, so it only bounds a single part.
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

/// Any header of an answer. Pistache 0.0.5 leaves raw headers out of answers
/// and writes only typed ones.
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

/// Whether the caller keeps the connection after the answer: HTTP/1.1 does
/// unless it says close, HTTP/1.0 only if it says keep-alive.
bool wantsKeepAlive(const http::Request &req) {
  const auto said = req.headers().tryGet<http::Header::Connection>();
  if (!said)
    return req.version() == http::Version::Http11;
  return said->control() == http::ConnectionControl::KeepAlive;
}

/// Pistache 0.0.5 answers "Connection: Close" unless the caller asked to keep
/// the connection, though HTTP/1.1 keeps it unless the caller asks to close.
void setConnectionHeader(bool stays, http::Header::Collection &to) {
  to.remove<http::Header::Connection>();
  to.add(std::make_shared<PlainHeader>(
      HttpHeader{"Connection", stays ? "keep-alive" : "close"}));
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const noexcept {
  return findHeader(Headers, name);
}

namespace {

struct ResponseMessage;
using ResponseMailbox = Mailbox<ResponseMessage>;

/// One caller's connection. Its transport's thread and the replies to it share
/// it, since either may end first.
struct Connection {
  std::atomic<bool> Open{true};
  std::atomic<int> UnansweredRequests{
      0}; // Requests that have no whole answer yet.
  // The rest belongs to the transport's thread.
  Time LastActiveAt = monotonicNow(); // When it was last known to be active.
  bool HasSentRequest = false;        // It has sent a whole request.
  bool HasSentContinue = false;       // It was told to go on with the body.
  // Hands on a request that came before the last answer's end: answers leave a
  // connection in the order of its requests.
  std::deque<std::function<void()>> QueuedRequests;
};

/// A request of \p conn has its whole answer: the next one's turn.
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
        std::shared_ptr<ResponseMailbox> box, bool stays)
      : Writer(std::move(w)), Conn(std::move(conn)), Outbox(std::move(box)),
        KeepsAlive(stays) {}

  // Used on the transport's thread only.
  http::ResponseWriter Writer;
  std::optional<http::ResponseStream> Stream;
  // Used on any thread.
  std::shared_ptr<Connection> Conn;
  std::shared_ptr<ResponseMailbox> Outbox;
  bool KeepsAlive; // The connection, after the answer.
};

namespace {

/// Send a whole answer.
struct SendResponse {
  std::unique_ptr<HttpResponder::State> St;
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Start a streamed answer. \p St lives until EndStream takes it over.
struct StartStream {
  HttpResponder::State *St = nullptr;
  int Status = 0;
  std::vector<HttpHeader> Headers;
};

/// Send a part of a streamed answer.
struct SendChunk {
  HttpResponder::State *St = nullptr;
  std::string Chunk;
};

/// End a streamed answer, or one that was never given.
struct EndStream {
  std::unique_ptr<HttpResponder::State> St;
  bool Whole = false;
};

/// What replies tell the transport that serves their connection.
struct ResponseMessage {
  std::variant<SendResponse, StartStream, SendChunk, EndStream> What;
};

void close(http::ResponseWriter &writer) {
  if (const auto peer = writer.getPeer())
    ::shutdown(peer->fd(), SHUT_RDWR);
}

/// Closes the connection once \p written is on its way.
void closeAfterWrite(Pistache::Async::Promise<ssize_t> written,
                     const std::shared_ptr<Pistache::Tcp::Peer> &peer) {
  written.then(
      [to = std::weak_ptr(peer)](ssize_t /*bytes*/) {
        if (const auto left = to.lock())
          ::shutdown(left->fd(), SHUT_WR);
      },
      [](const std::exception_ptr &) {});
}

void carryOut(SendResponse &msg) {
  http::ResponseWriter &writer = msg.St->Writer;
  addHeaders(writer.headers(), msg.Headers);
  auto written = writer.send(static_cast<http::Code>(msg.Status),
                             msg.Body.data(), msg.Body.size());
  onResponseComplete(*msg.St->Conn);
  if (!msg.St->KeepsAlive)
    closeAfterWrite(std::move(written), writer.getPeer());
}

void carryOut(StartStream &msg) {
  http::ResponseWriter &writer = msg.St->Writer;
  addHeaders(writer.headers(), msg.Headers);
  msg.St->Stream.emplace(
      writer.stream(static_cast<http::Code>(msg.Status), StreamBufferBytes));
  msg.St->Stream->flush();
}

void carryOut(SendChunk &msg) {
  if (!msg.St->Stream)
    return;
  msg.St->Stream->write(msg.Chunk.data(),
                        static_cast<std::streamsize>(msg.Chunk.size()));
  msg.St->Stream->flush();
}

void carryOut(EndStream &msg) {
  if (msg.Whole && msg.St->Stream)
    msg.St->Stream->ends();
  else
    close(msg.St->Writer);
  onResponseComplete(*msg.St->Conn);
}

/// Bounds on what a caller may keep waiting.
struct CallerTimeouts {
  Duration Header = Duration::zero();
  Duration Body = Duration::zero();
  Duration KeepAlive = Duration::zero();
};

/// How often connections are looked through for silent callers, in seconds.
constexpr long SweepSeconds = 1;

/// Pistache's transport, mended in three points. Answers are written on the
/// transport's own thread: from another one, an answer could be queued by file
/// descriptor for a caller who has left and reach the next one, who got the
/// same number. Each event is handled by itself, since Pistache 0.0.5 throws
/// out of its thread when a caller leaves in mid-answer. And a caller who waits
/// for an answer is never taken for an idle one.
class Transport final : public Pistache::Tcp::Transport {
public:
  Transport(const std::shared_ptr<Pistache::Tcp::Handler> &handler,
            CallerTimeouts limits)
      : Pistache::Tcp::Transport(handler), Handler(handler), Timeouts(limits),
        Outbox(std::make_shared<ResponseMailbox>()),
        Timer(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    const itimerspec every{{SweepSeconds, 0}, {SweepSeconds, 0}};
    ::timerfd_settime(Timer, 0, &every, nullptr);
  }
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;
  ~Transport() override { ::close(Timer); }

  [[nodiscard]] std::shared_ptr<Pistache::Aio::Handler> clone() const override {
    return std::make_shared<Transport>(Handler->clone(), Timeouts);
  }

  void registerPoller(Pistache::Polling::Epoll &poller) override {
    Pistache::Tcp::Transport::registerPoller(poller);
    addToPoller(poller, Outbox->fd());
    addToPoller(poller, Timer);
  }

  void onReady(const Pistache::Aio::FdSet &fds) override;

  /// The connection of \p peer, which has just sent a whole request.
  std::shared_ptr<Connection> onWholeRequest(Pistache::Tcp::Peer &peer);

  /// The peer's connection has closed.
  void onClosed(Pistache::Tcp::Peer &peer);

  [[nodiscard]] const std::shared_ptr<ResponseMailbox> &box() const noexcept {
    return Outbox;
  }

private:
  static void addToPoller(Pistache::Polling::Epoll &poller, int fd) {
    using Pistache::Polling::NotifyOn;
    poller.addFd(fd, Pistache::Flags<NotifyOn>(NotifyOn::Read),
                 Pistache::Polling::Tag(static_cast<std::uint64_t>(fd)));
  }
  static void carryOutAll(ResponseMessage &msg);
  void handleEvent(const Pistache::Aio::FdSet::Entry &entry);
  std::shared_ptr<Connection> &connectionOf(int fd);
  void sendContinue(int fd);
  void rejectSlowRequest(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
  void closeSilentConnections();
  [[nodiscard]] bool isOverdue(const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                               Connection &conn, Time now) const;

  std::shared_ptr<Pistache::Tcp::Handler> Handler; // As Pistache shares it.
  CallerTimeouts Timeouts;
  std::shared_ptr<ResponseMailbox> Outbox;
  int Timer;
  std::unordered_map<int, std::shared_ptr<Connection>> Connections;
};

void Transport::onReady(const Pistache::Aio::FdSet &fds) {
  for (const auto &entry : fds) {
    const auto fd = static_cast<int>(entry.getTag().value());
    if (fd == Outbox->fd()) {
      Outbox->takeAll(
          [](std::unique_ptr<ResponseMessage> msg) { carryOutAll(*msg); });
      flush();
    } else if (fd == Timer) {
      closeSilentConnections();
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
  std::vector<Pistache::Polling::Event> one;
  one.push_back(ev);
  try {
    Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet(std::move(one)));
    if (entry.isReadable())
      sendContinue(static_cast<int>(entry.getTag().value()));
  } catch (const std::exception &) {
    // A caller left in mid-answer; nothing is left to be done for it.
  }
}

void Transport::sendContinue(int fd) {
  constexpr std::string_view GoOn = "HTTP/1.1 100 Continue\r\n\r\n";
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
  asyncWrite(fd, Pistache::RawBuffer(std::string(GoOn), GoOn.size()));
  flush();
}

void Transport::carryOutAll(ResponseMessage &msg) {
  try {
    std::visit([](auto &m) { carryOut(m); }, msg.What);
  } catch (const std::exception &) {
    // The caller has left: there is nobody to tell.
  }
}

std::shared_ptr<Connection> &Transport::connectionOf(int fd) {
  std::shared_ptr<Connection> &conn = Connections[fd];
  if (!conn)
    conn = std::make_shared<Connection>();
  return conn;
}

std::shared_ptr<Connection>
Transport::onWholeRequest(Pistache::Tcp::Peer &peer) {
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
  // These hold the connection in turn.
  const auto unserved = std::move(conn->QueuedRequests);
  conn->QueuedRequests.clear();
}

bool Transport::isOverdue(const std::shared_ptr<Pistache::Tcp::Peer> &peer,
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

void Transport::closeSilentConnections() {
  std::uint64_t times = 0;
  [[maybe_unused]] const auto n = ::read(Timer, &times, sizeof(times));
  const Time now = monotonicNow();
  for (const auto &it : peers) {
    Connection &conn = *connectionOf(it.first);
    if (conn.UnansweredRequests > 0)
      conn.LastActiveAt = now;
    else if (isOverdue(it.second, conn, now))
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

template <typename T> void post(ResponseMailbox &box, T msg) {
  auto owned = std::make_unique<ResponseMessage>();
  owned->What = std::move(msg);
  box.post(std::move(owned));
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
  const std::shared_ptr<ResponseMailbox> box = St->Outbox;
  post(*box, SendResponse{std::move(St),
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
  const std::shared_ptr<ResponseMailbox> box = St->Outbox;
  post(*box, EndStream{std::move(St), true});
}

void HttpResponder::abort() {
  const std::shared_ptr<ResponseMailbox> box = St->Outbox;
  post(*box, EndStream{std::move(St), false});
}

namespace {

class PistacheHandler final : public http::Handler {
public:
  HTTP_PROTOTYPE(PistacheHandler)

  explicit PistacheHandler(HttpHandlers handlers)
      : Handlers(std::move(handlers)) {}

  void onRequest(const http::Request &req,
                 http::ResponseWriter writer) override {
    const bool stays = wantsKeepAlive(req);
    setConnectionHeader(stays, writer.headers());
    const auto peer = writer.getPeer();
    if (!peer)
      return;
    Transport &own = served();
    auto conn = own.onWholeRequest(*peer);
    auto st = std::make_unique<HttpResponder::State>(std::move(writer), conn,
                                                     own.box(), stays);
    HttpRequest in = readRequest(req, peer->getID());
    if (conn->UnansweredRequests == 1)
      Handlers.OnRequest(std::move(in), HttpResponder(std::move(st)));
    else
      conn->QueuedRequests.push_back(
          queuedRequest(std::move(in), std::move(st)));
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override {
    served().onClosed(*peer);
    if (Handlers.OnDisconnect)
      Handlers.OnDisconnect(peer->getID());
  }

private:
  /// Hands the request on when its turn comes. std::function asks for copies,
  /// which are never made, so what can't be copied is shared.
  std::function<void()>
  queuedRequest(HttpRequest in, std::unique_ptr<HttpResponder::State> st) {
    auto held = std::make_shared<std::pair<HttpRequest, HttpResponder>>(
        std::move(in), HttpResponder(std::move(st)));
    return [this, held] {
      Handlers.OnRequest(std::move(held->first), std::move(held->second));
    };
  }

  Transport &served() { return *static_cast<Transport *>(transport()); }

  HttpHandlers Handlers;
};

CallerTimeouts limitsOf(const HttpServerOptions &opt) noexcept {
  return {opt.HeaderTimeout, opt.BodyTimeout, opt.KeepAlive};
}

/// Connections that wait to be accepted.
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
    auto bridge = std::make_shared<PistacheHandler>(std::move(handlers));
    bridge->setMaxRequestSize(opt.MaxBodyBytes);
    bridge->setMaxResponseSize(MaxResponseBytes);
    auto st = std::make_unique<State>();
    st->Listener.init(static_cast<std::size_t>(opt.Threads),
                      Pistache::Flags<Options>(Options::ReuseAddr) |
                          Options::NoDelay,
                      "", Backlog);
    st->Listener.setHandler(bridge);
    st->Listener.setTransportFactory([bridge, limits = limitsOf(opt)] {
      return std::make_shared<Transport>(bridge, limits);
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
