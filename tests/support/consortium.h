// Stand-in for the users' platform: its store and engines, which speak their
// published protocol. All of them run on one event loop.
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

/// A listening port of the store or of an engine, and how it behaves. Modes of
/// the store: "ok", "silent", "busy", "lost" (a write takes effect but its
/// response is not sent), "gone" (the change history is not available). Modes
/// of an engine: "ok", "silent", "reset", "fail", "not_run", "break" (streams
/// end early), "slow" (responds after SlowResponseDelay),
/// "large" (bodies of LargeBodyBytes).
struct ConsortiumPort {
  Consortium *Owner = nullptr;
  Watch Listener;
  PeerAddress Address;
  int Engine = -1; // Index of the engine; -1 for the store.
  /// Of the responses on each connection; zero: no limit.
  std::size_t BytesPerSecond = 0;
  std::string Mode = "ok";
  std::string Asked; // Header lines of all responses of an engine.
  int Runs = 0;
  int Arrivals = 0;
  int Crashes = 0;
  LoopTimer CrashTimer; // Until the engine crashes, then until it is back.
};

/// An accepted connection to one of the ports.
struct PortConnection {
  TcpConnection Connection;
  ConsortiumPort *Port = nullptr;
  MessageParser Parser;
  std::string Body;
  LoopTimer EventTimer;        // Sends the next event, or DelayedResponse.
  std::string DelayedResponse; // All of it, or what BytesPerSecond holds back.
  int NextEvent = 0;           // Id of the next event to send.
};

/// A call that arrived at an engine.
struct EngineCall {
  int Engine = 0;
  bool Ran = false;
  bool Answered = false; // A response begins at once.
  std::string Asked;     // The port's, if it is answered.
  std::string Id;
  std::string Body;
};

/// How long an engine in mode "slow" takes for a call that isn't a stream.
inline constexpr Duration SlowResponseDelay = std::chrono::milliseconds(300);

/// Bytes of the body of a response in mode "large": more than sockets buffer.
inline constexpr std::size_t LargeBodyBytes = std::size_t{12} << 20U;

/// A call with this body crashes its engine after DeadlyCallTime. The engine is
/// back after CrashDowntime.
inline constexpr const char *DeadlyBody = "deadly";
inline constexpr Duration DeadlyCallTime = std::chrono::milliseconds(20);
inline constexpr Duration CrashDowntime = std::chrono::milliseconds(500);

/// Number of events in each stream; their ids start at 1.
inline constexpr int StreamEvents = 8;

/// A long poll of the store that waits for a row newer than version After.
struct PendingRead {
  PortConnection *Reader = nullptr;
  std::string Table;
  std::uint64_t After = 0;
  Time Deadline;
};

/// A copy of the store's rows.
struct StoreCopy {
  std::map<std::pair<std::string, std::string>, nlohmann::json> Rows;
  std::uint64_t Version = 0;
};

/// The state of the store and the engines.
struct Consortium {
  Loop Lp;
  // The store's port, then those of the engines, then the store's narrow one.
  std::vector<std::unique_ptr<ConsortiumPort>> Ports;
  std::map<PortConnection *, std::shared_ptr<PortConnection>> Connections;
  std::map<std::pair<std::string, std::string>, nlohmann::json> Rows;
  std::uint64_t Version = 1;
  std::uint64_t Era = 1; // Rises with each restore.
  StoreCopy LastCopy;    // Of the control endpoint.
  std::vector<PendingRead> PendingReads;
  LoopTimer Timer;
  Duration EventInterval = Duration::zero(); // Zero: all at once.
  // If set, called for each arrival at an engine.
  std::function<void(const EngineCall &)> OnCall;
};

/// Inserts or replaces a row with the fields table, part, key and value (in
/// base64), and assigns it the next version.
void putRow(Consortium &st, const nlohmann::json &row);

/// Drops the row with the fields table and key, which takes a version of its
/// own.
void dropRow(Consortium &st, const nlohmann::json &row);

/// A copy of the rows as they are now, but for those of table \p without.
[[nodiscard]] StoreCopy copyStore(const Consortium &st,
                                  const std::string &without = {});

/// Replaces the rows by \p copy and begins a new era: versions go back and are
/// assigned again. Pending reads are dropped with their connections.
void restoreStore(Consortium &st, const StoreCopy &copy);

/// What a link of 10 Mbit/s carries.
inline constexpr std::size_t NarrowLinkBytesPerSecond = 1'250'000;

/// Listens at the "ip:port" of the store and of each engine, and, unless it is
/// empty, at \p narrowstore, where each connection to the store is as slow as a
/// narrow link. The loop must be open. Fails with Unavailable if an address
/// can't be bound.
[[nodiscard]] Result<void>
startConsortium(Consortium &st, const std::string &store,
                const std::vector<std::string> &engines,
                const std::string &narrowstore = {});

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_H
