#include "zinniagauge/adapt/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/http_headers.h>
#include <pistache/peer.h>

#include <strings.h>
#include <sys/socket.h>

#include <atomic>
#include <optional>
#include <utility>

namespace zinniagauge {

namespace http = Pistache::Http;

namespace {

/// The size at which Pistache flushes a stream by itself; parts are flushed one
/// by one, so it only bounds a single part.
constexpr std::size_t StreamBytes = std::size_t{1} << 20U;

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
  explicit PlainHeader(const HttpHeader &from) : Pair(from) {}

  [[nodiscard]] const char *name() const override { return Pair.Name.c_str(); }
  void write(std::ostream &out) const override { out << Pair.Value; }
  [[nodiscard]] std::uint64_t hash() const override { return 0; }

private:
  HttpHeader Pair;
};

void addHeaders(http::Header::Collection &to,
                std::span<const HttpHeader> headers) {
  for (const HttpHeader &h : headers)
    to.add(std::make_shared<PlainHeader>(h));
}

/// Pistache 0.0.5 answers "Connection: Close" unless the caller asked to keep
/// the connection, though HTTP/1.1 keeps it unless the caller asks to close.
void keepOpen(const http::Request &req, http::Header::Collection &to) {
  if (req.version() != http::Version::Http11)
    return;
  if (req.headers().has<http::Header::Connection>())
    return;
  to.remove<http::Header::Connection>();
  to.add<http::Header::Connection>(http::ConnectionControl::KeepAlive);
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
  explicit State(http::ResponseWriter w) : Writer(std::move(w)) {}

  http::ResponseWriter Writer;
  std::optional<http::ResponseStream> Stream;
  std::weak_ptr<Pistache::Tcp::Peer> Peer;
};

HttpReply::HttpReply(std::unique_ptr<State> st) noexcept : St(std::move(st)) {}
HttpReply::HttpReply(HttpReply &&) noexcept = default;
HttpReply &HttpReply::operator=(HttpReply &&) noexcept = default;
HttpReply::~HttpReply() = default;

void HttpReply::send(int status, std::span<const HttpHeader> headers,
                     std::string_view body) {
  try {
    addHeaders(St->Writer.headers(), headers);
    St->Writer.send(static_cast<http::Code>(status), body.data(), body.size());
  } catch (const std::exception &) {
    // The caller has left: there is nobody to tell.
  }
}

Result<void> HttpReply::start(int status, std::span<const HttpHeader> headers) {
  try {
    addHeaders(St->Writer.headers(), headers);
    St->Stream.emplace(
        St->Writer.stream(static_cast<http::Code>(status), StreamBytes));
    St->Stream->flush();
  } catch (const std::exception &ex) {
    return fail({ErrorCode::Gone, Step::Reply, {}, ex.what()});
  }
  return {};
}

Result<void> HttpReply::write(std::string_view part) {
  if (St->Peer.expired())
    return fail({ErrorCode::Gone, Step::Reply, {}, "the caller has left"});
  try {
    St->Stream->write(part.data(), static_cast<std::streamsize>(part.size()));
    St->Stream->flush();
  } catch (const std::exception &ex) {
    return fail({ErrorCode::Gone, Step::Reply, {}, ex.what()});
  }
  return {};
}

void HttpReply::end() {
  try {
    St->Stream->ends();
  } catch (const std::exception &) {
    // The caller has left: there is nobody to tell.
  }
}

void HttpReply::abort() {
  const auto peer = St->Peer.lock();
  if (peer)
    ::shutdown(peer->fd(), SHUT_RDWR);
}

namespace {

class Bridge final : public http::Handler {
public:
  HTTP_PROTOTYPE(Bridge)

  explicit Bridge(HttpHandlers handlers) : Handlers(std::move(handlers)) {}

  void onRequest(const http::Request &req,
                 http::ResponseWriter writer) override {
    keepOpen(req, writer.headers());
    const auto peer = writer.getPeer();
    auto st = std::make_unique<HttpReply::State>(std::move(writer));
    st->Peer = peer;
    Handlers.OnRequest(readRequest(req, peer ? peer->getID() : 0),
                       HttpReply(std::move(st)));
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override {
    if (Handlers.OnGone)
      Handlers.OnGone(peer->getID());
  }

private:
  HttpHandlers Handlers;
};

http::Endpoint::Options endpointOptions(const HttpServerOptions &opt) {
  return http::Endpoint::options()
      .threads(opt.Threads)
      .flags(Pistache::Tcp::Options::ReuseAddr |
             Pistache::Tcp::Options::NoDelay)
      .backlog(1024)
      .maxRequestSize(opt.MaxBodyBytes)
      .maxResponseSize(std::size_t{1} << 30U)
      .headerTimeout(opt.HeaderTimeout)
      .bodyTimeout(opt.BodyTimeout)
      .keepaliveTimeout(opt.KeepAlive);
}

} // namespace

struct HttpServer::State {
  explicit State(const Pistache::Address &addr) : Endpoint(addr) {}
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() { Endpoint.shutdown(); }

  http::Endpoint Endpoint;
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
    auto st = std::make_unique<State>(addr);
    st->Endpoint.init(endpointOptions(opt));
    st->Endpoint.setHandler(std::make_shared<Bridge>(std::move(handlers)));
    st->Endpoint.serveThreaded();
    return HttpServer(std::move(st));
  } catch (const std::exception &ex) {
    return fail({ErrorCode::Unavailable, Step::Connect, name, ex.what()});
  }
}

std::uint16_t HttpServer::port() const noexcept {
  return static_cast<std::uint16_t>(St->Endpoint.getPort());
}

} // namespace zinniagauge
