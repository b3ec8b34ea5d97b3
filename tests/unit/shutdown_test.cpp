// Tests of the end of a planned stop.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

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

/// Whether the process would have ended.
bool hasEnded(const TestedFrontLoop &f) {
  return !f.Rl->StopTimer.Hook.is_linked();
}

/// Runs the loop until the process would have ended, for at most \p span.
bool endsWithin(TestedFrontLoop &f, Duration span) {
  const Time end = monotonicNow() + span;
  while (!hasEnded(f) && monotonicNow() < end)
    f.step();
  return hasEnded(f);
}

/// Runs the stop's timer before the loop has seen anything new.
void runStopTimer(TestedFrontLoop &f) {
  f.Rl->EventLoop.Now = monotonicNow();
  f.Rl->StopTimer.Fn(f.Rl.get(), f.Rl->EventLoop.Now);
}

constexpr std::string_view Begin = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                                   "Zinniagauge-Attempt-Id: c-1\r\n"
                                   "Zinniagauge-Deadline-Ms: 1500\r\n"
                                   "Content-Length: 4\r\n\r\nbo";

/// Answers the call "c-1" at its back end, and checks that its caller gets it.
void checkServed(TestedFrontLoop &f) {
  const TestSocket conn = f.acceptAny().second;
  REQUIRE(f.receive(conn, "body").find("c-1") != std::string::npos);
  CHECK_FALSE(hasEnded(f));
  f.wait(milliseconds(250));
  CHECK_FALSE(hasEnded(f));
  f.send(conn, "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: c-1\r\n"
               "Zinniagauge-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  CHECK(f.receive(f.Caller, "\r\n\r\nok").starts_with("HTTP/1.1 200"));
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

// Guards against a request being run and not answered, as the process ended
// once no call was in progress although requests were still being received.
TEST_CASE("a front that stops serves a request that is still being received",
          "[front][stop]") {
  const std::size_t size = GENERATE(5U, 60U, Begin.size() - 2, Begin.size());
  const std::string_view begun = Begin.substr(0, size);
  INFO(begun);
  TestedFrontLoop f(1);
  f.send(f.Caller, begun);
  stopSince(f, milliseconds(3600));
  f.wait(milliseconds(250));
  CHECK_FALSE(hasEnded(f));
  CHECK(f.Rl->Listening.Socket.Fd >= 0);
  f.send(f.Caller, std::string(Begin.substr(begun.size())) + "dy");
  checkServed(f);
  CHECK(endsWithin(f, milliseconds(500)));
}

// Guards against a connection being reset that waited to be accepted when the
// process closed its listening socket.
TEST_CASE("a front that stops serves a request on a connection that it hasn't "
          "accepted",
          "[front][stop]") {
  TestedFrontLoop f(1);
  f.step();
  stopSince(f, milliseconds(3600));
  f.useNewCaller();
  const std::string text = std::string(Begin) + "dy";
  REQUIRE(::send(f.Caller.Fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
  runStopTimer(f);
  checkServed(f);
  CHECK(endsWithin(f, milliseconds(500)));
}

// Guards against a call being passed on that the process can't answer before it
// ends.
TEST_CASE("at its end a front refuses what it still receives",
          "[front][stop]") {
  TestedFrontLoop f(1);
  f.send(f.Caller, Begin);
  const bool accepted = GENERATE(true, false);
  stopSince(f, milliseconds(7550));
  std::string rest = "dy";
  if (!accepted) {
    f.useNewCaller();
    rest = std::string(Begin) + rest;
    REQUIRE(::send(f.Caller.Fd, rest.data(), rest.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(rest.size()));
  }
  runStopTimer(f);
  CHECK(f.Rl->Listening.Socket.Fd < 0);
  if (accepted) {
    f.wait(milliseconds(120));
    CHECK_FALSE(hasEnded(f));
    f.send(f.Caller, rest);
  }
  CHECK(f.receive(f.Caller, "}").starts_with("HTTP/1.1 503"));
  CHECK(endsWithin(f, milliseconds(400)));
  CHECK(f.Rl->BackendConnections.empty());
}

TEST_CASE("a front that stops ends without waiting for idle callers",
          "[front][stop]") {
  TestedFrontLoop f(1);
  f.request("c-0", {}, "/none/x");
  REQUIRE(f.receive(f.Caller, "}").starts_with("HTTP/1.1 404"));
  stopSince(f, milliseconds(3400));
  f.useNewCaller();
  f.wait(milliseconds(20));
  CHECK_FALSE(hasEnded(f));
  CHECK(endsWithin(f, milliseconds(600)));
}
