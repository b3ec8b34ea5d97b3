// An HTTP server based on Pistache. Handlers may respond later and from any
// thread, with a complete body or a stream.
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

/// The address, limits and timeouts of a server. The timeouts count from the
/// start of the connection, its last request or the end of its last response,
/// whichever is latest.
struct HttpServerOptions {
  std::string Host = "127.0.0.1"; // An IP address.
  std::uint16_t Port = 0;         // Zero selects any free port.
  int Threads = 2;
  std::size_t MaxBodyBytes = std::size_t{8} << 20U;
  /// For the headers of a request, and for the first request of a connection.
  Duration HeaderTimeout = std::chrono::seconds(10);
  /// For the body of a request, in addition to HeaderTimeout.
  Duration BodyTimeout = std::chrono::seconds(30);
  /// For the next request of a connection to begin.
  Duration KeepAliveTimeout = std::chrono::minutes(5);
};

/// A complete request.
struct HttpRequest {
  std::string Method;
  std::string Path;  // Without the query.
  std::string Query; // Without the '?'.
  std::string Body;
  std::vector<HttpHeader> Headers;
  std::uint64_t Connection = 0; // Identifies the caller's connection.

  /// Returns the value of the header called \p name in any case, or an empty
  /// view.
  [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// Sends the response to one request, either complete by send() or as a stream
/// by start(), write() and then end() or abort(). Any thread may call it, but
/// only one at a time. Destroying a responder that hasn't finished its response
/// calls abort().
class HttpResponder {
public:
  struct State;

  explicit HttpResponder(std::unique_ptr<State> st) noexcept;
  HttpResponder(HttpResponder &&) noexcept;
  HttpResponder &operator=(HttpResponder &&) noexcept;
  ~HttpResponder();

  /// Sends a complete response.
  void send(int status, std::span<const HttpHeader> headers,
            std::string_view body);

  /// Starts a streamed response. Fails with Disconnected if the caller has
  /// disconnected.
  [[nodiscard]] Result<void> start(int status,
                                   std::span<const HttpHeader> headers);

  /// Sends a part of a streamed response. Fails with Disconnected if the caller
  /// has disconnected.
  [[nodiscard]] Result<void> write(std::string_view part);

  /// Ends a streamed response as complete.
  void end();

  /// Ends a streamed response as incomplete: closes the connection without the
  /// last chunk, so that the caller detects that the response is cut short.
  void abort();

private:
  std::unique_ptr<State> St;
};

/// The callbacks of a server. It calls them on its own threads, so they must
/// not block.
struct HttpHandlers {
  std::function<void(HttpRequest, HttpResponder)> OnRequest;
  std::function<void(std::uint64_t)> OnDisconnect; // A connection has closed.
};

/// A server that runs from start to destruction.
class HttpServer {
public:
  /// Binds the address and starts serving. Fails with Unavailable if that
  /// fails, such as when the address is in use.
  [[nodiscard]] static Result<HttpServer> start(const HttpServerOptions &opt,
                                                HttpHandlers handlers);

  struct State;
  explicit HttpServer(std::unique_ptr<State> st) noexcept;
  HttpServer(HttpServer &&) noexcept;
  HttpServer &operator=(HttpServer &&) noexcept;
  ~HttpServer();

  /// Returns the bound port.
  [[nodiscard]] std::uint16_t port() const noexcept;

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_HTTP_SERVER_H
