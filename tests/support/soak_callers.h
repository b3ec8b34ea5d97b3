// The callers of a fault soak. Each one sends calls over a persistent
// connection and records the responses.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CALLERS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CALLERS_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniagauge::testing {

enum class SoakKind : std::uint8_t { Safe, Unsafe, Stream };

/// One call, as its caller and the engines recorded it.
struct SoakCall {
  SoakKind Kind = SoakKind::Safe;
  std::string Path;
  std::string Key;
  std::size_t Front = 0;
  Time SentAt;
  Time EndedAt;
  int Status = 0;        // Zero: no response head was received.
  bool Complete = false; // The response ended in an orderly way.
  bool MismatchedId = false;
  bool Sealed = false;
  std::vector<int> EventIds;
  bool EventsBroken = false;  // Text that isn't a valid event.
  std::vector<Time> Arrivals; // At engines, in order.
  std::vector<Time> Runs;
  std::vector<int> Engines;       // The engine of each arrival.
  std::vector<std::string> Asked; // What the engine asked in its response.
};

struct SoakCallers;

/// One caller and its connection.
struct SoakCaller {
  SoakCallers *Owner = nullptr;
  std::shared_ptr<TcpConnection> Connection; // Null before the first call.
  MessageParser Parser;
  std::string Body;
  std::size_t Front = 0;
  std::string CurrentCall; // Id of the current call; empty: none.
  LoopTimer Timer;         // Starts the next call or ends the current one.
};

/// All callers and their calls.
struct SoakCallers {
  Loop *Lp = nullptr;
  std::uint64_t Random = 0;
  std::vector<PeerAddress> Fronts;
  std::vector<std::string> Keys;
  std::string IdPrefix = "s-";
  /// Bounds of the random time between two calls of a caller.
  int MinIntervalMs = 5;
  int MaxIntervalMs = 60;
  /// The path of the next call; empty: one path for each kind, at random.
  std::function<std::string()> NextPath;
  std::vector<std::unique_ptr<SoakCaller>> List;
  std::map<std::string, SoakCall> Calls;
  std::uint64_t LastId = 0;
  bool Stopped = false; // No new calls.
};

/// The deadline that a call states, and how much longer its caller waits for
/// the response.
inline constexpr Duration CallTimeout = std::chrono::milliseconds(2500);
inline constexpr Duration CallTimeoutMargin = std::chrono::milliseconds(1500);

/// Starts \p n callers, spread evenly over the fronts.
void startCallers(SoakCallers &cs, std::size_t n);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CALLERS_H
