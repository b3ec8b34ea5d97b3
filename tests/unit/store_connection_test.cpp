// Tests of the connection to the table service.
#include "zinniagauge/net/socket_address.h"
#include "zinniagauge/store/store_connection.h"

#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <string>
#include <thread>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

/// A connection to a service that the test plays.
struct TestedStoreConnection {
  TestedStoreConnection() {
    Listener = handleResult(
        [] {
          return listenAt({INADDR_LOOPBACK, 0});
        },
        [](int fd) { return TestSocket(fd); },
        [](const Error &) { return TestSocket(); });
    REQUIRE(Listener.Fd >= 0);
    REQUIRE(openLoop(EventLoop));
    setUpStoreConnection(Conn, EventLoop, addressOf(Listener.Fd));
  }

  void request(Duration timeout) {
    sendRequest(
        Conn, {"GET", "/rows", {}}, timeout,
        [](void *ctx, const StoreResponse &response) {
          static_cast<TestedStoreConnection *>(ctx)->Responses.push_back(
              response);
        },
        this);
  }

  /// Runs the loop until \p count requests have ended, at most a second.
  void waitForResponses(std::size_t count) {
    const Time end = monotonicNow() + std::chrono::seconds(1);
    while (Responses.size() < count && monotonicNow() < end)
      runOnce(EventLoop);
  }

  TestSocket accept() {
    runOnce(EventLoop);
    return TestSocket(acceptFrom(Listener.Fd));
  }

  Loop EventLoop;
  TestSocket Listener;
  StoreConnection Conn;
  std::vector<StoreResponse> Responses;
};

void sendText(const TestSocket &to, std::string_view text) {
  REQUIRE(::send(to.Fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
}

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

} // namespace

// Guards against bytes of an answer that was cut short being read as the start
// of the next answer.
TEST_CASE("an answer of the table service that stops short doesn't disturb the "
          "next one",
          "[store]") {
  for (std::size_t n = 1; n < Answer.size(); ++n) {
    INFO(n << " bytes");
    TestedStoreConnection t;
    t.request(milliseconds(20));
    TestSocket first = t.accept();
    REQUIRE(first.Fd >= 0);
    sendText(first, Answer.substr(0, n));
    t.waitForResponses(1);
    REQUIRE(t.Responses.at(0).Status == 0);
    t.request(milliseconds(500));
    TestSocket second = t.accept();
    REQUIRE(second.Fd >= 0);
    sendText(second, Answer);
    t.waitForResponses(2);
    REQUIRE(t.Responses.at(1).Status == 200);
    REQUIRE(t.Responses.at(1).Body == "whole");
  }
}

// Guards against a large response being given up, and requested again, while it
// arrives over a slow link.
TEST_CASE("a response that keeps arriving isn't given up", "[store]") {
  TestedStoreConnection t;
  t.request(milliseconds(100));
  const TestSocket server = t.accept();
  REQUIRE(server.Fd >= 0);
  constexpr std::size_t PartBytes = std::size_t{64} << 10U;
  constexpr std::size_t Parts = 10;
  sendText(server, "HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(Parts * PartBytes) + "\r\n\r\n");
  for (std::size_t n = 0; n < Parts && t.Responses.empty(); ++n) {
    sendText(server, std::string(PartBytes, 'x'));
    const Time until = monotonicNow() + milliseconds(40);
    while (monotonicNow() < until)
      runOnce(t.EventLoop);
  }
  t.waitForResponses(1);
  CHECK(t.Responses.at(0).Status == 200);
  CHECK(t.Responses.at(0).Body.size() == Parts * PartBytes);
}

// Guards against a service that sends a byte now and then keeping a request
// open.
TEST_CASE("a response that hardly arrives is given up", "[store]") {
  TestedStoreConnection t;
  t.request(milliseconds(100));
  const TestSocket server = t.accept();
  REQUIRE(server.Fd >= 0);
  sendText(server, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
  for (int n = 0; n < 50 && t.Responses.empty(); ++n) {
    sendText(server, "x");
    const Time until = monotonicNow() + milliseconds(10);
    while (monotonicNow() < until)
      runOnce(t.EventLoop);
  }
  REQUIRE(t.Responses.size() == 1);
  CHECK(t.Responses.at(0).Status == 0);
}
