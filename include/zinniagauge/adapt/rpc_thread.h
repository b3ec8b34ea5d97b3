// The thread that serves and makes Cap'n Proto calls: it runs this VM's
// schedulers, calls those of other VMs, and applies the agent's board updates.
#ifndef ZINNIAGAUGE_ADAPT_RPC_THREAD_H
#define ZINNIAGAUGE_ADAPT_RPC_THREAD_H

#include "zinniagauge/adapt/messages.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/share_gate.h"

#include <functional>
#include <memory>
#include <string>

namespace zinniagauge {

/// Dependencies and settings of the RPC thread.
struct RpcOptions {
  Board *SharedBoard = nullptr; // Outlives the thread.
  ShareGates *Shares = nullptr; // Outlives the thread.
  std::string VmName;
  std::string ZoneName;
  std::string Address; // "ip:port" to listen on.
  std::uint64_t Incarnation = 0;
  /// Posts a message to the worker that owns the request. The functions of this
  /// struct are called on the RPC thread.
  std::function<void(RequestId, WorkerMessage)> PostToWorker;
  /// Returns the statistics of each version, merged over all workers.
  std::function<VersionStatsList()> CollectVersionStats;
  /// Returns the number of requests in progress in this process.
  std::function<std::uint64_t()> CountInProgress;
  /// Returns whether this process is in an orderly shutdown.
  std::function<bool()> IsStopping;
};

/// Owns the thread, which runs from start() until destruction.
class RpcThread {
public:
  /// Starts the thread and listens on the address. Fails with Unavailable if it
  /// can't listen there, for example because the address is in use.
  [[nodiscard]] static Result<RpcThread> start(RpcOptions opt);

  struct State;
  explicit RpcThread(std::unique_ptr<State> st) noexcept;
  RpcThread(RpcThread &&) noexcept;
  RpcThread &operator=(RpcThread &&) noexcept;
  ~RpcThread();

  /// Posts \p msg to the thread without blocking. Any thread may call this.
  void post(RpcMessage msg);

  /// Steps the schedulers if a ticket is queued or a grant is open, since only
  /// then time alone can change their state. Any thread may call this.
  void tick();

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_RPC_THREAD_H
