// One caller's connection: what was read of it, and how bytes are written to
// it. Pistache accepts and parses; the bytes of answers are written here, since
// Pistache 0.0.5 writes from other threads by the number of a file descriptor,
// which may be another caller's by then, and ends the process when such a write
// meets its own.
#ifndef ZINNIAGAUGE_SRC_ADAPT_HTTP_CONNECTION_H
#define ZINNIAGAUGE_SRC_ADAPT_HTTP_CONNECTION_H

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/adapt/mailbox.h"

#include <pistache/http.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace zinniagauge::impl {

/// What a connection does.
enum class ConnectionPhase : std::uint8_t {
  Idle,     ///< No request runs.
  Running,  ///< One request runs.
  NextHeld, ///< Likewise, and the next one waits for its end.
  Refused,  ///< Nothing more is read; closed when the caller has left.
};

/// How much of the next request has arrived.
enum class ReadPhase : std::uint8_t { Nothing, Headers, Body };

/// A request that has arrived whole, and how its answer is to be written.
struct ArrivedRequest {
  HttpRequest Request;
  bool KeepOpen = true; // The caller may use the connection again.
  bool Chunks = true;   // The caller understands an answer in chunks.
};

/// One connection. Shared by the thread that reads it, the reply that writes to
/// it and the keeper.
struct HttpConnection {
  /// Takes \p own, a file descriptor of its own for the caller's socket.
  HttpConnection(int own, std::uint64_t id, std::size_t max);
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;
  ~HttpConnection();

  const int Fd;
  const std::uint64_t Id;
  std::atomic<bool> Gone{false};
  std::atomic<bool> CloseAfter{false}; // After the answer that is written.
  std::atomic<std::size_t> Pending{0}; // Bytes that the keeper has to write.
  std::atomic<ConnectionPhase> Phase{ConnectionPhase::Idle};
  std::atomic<ReadPhase> Read{ReadPhase::Nothing};
  std::atomic<std::int64_t> SinceNanos; // When Phase or Read changed last.

  // Only the reading thread uses these.
  Pistache::Http::RequestParser Parser;
  bool Continued = false; // The caller was told to send the body.

  std::optional<ArrivedRequest> Next; // While Phase is NextHeld.

  // Only the keeper uses these.
  std::deque<std::string> Out;
  std::size_t OutSent = 0; // Bytes of the first of Out.
  bool Watched = false;
  bool EndAfter = false; // Nothing is written after Out.
};

/// What the keeper is told.
struct KeeperMessage {
  enum class Kind : std::uint8_t { Watch, Write, End, Sweep, Stop };
  Kind What = Kind::Sweep;
  std::shared_ptr<HttpConnection> Connection;
  std::string Bytes;
};

/// A thread that writes what a socket had no room for, and closes connections
/// whose time is over.
class HttpKeeper {
public:
  explicit HttpKeeper(const HttpServerOptions &opt);
  HttpKeeper(const HttpKeeper &) = delete;
  HttpKeeper &operator=(const HttpKeeper &) = delete;
  ~HttpKeeper();

  void post(KeeperMessage msg);

  /// Closes all connections and ends the thread.
  void stop();

private:
  void run();
  void take(KeeperMessage &msg);
  void writeOut(HttpConnection &conn);
  void sweep();
  void sweepOne(const std::shared_ptr<HttpConnection> &conn, Time now);
  void watch(HttpConnection &conn, bool on);

  const HttpServerOptions Opt;
  Mailbox<KeeperMessage> Inbox;
  const int Poll;
  std::unordered_map<std::uint64_t, std::weak_ptr<HttpConnection>> All;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpConnection>> Writing;
  bool Stopped = false;
  std::thread Thread;
};

/// Writes \p bytes, handing the keeper what the socket has no room for. False
/// if the caller has left. One thread at a time.
bool writeTo(const std::shared_ptr<HttpConnection> &conn, HttpKeeper &keeper,
             std::string_view bytes);

/// Notes that the phase of \p conn has changed now.
void touch(HttpConnection &conn) noexcept;

/// Lets the caller see the end once all that was written has been sent.
void endAfterWrites(const std::shared_ptr<HttpConnection> &conn,
                    HttpKeeper &keeper);

/// Closes both ways at once.
void cut(HttpConnection &conn) noexcept;

/// Answers with \p status and a problem that says not_run, and reads no more.
/// Does nothing if a request runs, but that the connection ends after it.
void refuse(const std::shared_ptr<HttpConnection> &conn, HttpKeeper &keeper,
            int status, std::string_view why);

/// The head of an answer up to and with its empty line. Without \p length it
/// announces chunks.
[[nodiscard]] std::string answerHead(int status,
                                     std::span<const HttpHeader> headers,
                                     bool keepopen,
                                     std::optional<std::size_t> length);

} // namespace zinniagauge::impl

#endif // ZINNIAGAUGE_SRC_ADAPT_HTTP_CONNECTION_H
