// The agent's thread of control: it swaps state with the agents of other VMs by
// Cap'n Proto, and is the one writer of the board's members, endpoints and
// moves.
#ifndef ZINNIAGAUGE_ADAPT_EXCHANGE_THREAD_H
#define ZINNIAGAUGE_ADAPT_EXCHANGE_THREAD_H

#include "zinniagauge/board/board.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/exchange.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinniagauge {

/// How often the thread steps.
inline constexpr Duration ExchangeStepPeriod = std::chrono::milliseconds(100);

/// How long a swap may go unanswered; then its connection is replaced, though
/// it may still look open.
inline constexpr Duration SwapTimeout = std::chrono::seconds(1);

/// How long a connection that isn't used is kept.
inline constexpr Duration LinkIdleTime = std::chrono::seconds(10);

/// What the thread works with.
struct ExchangeOptions {
  Board *Shared = nullptr; // Outlives the thread.
  Member Self;             // AgentAddress is where to listen.
  std::vector<std::string> Seeds;
  std::uint64_t Random = 1;
  /// Gets a newer bundle that a peer told of, to be checked and put into force.
  std::function<void(BundleText)> OnBundle;
  /// Called in each step, on the thread, before the board is published.
  std::function<void(Exchange &, Time)> OnStep;
};

/// Runs from start to destruction.
class ExchangeThread {
public:
  /// Listens and starts. Fails with Unavailable if the address is in use.
  [[nodiscard]] static Result<ExchangeThread> start(ExchangeOptions opt);

  struct State;
  explicit ExchangeThread(std::unique_ptr<State> st) noexcept;
  ExchangeThread(ExchangeThread &&) noexcept;
  ExchangeThread &operator=(ExchangeThread &&) noexcept;
  ~ExchangeThread();

  /// Has \p fn called on the thread in its next step.
  void post(std::function<void(Exchange &)> fn);

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_EXCHANGE_THREAD_H
