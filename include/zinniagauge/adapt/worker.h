// A worker thread: it holds the requests of its callers from admission to
// outcome, and calls the endpoints.
#ifndef ZINNIAGAUGE_ADAPT_WORKER_H
#define ZINNIAGAUGE_ADAPT_WORKER_H

#include "zinniagauge/adapt/messages.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/decide/dispatch.h"
#include "zinniagauge/decide/share_gate.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace zinniagauge {

/// What a worker works with.
struct WorkerOptions {
  Board *Shared = nullptr;      // Outlives the worker.
  ShareGates *Shares = nullptr; // Likewise; shared by all workers.
  VmId Self;
  ZoneId Zone;
  DispatchLimits Limits;
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  Duration StopTimeout = std::chrono::seconds(60);
  std::uint64_t RandomSeed = 0; // Of the jitter of retries.
  /// Hands a message to the RPC thread.
  std::function<void(RpcMessage)> PostToRpc;
  /// Hands a message to the claim thread.
  std::function<void(ClaimMessage)> PostToClaims;
};

/// Runs from start to destruction.
class WorkerThread {
public:
  [[nodiscard]] static WorkerThread start(WorkerOptions opt);

  struct State;
  explicit WorkerThread(std::unique_ptr<State> st) noexcept;
  WorkerThread(WorkerThread &&) noexcept;
  WorkerThread &operator=(WorkerThread &&) noexcept;
  ~WorkerThread();

  /// Finishes the requests that run, within StopTimeout, and ends the thread.
  /// Messages that are posted afterwards are dropped.
  void finish();

  /// Hands \p msg to the thread; never waits.
  void post(WorkerMessage msg);

  /// Requests that this worker holds.
  [[nodiscard]] std::uint64_t requestsInProgress() const noexcept;

  /// What this worker has seen of versions; a copy, for the control path.
  [[nodiscard]] VersionStatsList versionStats() const;

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_WORKER_H
