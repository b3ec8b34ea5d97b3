// The thread that swaps state with the agents of other VMs. It is the one
// writer of the board's members, endpoints, moves and bundle.
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

/// What the thread works with.
struct ExchangeOptions {
  Board *Shared = nullptr; // Outlives the thread.
  Member Self;             // With its addresses and incarnation.
  std::string Address;     // "ip:port" to listen at.
  std::vector<std::string> SeedAddresses;
  std::uint64_t RandomSeed = 1; // Of its choices.
  /// Called on the thread after each of its steps.
  std::function<void(const Exchange &, Time)> OnStep;
};

/// How long a swap may go unanswered; then its connection is replaced, though
/// it may still look open. Every connection carries a swap at least each
/// SwapPeriod while its peer is chosen, so swaps are its heartbeat.
inline constexpr Duration SwapTimeout = std::chrono::seconds(1);

/// Runs from start to destruction.
class ExchangeThread {
public:
  /// Something to do on the thread, which publishes the board's sections
  /// afterwards.
  using Task = std::function<void(Exchange &)>;

  /// Listens and starts the thread. Fails with Unavailable if the address is
  /// in use.
  [[nodiscard]] static Result<ExchangeThread> start(ExchangeOptions opt);

  struct State;
  explicit ExchangeThread(std::unique_ptr<State> st) noexcept;
  ExchangeThread(ExchangeThread &&) noexcept;
  ExchangeThread &operator=(ExchangeThread &&) noexcept;
  ~ExchangeThread();

  /// Hands \p fn to the thread; never waits.
  void post(Task fn);

  /// Hands an accepted bundle to the thread, which puts it in force unless a
  /// newer one is; never waits.
  void offerBundle(Bundle next);

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_EXCHANGE_THREAD_H
