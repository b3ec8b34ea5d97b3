// The agent's connection to the entry of its VM: sends the board, and receives
// the entry's report. The calls also serve as the connection's heartbeat.
#ifndef ZINNIAGAUGE_ADAPT_ENTRY_CONNECTION_H
#define ZINNIAGAUGE_ADAPT_ENTRY_CONNECTION_H

#include "zinniagauge/board/board.h"
#include "zinniagauge/board/cell.h"
#include "zinniagauge/board/entry_report.h"

#include <functional>
#include <memory>
#include <string>

namespace zinniagauge {

/// Dependencies and settings of the connection; both pointers outlive it.
struct EntryConnectionOptions {
  const Board *SharedBoard = nullptr;  // Sent to the entry.
  Cell<EntryReport> *Report = nullptr; // Written by the connection.
  std::string Address;                 // "ip:port" of the entry's RPC.
  /// Returns whether the bundle may be sent. Called on the connection's thread
  /// before each update.
  std::function<bool()> MayPushBundle;
};

/// The wait between two updates, and before reconnecting.
inline constexpr Duration EntryUpdatePeriod = std::chrono::milliseconds(250);

/// The time limit for connecting and for each update. After it, the connection
/// is replaced, even if it still looks open.
inline constexpr Duration EntryCallTimeout = std::chrono::seconds(1);

/// Owns a thread that runs from construction to destruction, and reconnects
/// whenever the connection fails.
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
