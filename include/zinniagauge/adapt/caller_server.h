// The front end towards callers: OpenAI-compatible model requests and plain
// services over HTTP. It only translates and admits; workers do the rest.
#ifndef ZINNIAGAUGE_ADAPT_CALLER_SERVER_H
#define ZINNIAGAUGE_ADAPT_CALLER_SERVER_H

#include "zinniagauge/adapt/messages.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/error.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace zinniagauge {

/// What the front end works with.
struct CallerServerOptions {
  Board *SharedBoard = nullptr; // Outlives the front end.
  HttpServerOptions Http;
  std::uint64_t RequestIdHigh =
      0; // The upper half of this process's request ids.
  /// Hands an admitted request to a worker.
  std::function<void(AdmittedRequest)> SendToWorker;
  /// Hands a message to the claim thread.
  std::function<void(ClaimMessage)> SendToClaims;
  /// Tells all workers that a caller's connection has closed.
  std::function<void(std::uint64_t)> OnDisconnect;
  /// Whether this process is stopping by plan and takes no new requests.
  std::function<bool()> IsStopping;
};

/// Starts to serve callers.
[[nodiscard]] Result<HttpServer> startCallerServer(CallerServerOptions opt);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CALLER_SERVER_H
