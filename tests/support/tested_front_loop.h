// A request loop with a real caller and real back ends on loopback, driven step
// by step on the test's thread.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_TESTED_FRONT_LOOP_H
#define ZINNIAGAUGE_TESTS_SUPPORT_TESTED_FRONT_LOOP_H

#include "zinniagauge/front/request_loop.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge::testing {

/// The local address of the socket \p fd.
[[nodiscard]] PeerAddress addressOf(int fd);

/// Runs one iteration of \p lp after a short wait.
void runOnce(Loop &lp);

/// A descriptor that is closed with its owner; -1: none.
struct TestSocket {
  int Fd = -1;

  explicit TestSocket(int fd = -1) noexcept : Fd(fd) {}
  TestSocket(TestSocket &&other) noexcept;
  TestSocket &operator=(TestSocket &&other) noexcept;
  TestSocket(const TestSocket &) = delete;
  TestSocket &operator=(const TestSocket &) = delete;
  ~TestSocket() { reset(); }

  /// Closes the descriptor. If \p abort is set, the connection is reset.
  void reset(bool abort = false) noexcept;
};

/// A back end that listens on loopback.
struct TestBackend {
  TestSocket Listener;
  Backend Info;
};

/// A request loop whose plan has the pool "model" with the resumable stream
/// route "/stream/" and the route "/safe/", of two attempts each, the route
/// "/unsafe/" of three, and one caller.
struct TestedFrontLoop {
  explicit TestedFrontLoop(std::size_t backends);

  /// Runs one iteration of the loop and of those of Others.
  void step();
  /// Runs the loop for \p span.
  void wait(Duration span);
  /// Publishes the back ends as they are now.
  void publishBackends();
  /// Keeps the current caller and lets another one send what follows.
  void useNewCaller();
  /// Sends a request with the id \p id and the header lines \p more.
  void request(std::string_view id, std::string_view more = {},
               std::string_view path = "/stream/x");
  /// The next connection to back end \p n; runs the loop until there is one.
  /// Without one after some steps, its Fd is -1.
  [[nodiscard]] TestSocket accept(std::size_t n);
  /// The back end that is connected to next and its connection.
  [[nodiscard]] std::pair<std::size_t, TestSocket> acceptAny();
  /// What \p from has received until \p end appears, the connection is closed,
  /// or nothing more comes.
  [[nodiscard]] std::string receive(const TestSocket &from,
                                    std::string_view end);
  /// Sends \p text and runs the loop.
  void send(const TestSocket &to, std::string_view text);

  FrontBoard Board;
  EventLog Log{"front", EventLevel::Changes};
  FrontMetrics Metrics;
  std::unique_ptr<RequestLoop> Rl;
  std::vector<TestBackend> Backends;
  TestSocket Caller;
  std::vector<TestSocket> EarlierCallers;
  std::vector<TestedFrontLoop *> Others; // Run together with this one.
};

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_TESTED_FRONT_LOOP_H
