// What an agent does beside bundles: it exchanges state with other agents,
// polls endpoints and the VM list, judges versions and leads version moves.
#ifndef ZINNIAGAUGE_ADAPT_CONTROL_H
#define ZINNIAGAUGE_ADAPT_CONTROL_H

#include "zinniagauge/adapt/endpoint_client.h"
#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/entry_report.h"
#include "zinniagauge/decide/exchange.h"

#include <functional>
#include <memory>

namespace zinniagauge {

/// What control works with; the pointers outlive it.
struct ControlOptions {
  const AgentSettings *Settings = nullptr;
  const Platform *Store = nullptr;
  EndpointClient Endpoints;
  Board *Shared = nullptr; // Members, endpoints and moves are written.
  const Cell<EntryReport> *Report = nullptr;
  std::uint64_t Incarnation = 0;
  std::uint64_t Random = 1;
  /// Gets a newer bundle that a peer told of, to be checked and put into force.
  std::function<void(BundleText)> OnBundle;
};

/// Runs from start to destruction.
class Control {
public:
  /// Fails with Unavailable if the RPC address is in use.
  [[nodiscard]] static Result<Control> start(ControlOptions opt);

  struct State;
  explicit Control(std::unique_ptr<State> st) noexcept;
  Control(Control &&) noexcept;
  Control &operator=(Control &&) noexcept;
  ~Control();

  /// Polls the endpoints that are this VM's to poll, unless a poll still runs.
  void pollEndpoints();

  /// Reads the VM list, unless a call to the platform still runs.
  void pollVmList();

  /// Tells all VMs that this one stops by plan.
  void leave();

  /// Takes a move back by an operator's word: it counts as bad at once,
  /// everywhere, and its row follows.
  void takeBack(MoveId move, std::string why);

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CONTROL_H
