// Stand-in of the users' platform: its store and some engines, by their
// published protocol, on one loop.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_H
#define ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace zinniagauge::testing {

struct Consortium;

/// A listening port: the store's, or an engine's. Modes of the store: "ok",
/// "silent", "busy", "lost" (a write takes effect, its answer doesn't come),
/// "gone" (no history is left). Of an engine: "ok", "silent", "reset", "fail",
/// "not_run", "break" (streams end early).
struct ConsortiumPort {
  Consortium *Owner = nullptr;
  Watch Listener;
  int Engine = -1; // Of the store.
  std::string Mode = "ok";
  int Runs = 0;
  int Arrivals = 0;
};

/// A connection to one of the ports.
struct Visitor {
  TcpConnection Ch;
  ConsortiumPort *At = nullptr;
  MessageParser Parser;
  std::string Body;
  LoopTimer Pace;    // Of a stream that is being sent.
  int NextEvent = 0; // Its next event's id.
};

/// What an engine got.
struct EngineCall {
  int Engine = 0;
  bool Ran = false;
  std::string Id;
  std::string Body;
};

/// Events of each stream, with ids from one.
inline constexpr int StreamEvents = 8;

/// A call of the store that waits for a change.
struct WaitingRead {
  Visitor *Who = nullptr;
  std::string Table;
  std::uint64_t After = 0;
  Time Due;
};

/// The store and the engines.
struct Consortium {
  Loop Lp;
  std::vector<std::unique_ptr<ConsortiumPort>> Ports; // The store's first.
  std::map<Visitor *, std::shared_ptr<Visitor>> Visitors;
  std::map<std::pair<std::string, std::string>, nlohmann::json> Rows;
  std::uint64_t Version = 1;
  std::vector<WaitingRead> Waits;
  LoopTimer Timer;
  Duration Pace = Duration::zero(); // Between events; zero: all at once.
  std::function<void(const EngineCall &)> OnCall; // If set, of each arrival.
};

/// Puts or replaces a row: table, part, key and value, in base64.
void putRow(Consortium &st, const nlohmann::json &row);

/// Listens for the store and then for engines at "ip:port", and starts. The
/// loop must be open. Fails with Unavailable.
[[nodiscard]] Result<void>
startConsortium(Consortium &st, const std::string &store,
                const std::vector<std::string> &engines);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_H
