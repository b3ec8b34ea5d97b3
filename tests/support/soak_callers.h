// Callers of a fault soak: they keep their connections, make calls and note
// what they were answered.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CALLERS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CALLERS_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniagauge::testing {

enum class SoakKind : std::uint8_t { Safe, Unsafe, Stream };

/// One call from both ends.
struct SoakCall {
  SoakKind Kind = SoakKind::Safe;
  std::string Key;
  std::size_t Front = 0;
  Time Sent;
  Time Ended;
  int Status = 0;     // Zero: no answer's header came.
  bool Whole = false; // The answer looked whole.
  bool OtherId = false;
  bool Sealed = false;
  std::vector<int> EventIds;
  bool EventsBroken = false;  // Text that is no event.
  std::vector<Time> Arrivals; // At engines.
  std::vector<Time> Runs;
  std::vector<int> Engines; // Of the arrivals.
};

struct SoakCallers;

/// One caller with one connection.
struct SoakCaller {
  SoakCallers *Owner = nullptr;
  std::shared_ptr<TcpConnection> Ch; // Null before the first call.
  MessageParser Parser;
  std::string Body;
  std::size_t Front = 0;
  std::string Calling; // The id of the call under way; empty: none.
  LoopTimer Timer;     // The next call, or the end of patience.
};

/// All callers and their calls.
struct SoakCallers {
  Loop *Lp = nullptr;
  std::uint64_t Random = 0;
  std::vector<PeerAddress> Fronts;
  std::vector<std::string> Keys;
  std::vector<std::unique_ptr<SoakCaller>> List;
  std::map<std::string, SoakCall> Calls;
  std::uint64_t LastId = 0;
  bool Stopped = false; // No new calls.
};

/// The time that a call states, and for how much longer its caller waits.
inline constexpr Duration CallTime = std::chrono::milliseconds(2500);
inline constexpr Duration CallPatience = std::chrono::milliseconds(1500);

/// Starts \p n callers.
void startCallers(SoakCallers &cs, std::size_t n);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CALLERS_H
