// Tests of back ends that pause in the midst of a stream: the stream moves to
// another back end only if that one certainly takes it over.
#include "support/tested_front_loop.h"

#include "zinniagauge/decide/quarantine.h"
#include "zinniagauge/decide/silence_timeout.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <tuple>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

/// Longer than a back end may be silent in a stream of the tested plan.
constexpr Duration Pause = MinGapTimeout + milliseconds(300);

std::string chunk(std::string_view text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return std::string(size.data()).append(text).append("\r\n");
}

std::string event(int id) {
  return chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

std::string streamHead(std::string_view id) {
  return "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + std::string(id) +
         "\r\nZinniagauge-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n"
         "\r\n";
}

/// A stream in progress: its caller has the first event.
struct RunningStream {
  std::size_t At = 0; // Index of its back end.
  TestSocket Connection;
};

RunningStream startStream(TestedFrontLoop &f, std::string_view more = {}) {
  f.request("c-1", more);
  RunningStream out;
  std::tie(out.At, out.Connection) = f.acceptAny();
  REQUIRE_FALSE(f.receive(out.Connection, "\r\n\r\n").empty());
  f.send(out.Connection, streamHead("c-1") + event(1));
  REQUIRE(f.receive(f.Caller, "id: 1").find("id: 1") != std::string::npos);
  return out;
}

/// Whether the stream goes on to its end after the back end's pause.
bool endsWhole(TestedFrontLoop &f, const RunningStream &st) {
  f.send(st.Connection, event(2) + std::string(LastChunk));
  const std::string got = f.receive(f.Caller, LastChunk);
  return got.find("id: 2") != std::string::npos && got.ends_with(LastChunk);
}

/// Publishes a plan with keys, of which \p key is the only one.
void publishKey(TestedFrontLoop &f, std::string_view key) {
  TrafficPlan plan = f.Board.Plan.copy();
  ++plan.Version;
  plan.RequiresKeys = true;
  plan.Workspaces = {{"w", WorkspaceId::of("w")}};
  plan.WorkspaceByKey = {{std::string(key), 0}};
  f.Board.PlanVersion = plan.Version;
  f.Board.Plan.publish(std::move(plan));
}

/// Stops the other back ends from accepting connections.
void closeOthers(TestedFrontLoop &f, std::size_t but) {
  for (std::size_t n = 0; n < f.Backends.size(); ++n)
    if (n != but)
      f.Backends[n].Listener.reset();
}

} // namespace

TEST_CASE("a withdrawn key doesn't end a stream whose back end pauses",
          "[silent_backend]") {
  TestedFrontLoop f(1);
  publishKey(f, "old");
  const RunningStream st = startStream(f, "Zinniagauge-Credential: old\r\n");
  publishKey(f, "new");
  f.wait(Pause);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a withdrawn key doesn't keep a stream from moving to another back "
          "end",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  publishKey(f, "old");
  const RunningStream st = startStream(f, "Zinniagauge-Credential: old\r\n");
  publishKey(f, "new");
  f.wait(Pause);
  const RunningStream next{1 - st.At, f.accept(1 - st.At)};
  REQUIRE(f.receive(next.Connection, "\r\n\r\n").find("Last-Event-Id: 1") !=
          std::string::npos);
  f.send(next.Connection, streamHead("c-1"));
  CHECK(endsWhole(f, next));
}

TEST_CASE("a removed route doesn't end a stream whose back end pauses",
          "[silent_backend]") {
  TestedFrontLoop f(1);
  const RunningStream st = startStream(f);
  TrafficPlan plan = f.Board.Plan.copy();
  ++plan.Version;
  plan.Routes.clear();
  indexPlan(plan);
  f.Board.PlanVersion = plan.Version;
  f.Board.Plan.publish(std::move(plan));
  f.wait(Pause);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a stream whose back end pauses isn't given up while no other back "
          "end has room",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st = startStream(f);
  f.Rl->Backends.at(f.Backends[1 - st.At].Info.Id)->Running = 8;
  f.wait(Pause);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a stream whose back end pauses isn't given up while no other back "
          "end can be connected to",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st = startStream(f);
  closeOthers(f, st.At);
  f.wait(Pause);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a stream whose back end pauses isn't given up while the other back "
          "ends leave",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st = startStream(f);
  f.Backends[1 - st.At].Info.Leaving = true;
  f.publishBackends();
  f.wait(Pause);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a stream whose back end pauses isn't given up while its prompt is "
          "in quarantine",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st =
      startStream(f, "Zinniagauge-Prompt-Prefix: aa:60,bb:10\r\n");
  const CallTraitId trait = promptPartTrait(CallTraitId::of("aa"));
  for (std::uint64_t n = 1; n <= 8; ++n)
    recordCrash(f.Rl->Crashes, {trait, n, n, f.Rl->EventLoop.Now});
  f.wait(Pause);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a stream whose back end pauses isn't given up while a connection to "
          "the other back end hangs",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st = startStream(f);
  // With a full queue of unaccepted connections, further ones hang.
  constexpr int MoreThanQueued = 24;
  const sockaddr_in to = socketAddress(f.Backends[1 - st.At].Info.Address);
  std::vector<TestSocket> queued;
  for (int n = 0; n < MoreThanQueued; ++n) {
    queued.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    static_cast<void>(::connect(
        queued.back().Fd, reinterpret_cast<const sockaddr *>(&to), sizeof to));
  }
  const Time end = monotonicNow() + Pause;
  while (f.Rl->BackendConnections.size() < 2 && monotonicNow() < end)
    f.step();
  REQUIRE(f.Rl->BackendConnections.size() == 2);
  f.send(st.Connection, event(2));
  f.wait(milliseconds(400));
  f.send(st.Connection, event(3) + std::string(LastChunk));
  const std::string got = f.receive(f.Caller, LastChunk);
  CHECK(got.find("id: 2") != std::string::npos);
  CHECK(got.ends_with(LastChunk));
}

TEST_CASE("a stream whose back end answers after its pause, as another one is "
          "connected, stays",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st = startStream(f);
  const auto call = f.Rl->Callers.begin()->second->ActiveCall;
  const Time end = monotonicNow() + Pause;
  while (!call->Standby && monotonicNow() < end)
    f.step();
  REQUIRE(call->Standby);
  call->Connection->LastByteAt = f.Rl->EventLoop.Now;
  f.wait(milliseconds(50));
  CHECK_FALSE(call->Standby);
  CHECK(endsWhole(f, st));
}

TEST_CASE("a stream isn't ended by the rejection of the back end that took it "
          "over",
          "[silent_backend]") {
  TestedFrontLoop f(3);
  const RunningStream st = startStream(f);
  f.wait(Pause);
  const auto [second, rejecting] = f.acceptAny();
  REQUIRE_FALSE(f.receive(rejecting, "\r\n\r\n").empty());
  f.send(rejecting, "HTTP/1.1 503 Full\r\nZinniagauge-Attempt-Id: c-1\r\n"
                    "Zinniagauge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  RunningStream next;
  std::tie(next.At, next.Connection) = f.acceptAny();
  REQUIRE(next.At != second);
  REQUIRE(f.receive(next.Connection, "\r\n\r\n").find("Last-Event-Id: 1") !=
          std::string::npos);
  f.send(next.Connection, streamHead("c-1"));
  CHECK(endsWhole(f, next));
}

TEST_CASE("a second of silence doesn't eject a back end", "[silent_backend]") {
  TestedFrontLoop f(2);
  // Both calls go to the first back end, which then falls silent.
  f.Rl->Backends.at(f.Backends[1].Info.Id)->Running = 8;
  f.request("c-1", {}, "/safe/x");
  const TestSocket first = f.accept(0);
  f.useNewCaller();
  f.request("c-2", {}, "/safe/x");
  const TestSocket second = f.accept(0);
  REQUIRE_FALSE(f.receive(second, "\r\n\r\n").empty());
  f.Rl->Backends.at(f.Backends[1].Info.Id)->Running = 0;
  f.wait(milliseconds(1000));
  const BackendState &silent = *f.Rl->Backends.at(f.Backends[0].Info.Id);
  CHECK(silent.Running == 0);
  CHECK_FALSE(isEjected(silent.Results, f.Rl->EventLoop.Now));
}

TEST_CASE("a silent back end's call moves on although the back end that is "
          "preferred refuses connections",
          "[silent_backend]") {
  TestedFrontLoop f(3);
  const RunningStream st = startStream(f);
  const std::size_t gone = (st.At + 1) % 3;
  const std::size_t sound = (st.At + 2) % 3;
  f.Backends[gone].Listener.reset();
  // Busier, so that it is the second choice.
  f.Rl->Backends.at(f.Backends[sound].Info.Id)->Running = 4;
  f.wait(Pause);
  const RunningStream next{sound, f.accept(sound)};
  REQUIRE(f.receive(next.Connection, "\r\n\r\n").find("Last-Event-Id: 1") !=
          std::string::npos);
  f.send(next.Connection, streamHead("c-1"));
  CHECK(endsWhole(f, next));
}

TEST_CASE("a stream that all back ends reject isn't sent again without end",
          "[silent_backend]") {
  TestedFrontLoop f(2);
  const RunningStream st = startStream(f);
  f.wait(Pause);
  std::size_t sends = 0;
  for (const std::size_t most = MaxForgivenRejections + 4; sends < most;
       ++sends) {
    const TestSocket conn = f.acceptAny().second;
    if (conn.Fd < 0 || f.receive(conn, "\r\n\r\n").empty())
      break;
    f.send(conn, "HTTP/1.1 503 Full\r\nZinniagauge-Attempt-Id: c-1\r\n"
                 "Connection: close\r\nZinniagauge-Not-Run: 1\r\n"
                 "Content-Length: 0\r\n\r\n");
  }
  CHECK(sends <= MaxForgivenRejections + 1);
}
