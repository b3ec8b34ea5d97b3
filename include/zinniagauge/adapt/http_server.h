// An HTTP server on Pistache whose answers may be given later and from any
// thread, whole or as a stream.
#ifndef ZINNIAGAUGE_ADAPT_HTTP_SERVER_H
#define ZINNIAGAUGE_ADAPT_HTTP_SERVER_H

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Where and how to serve.
struct HttpServerOptions {
  std::string Host = "127.0.0.1"; // An IP address.
  std::uint16_t Port = 0;         // Zero: any free one.
  int Threads = 2;
  std::size_t MaxBodyBytes = std::size_t{8} << 20U;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration BodyTimeout = std::chrono::seconds(30);
  Duration KeepAlive = std::chrono::minutes(5);
};

/// A request as it arrived.
struct HttpRequest {
  std::string Method;
  std::string Path;  // Without the query.
  std::string Query; // Without the '?'.
  std::string Body;
  std::vector<HttpHeader> Headers;
  std::uint64_t Connection = 0; // Names the caller's connection.

  /// The value of the header called \p name in any case, or an empty view.
  [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// The answer to one request: give it once, whole or as a stream, from any
/// thread, but from one thread at a time.
class HttpResponder {
public:
  struct State;

  explicit HttpResponder(std::unique_ptr<State> st) noexcept;
  HttpResponder(HttpResponder &&) noexcept;
  HttpResponder &operator=(HttpResponder &&) noexcept;
  ~HttpResponder();

  /// Sends a whole answer.
  void send(int status, std::span<const HttpHeader> headers,
            std::string_view body);

  /// Starts an answer that arrives in parts. Fails with Gone if the caller has
  /// left.
  [[nodiscard]] Result<void> start(int status,
                                   std::span<const HttpHeader> headers);

  /// Sends a part of a started answer. Fails with Gone if the caller has left.
  [[nodiscard]] Result<void> write(std::string_view part);

  /// Ends a started answer as whole.
  void end();

  /// Ends a started answer as broken: the connection is closed without the end
  /// mark, so that no caller takes it for whole.
  void abort();

private:
  std::unique_ptr<State> St;
};

/// What a server calls, from its own threads; neither may block.
struct HttpHandlers {
  std::function<void(HttpRequest, HttpResponder)> OnRequest;
  std::function<void(std::uint64_t)> OnDisconnect; // A connection has closed.
};

/// A server that serves from start to destruction.
class HttpServer {
public:
  /// Binds and starts to serve. Fails with Unavailable if the address is in
  /// use.
  [[nodiscard]] static Result<HttpServer> start(const HttpServerOptions &opt,
                                                HttpHandlers handlers);

  struct State;
  explicit HttpServer(std::unique_ptr<State> st) noexcept;
  HttpServer(HttpServer &&) noexcept;
  HttpServer &operator=(HttpServer &&) noexcept;
  ~HttpServer();

  /// The port that is served.
  [[nodiscard]] std::uint16_t port() const noexcept;

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_HTTP_SERVER_H
