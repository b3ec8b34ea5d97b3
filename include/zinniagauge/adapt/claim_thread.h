// The thread that decides claims and issued tickets. A second thread makes the
// calls to the platform's table, since they block.
#ifndef ZINNIAGAUGE_ADAPT_CLAIM_THREAD_H
#define ZINNIAGAUGE_ADAPT_CLAIM_THREAD_H

#include "zinniagauge/adapt/messages.h"
#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/decide/claim.h"
#include "zinniagauge/decide/issued_ticket.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace zinniagauge {

/// The settings of the claim threads.
struct ClaimOptions {
  std::string VmName;
  std::string ZoneName;
  std::uint64_t Incarnation = 0;
  std::optional<Platform> Table; // If absent, only issued tickets work.
  ClaimLimits Limits;
  /// How long the destructor waits for pending outcomes to be recorded.
  Duration StopTimeout = std::chrono::seconds(1);
  /// Sends a decision to the worker that holds the request.
  std::function<void(RequestId, WorkerMessage)> SendToWorker;
};

/// Owns the two threads, which run from start to destruction.
class ClaimThread {
public:
  [[nodiscard]] static ClaimThread start(ClaimOptions opt);

  struct State;
  explicit ClaimThread(std::unique_ptr<State> st) noexcept;
  ClaimThread(ClaimThread &&) noexcept;
  ClaimThread &operator=(ClaimThread &&) noexcept;
  ~ClaimThread();

  /// Sends \p msg to the deciding thread without blocking; any thread may call.
  void post(ClaimMessage msg);

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CLAIM_THREAD_H
