// The agent's connection to the entry of its VM: pushes the board, and takes
// the entry's report. Each call is the connection's heartbeat.
#ifndef ZINNIAGAUGE_ADAPT_ENTRY_CONNECTION_H
#define ZINNIAGAUGE_ADAPT_ENTRY_CONNECTION_H

#include "zinniagauge/board/board.h"
#include "zinniagauge/board/cell.h"
#include "zinniagauge/board/entry_report.h"

#include <functional>
#include <memory>
#include <string>

namespace zinniagauge {

/// What the link works with; both pointers outlive it.
struct EntryConnectionOptions {
  const Board *Shared = nullptr;       // Pushed to the entry.
  Cell<EntryReport> *Report = nullptr; // Written by the link.
  std::string Address;                 // "ip:port" of the entry's RPC.
  std::function<bool()>
      MayPushBundle; // Until it says yes, no bundle is pushed.
};

/// Between two updates.
inline constexpr Duration EntryUpdatePeriod = std::chrono::milliseconds(250);

/// How long an update may go unanswered; then the connection is replaced,
/// though it may still look open.
inline constexpr Duration EntryCallTimeout = std::chrono::seconds(1);

/// Runs on a thread of its own from start to destruction, and reconnects for as
/// long as it runs.
class EntryConnection {
public:
  explicit EntryConnection(EntryConnectionOptions opt);
  EntryConnection(const EntryConnection &) = delete;
  EntryConnection &operator=(const EntryConnection &) = delete;
  ~EntryConnection();

private:
  struct State;
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_ENTRY_CONNECTION_H
