// An agent's part in version moves: it polls endpoints, evaluates versions by
// the statistics of its entry, and runs the moves that it leads.
#ifndef ZINNIAGAUGE_ADAPT_MOVE_CONTROL_H
#define ZINNIAGAUGE_ADAPT_MOVE_CONTROL_H

#include "zinniagauge/adapt/endpoint_client.h"
#include "zinniagauge/adapt/exchange_thread.h"
#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/entry_report.h"

#include <cstdint>
#include <memory>

namespace zinniagauge {

/// Dependencies and settings of MoveControl; the pointers outlive it.
struct MoveControlOptions {
  const AgentSettings *Settings = nullptr;
  const Platform *Store = nullptr;
  EndpointClient Endpoints;
  const Board *SharedBoard = nullptr;
  const Cell<EntryReport> *Report = nullptr;
  std::uint64_t Incarnation = 0;
  ExchangeThread *ExchangeLoop = nullptr;
};

/// Runs version moves at one agent. Its state changes on the exchange thread
/// only; calls to the table and to endpoints run on their own threads.
class MoveControl {
public:
  explicit MoveControl(MoveControlOptions opt);
  MoveControl(const MoveControl &) = delete;
  MoveControl &operator=(const MoveControl &) = delete;
  ~MoveControl();

  /// Posts one step to the exchange thread: it evaluates versions and advances
  /// the moves that this agent leads.
  void step();

  /// Polls the endpoints that are assigned to this VM, on another thread. Does
  /// nothing if a poll is still running.
  void pollEndpoints();

  /// Stops the calls to the table and to endpoints. Call this before the
  /// exchange thread ends; that thread must end before this object is
  /// destroyed.
  void stop();

private:
  struct State;
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MOVE_CONTROL_H
