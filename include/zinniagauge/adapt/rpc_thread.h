// The thread that speaks Cap'n Proto: it runs this VM's schedulers, asks those
// of other VMs, and takes the agent's updates of the board.
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

/// What the RPC thread works with.
struct RpcOptions {
  Board *Shared = nullptr;      // Outlives the thread.
  ShareGates *Shares = nullptr; // Likewise.
  std::string VmName;
  std::string ZoneName;
  std::string Address; // "ip:port" to listen at.
  std::uint64_t Incarnation = 0;
  /// Hands a message to the worker that holds the request.
  std::function<void(RequestId, WorkerMessage)> PostToWorker;
  /// What workers have seen of versions; merged over the workers.
  std::function<VersionStatsList()> CollectVersionStats;
  /// Requests that are in progress in this process.
  std::function<std::uint64_t()> CountInProgress;
  /// Whether this process is stopping by plan.
  std::function<bool()> IsStopping;
};

/// Runs from start to destruction.
class RpcThread {
public:
  /// Listens and starts the thread. Fails with Unavailable if the address is
  /// in use.
  [[nodiscard]] static Result<RpcThread> start(RpcOptions opt);

  struct State;
  explicit RpcThread(std::unique_ptr<State> st) noexcept;
  RpcThread(RpcThread &&) noexcept;
  RpcThread &operator=(RpcThread &&) noexcept;
  ~RpcThread();

  /// Hands \p msg to the thread; never waits.
  void post(RpcMessage msg);

  /// Steps the schedulers if the passing of time may change something there.
  void tick();

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_RPC_THREAD_H
