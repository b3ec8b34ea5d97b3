// Tests of the end of a planned stop.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

/// Begins a planned stop that has lasted for \p span.
void stopSince(TestedFrontLoop &f, Duration span) {
  f.Rl->Settings.StopTimeout = std::chrono::seconds(8);
  beginShutdown(*f.Rl);
  f.Rl->StoppingSince -= span;
}

} // namespace

TEST_CASE("late in a planned stop no call is taken that may outlast it",
          "[front][stop]") {
  for (const char *path : {"/unsafe/x", "/safe/x"}) {
    INFO(path);
    TestedFrontLoop f(1);
    stopSince(f, milliseconds(5300));
    f.request("c-1", {}, path);
    CHECK(f.receive(f.Caller, "\r\n\r\n").starts_with("HTTP/1.1 503"));
    // One that must end before the process does is served.
    f.useNewCaller();
    f.request("c-2", "Zinniagauge-Deadline-Ms: 1500\r\n", path);
    const TestSocket conn = f.acceptAny().second;
    CHECK(f.receive(conn, "\r\n\r\n").find("c-2") != std::string::npos);
  }
}

TEST_CASE("a call that still runs at the end of a planned stop is answered",
          "[front][stop]") {
  for (const char *path : {"/unsafe/x", "/safe/x", "/stream/x"}) {
    INFO(path);
    TestedFrontLoop f(1);
    f.request("c-1", {}, path);
    const TestSocket conn = f.acceptAny().second;
    REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
    stopSince(f, milliseconds(7600));
    CHECK(f.receive(f.Caller, "\r\n\r\n").starts_with("HTTP/1.1 504"));
  }
}

// Guards against a request on a kept connection being dropped unread as its
// front begins to stop.
TEST_CASE("a request that has arrived when a planned stop begins is answered",
          "[front][stop]") {
  TestedFrontLoop f(1);
  f.request("c-1", {}, "/none/x");
  REQUIRE(f.receive(f.Caller, "}").starts_with("HTTP/1.1 404"));
  f.request("c-2", {}, "/unsafe/x");
  f.Rl->Settings.StopTimeout = std::chrono::seconds(8);
  beginShutdown(*f.Rl);
  const TestSocket conn = f.acceptAny().second;
  REQUIRE(f.receive(conn, "\r\n\r\n").find("c-2") != std::string::npos);
  f.send(conn, "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: c-2\r\n"
               "Zinniagauge-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  const std::string got = f.receive(f.Caller, "\r\n\r\nok");
  CHECK(got.starts_with("HTTP/1.1 200"));
  CHECK(got.find("Connection: close") != std::string::npos);
}
