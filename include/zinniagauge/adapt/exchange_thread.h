// The thread that exchanges state with the agents of other VMs. It is the only
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

/// Dependencies and settings of the thread.
struct ExchangeOptions {
  Board *SharedBoard = nullptr; // Outlives the thread.
  Member Self;                  // This VM, with its addresses and incarnation.
  std::string Address;          // "ip:port" to listen on.
  std::vector<std::string> SeedAddresses;
  std::uint64_t RandomSeed = 1; // Seeds the choice of peers.
  /// Called on the thread after each step of the exchange.
  std::function<void(const Exchange &, Time)> OnStep;
};

/// The time limit for an exchange, from connecting to the last response. After
/// it, the connection is replaced, even if it still looks open. An exchange
/// with each selected peer starts at least every ExchangePeriod, so exchanges
/// serve as the heartbeat of the connection to that peer.
inline constexpr Duration ExchangeTimeout = std::chrono::seconds(1);

/// Owns the thread, which runs from start() until destruction.
class ExchangeThread {
public:
  /// A function to run on the thread. The thread publishes the board's sections
  /// afterwards.
  using Task = std::function<void(Exchange &)>;

  /// Starts the thread and listens on the address. Fails with Unavailable if it
  /// can't listen there, for example because the address is in use.
  [[nodiscard]] static Result<ExchangeThread> start(ExchangeOptions opt);

  struct State;
  explicit ExchangeThread(std::unique_ptr<State> st) noexcept;
  ExchangeThread(ExchangeThread &&) noexcept;
  ExchangeThread &operator=(ExchangeThread &&) noexcept;
  ~ExchangeThread();

  /// Posts \p fn to the thread without blocking. Any thread may call this.
  void post(Task fn);

  /// Posts an accepted bundle to the thread without blocking. The thread
  /// activates it if it is newer than the active bundle.
  void offerBundle(Bundle next);

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_EXCHANGE_THREAD_H
