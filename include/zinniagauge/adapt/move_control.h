// What an agent does for version moves: it polls endpoints, judges versions by
// the entry's evidence and leads the moves, all on the exchange's thread.
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

/// What control works with; the pointers outlive it.
struct MoveControlOptions {
  const AgentSettings *Settings = nullptr;
  const Platform *Store = nullptr;
  EndpointClient Endpoints;
  const Board *Shared = nullptr;
  const Cell<EntryReport> *Report = nullptr;
  std::uint64_t Incarnation = 0;
  ExchangeThread *ExchangeLoop = nullptr;
};

/// The state of version moves at one agent.
class MoveControl {
public:
  explicit MoveControl(MoveControlOptions opt);
  MoveControl(const MoveControl &) = delete;
  MoveControl &operator=(const MoveControl &) = delete;
  ~MoveControl();

  /// Judges versions and leads moves, on the exchange's thread.
  void step();

  /// Polls the endpoints that are this VM's to poll, unless a poll still runs.
  void pollEndpoints();

  /// Ends the calls to the table and endpoints; to be called before the
  /// exchange's thread ends, which must end before this.
  void stop();

private:
  struct State;
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MOVE_CONTROL_H
