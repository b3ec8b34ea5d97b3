// A worker thread: it owns requests from admission to outcome, and calls the
// endpoints.
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

/// Dependencies and settings of a worker.
struct WorkerOptions {
  Board *SharedBoard = nullptr; // Outlives the worker.
  ShareGates *Shares = nullptr; // Outlives the worker; shared by all workers.
  VmId Self;
  ZoneId Zone;
  DispatchLimits Limits;
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  Duration StopTimeout = std::chrono::seconds(60);
  std::uint64_t RandomSeed = 0; // Seeds the jitter of retry backoff.
  /// Posts a message to the RPC thread.
  std::function<void(RpcMessage)> PostToRpc;
  /// Posts a message to the claim thread.
  std::function<void(ClaimMessage)> PostToClaims;
};

/// Owns the thread, which runs from start() until finish() or destruction.
class WorkerThread {
public:
  [[nodiscard]] static WorkerThread start(WorkerOptions opt);

  struct State;
  explicit WorkerThread(std::unique_ptr<State> st) noexcept;
  WorkerThread(WorkerThread &&) noexcept;
  WorkerThread &operator=(WorkerThread &&) noexcept;
  ~WorkerThread();

  /// Waits until the requests in progress are finished or StopTimeout has
  /// passed, then ends the thread. Messages posted afterwards are dropped.
  void finish();

  /// Posts \p msg to the thread without blocking. Any thread may call this.
  void post(WorkerMessage msg);

  /// Number of requests that this worker has in progress.
  [[nodiscard]] std::uint64_t requestsInProgress() const noexcept;

  /// A copy of this worker's statistics of each version, for the control path.
  [[nodiscard]] VersionStatsList versionStats() const;

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_WORKER_H
