// The HTTP front end for callers: OpenAI-compatible model requests and plain
// services. It decodes and admits requests; workers schedule and run them.
#ifndef ZINNIAGAUGE_ADAPT_CALLER_SERVER_H
#define ZINNIAGAUGE_ADAPT_CALLER_SERVER_H

#include "zinniagauge/adapt/messages.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/error.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace zinniagauge {

/// The settings and callbacks of the front end.
struct CallerServerOptions {
  Board *SharedBoard = nullptr; // Outlives the front end.
  HttpServerOptions Http;
  /// The upper half of this process's request ids.
  std::uint64_t RequestIdHigh = 0;
  /// Sends an admitted request to a worker.
  std::function<void(AdmittedRequest)> SendToWorker;
  /// Sends a message to the claim thread.
  std::function<void(ClaimMessage)> SendToClaims;
  /// Reports to all workers that a caller's connection has closed.
  std::function<void(std::uint64_t)> OnDisconnect;
  /// Whether this process is shutting down gracefully and accepts no new
  /// requests.
  std::function<bool()> IsStopping;
};

/// Starts serving callers. Fails with Unavailable if the address is in use.
[[nodiscard]] Result<HttpServer> startCallerServer(CallerServerOptions opt);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CALLER_SERVER_H
