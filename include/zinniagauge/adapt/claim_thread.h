// The thread that decides claims and issued tickets, and one more that calls
// the platform's table for it, since those calls block.
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

/// What the claim threads work with.
struct ClaimOptions {
  std::string VmName;
  std::string ZoneName;
  std::uint64_t Incarnation = 0;
  std::optional<Platform> Table; // Absent: only issued tickets can be used.
  ClaimLimits Limits;
  /// How long a stopping process waits for outcomes to be recorded.
  Duration StopTimeout = std::chrono::seconds(1);
  /// Hands a decision to the worker that holds the request.
  std::function<void(RequestId, WorkerMessage)> SendToWorker;
};

/// Runs from start to destruction.
class ClaimThread {
public:
  [[nodiscard]] static ClaimThread start(ClaimOptions opt);

  struct State;
  explicit ClaimThread(std::unique_ptr<State> st) noexcept;
  ClaimThread(ClaimThread &&) noexcept;
  ClaimThread &operator=(ClaimThread &&) noexcept;
  ~ClaimThread();

  /// Hands \p msg to the thread; never waits.
  void post(ClaimMessage msg);

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CLAIM_THREAD_H
