// Tests of prompt parts that crash back ends after some events of a stream.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <tuple>
#include <utility>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CrashSpacing{250};

/// A stream that runs at a back end.
struct RunningStream {
  std::size_t Backend = 0;
  TestSocket Conn;
  TestSocket Caller;
};

void makeStreamsFinal(TestedFrontLoop &f) {
  TrafficPlan plan;
  {
    const ReadGuard guard;
    plan = f.Board.Plan.read(guard);
  }
  for (PlanRoute &route : plan.Routes)
    route.Resumable = false;
  f.Board.Plan.publish(std::move(plan));
}

/// The back end that gets the call that was requested last, and its connection.
/// Connections without a request only check whether a back end is reached.
std::pair<std::size_t, TestSocket> acceptCall(TestedFrontLoop &f) {
  for (std::size_t n = 0; n < f.Backends.size(); ++n) {
    auto out = f.acceptAny();
    REQUIRE(out.second.Fd >= 0);
    if (!f.receive(out.second, "\r\n\r\n").empty())
      return out;
  }
  FAIL("no back end got the call");
  return {f.Backends.size(), TestSocket()};
}

/// Requests the stream \p id with the prompt parts \p parts and sends its first
/// two events.
RunningStream begin(TestedFrontLoop &f, std::string_view id,
                    std::string_view parts) {
  f.useNewCaller();
  f.request(id, "Zinniagauge-Prompt-Prefix: " + std::string(parts) + "\r\n");
  RunningStream out;
  std::tie(out.Backend, out.Conn) = acceptCall(f);
  f.send(out.Conn,
         "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + std::string(id) +
             "\r\nZinniagauge-Response-Seal: s\r\n"
             "Connection: close\r\n"
             "Transfer-Encoding: chunked\r\n\r\n"
             "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n");
  REQUIRE(f.receive(f.Caller, "b\n\n").find("data: b") != std::string::npos);
  out.Caller = std::move(f.Caller);
  f.useNewCaller();
  return out;
}

/// Ends the back end of \p s and all streams there.
void crash(TestedFrontLoop &f, RunningStream &s) {
  f.Backends[s.Backend].Listener.reset();
  s.Conn.reset(true);
  f.wait(CrashSpacing);
}

/// Completes a stream.
void complete(TestedFrontLoop &f, RunningStream &s) {
  f.send(s.Conn, LastChunk);
  REQUIRE(f.receive(s.Caller, LastChunk).ends_with(LastChunk));
}

/// The status of a request with the prompt parts \p parts that is answered if
/// it reaches a back end.
std::string statusOf(TestedFrontLoop &f, std::string_view id,
                     std::string_view parts) {
  f.useNewCaller();
  f.request(id, "Zinniagauge-Prompt-Prefix: " + std::string(parts) + "\r\n");
  for (int n = 0; n < 5; ++n)
    f.step();
  for (const TestBackend &b : f.Backends) {
    TestSocket conn(
        b.Listener.Fd < 0 ? -1 : ::accept(b.Listener.Fd, nullptr, nullptr));
    if (conn.Fd < 0)
      continue;
    if (f.receive(conn, "\r\n\r\n").empty())
      continue; // It only checks whether the back end is reached.
    f.send(conn,
           "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + std::string(id) +
               "\r\nZinniagauge-Response-Seal: s\r\n"
               "Connection: close\r\nContent-Length: 0\r\n\r\n");
    break;
  }
  return f.receive(f.Caller, "\r\n\r\n").substr(0, 12);
}

} // namespace

// Guards against a part being cleared by the events that came before its crash.
TEST_CASE("a part that crashes back ends after some events is quarantined",
          "[front][crash]") {
  TestedFrontLoop f(6);
  makeStreamsFinal(f);
  for (const char *id : {"c-1", "c-2", "c-3"}) {
    RunningStream sound =
        begin(f, "s-" + std::string(id), "shared:9," + std::string(id) + ":1");
    complete(f, sound);
    RunningStream s =
        begin(f, id, "shared:9,deadly:5," + std::string(id) + ":1");
    crash(f, s);
  }
  CHECK(statusOf(f, "c-4", "shared:9,deadly:5,x:1") == "HTTP/1.1 503");
  CHECK(statusOf(f, "c-5", "shared:9,y:1") == "HTTP/1.1 200");
}

// Guards against sound streams being refused or held back for the crashes that
// cut others with the same part.
TEST_CASE("a part of streams that went on elsewhere for some time isn't "
          "suspect after crashes",
          "[front][crash]") {
  TestedFrontLoop f(6);
  makeStreamsFinal(f);
  for (const char *id : {"c-1", "c-2", "c-3"}) {
    // It runs on for longer than the test.
    RunningStream sound = begin(f, "s-" + std::string(id), "rare:9,z:1");
    f.wait(milliseconds(2100));
    f.send(sound.Conn, "10\r\nid: 3\ndata: cc\n\n\r\n");
    RunningStream s = begin(f, id, "rare:9,q:1");
    crash(f, s);
  }
  CHECK(statusOf(f, "c-4", "rare:9,x:1") == "HTTP/1.1 200");
}

// Guards against a stream that has run for a while being taken for the cause.
TEST_CASE("a stream that has run for some time isn't held against its parts "
          "at a crash",
          "[front][crash]") {
  TestedFrontLoop f(6);
  makeStreamsFinal(f);
  std::vector<RunningStream> streams;
  for (const char *id : {"c-1", "c-2", "c-3"}) {
    streams.push_back(begin(f, id, std::string("long:9,") + id + ":1"));
    f.wait(milliseconds(2100));
    f.send(streams.back().Conn, "10\r\nid: 3\ndata: cc\n\n\r\n");
  }
  for (RunningStream &s : streams)
    crash(f, s);
  CHECK(statusOf(f, "c-4", "long:9,x:1") == "HTTP/1.1 200");
}
