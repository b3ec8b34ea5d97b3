// Tests of calls that a front relays through another one.
#include "support/tested_front_loop.h"

#include "zinniagauge/decide/silence_timeout.h"
#include "zinniagauge/front/reachability.h"
#include "zinniagauge/front/relay.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Token = 0x51ab;

const PoolId Model = PoolId::of("model");

/// An address at which nothing listens.
PeerAddress freeAddress() {
  const TestSocket probe(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in sa = socketAddress({INADDR_LOOPBACK, 0});
  REQUIRE(::bind(probe.Fd, reinterpret_cast<const sockaddr *>(&sa),
                 sizeof sa) == 0);
  return addressOf(probe.Fd);
}

TestSocket connectTo(PeerAddress address) {
  TestSocket out(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in sa = socketAddress(address);
  REQUIRE(::connect(out.Fd, reinterpret_cast<const sockaddr *>(&sa),
                    sizeof sa) == 0);
  return out;
}

/// Lets \p f relay its calls to \p peers and reach no back end by itself.
void cutOff(TestedFrontLoop &f, std::vector<RelayPeer> peers) {
  f.Rl->Settings.RelayAddress = {INADDR_LOOPBACK, 1};
  for (TestBackend &b : f.Backends)
    b.Info.Address = freeAddress();
  f.publishBackends();
  f.Board.RelayPeers.publish({std::move(peers)});
  refreshRelayPeers(*f.Rl);
  f.Rl->Pools[Model].Reach.State = PoolReach::Unreached;
}

/// A front that is cut off, beside others that the test plays by the sockets of
/// its back ends: accept takes connections to these fronts. Only the first is
/// in its zone, so it is preferred.
struct PlayedPeers : TestedFrontLoop {
  explicit PlayedPeers(std::size_t peers) : TestedFrontLoop(peers) {
    std::vector<RelayPeer> list;
    for (std::size_t n = 0; n < peers; ++n)
      list.push_back({n + 1,
                      ZoneId::of(n == 0 ? "z" : "y"),
                      Backends[n].Info.Address,
                      Token,
                      {}});
    cutOff(*this, std::move(list));
  }
};

/// A front that accepts relayed calls.
struct ServingFront : TestedFrontLoop {
  explicit ServingFront(std::size_t backends) : TestedFrontLoop(backends) {
    Board.RelayToken = Token;
    Rl->Settings.RelayAddress = freeAddress();
    REQUIRE(listenForPeers(*Rl));
  }

  [[nodiscard]] RelayPeer peer() const {
    return {1, ZoneId::of("z"), Rl->Settings.RelayAddress, Token, {}};
  }
};

/// A front that is cut off and one that serves its calls.
struct TwoFronts {
  TwoFronts() {
    Own.Others = {&Peer};
    Peer.Others = {&Own};
    cutOff(Own, {Peer.peer()});
  }

  TestedFrontLoop Own{2};
  ServingFront Peer{2};
};

std::string sealed(std::string_view id, std::string_view rest) {
  return "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + std::string(id) +
         "\r\nZinniagauge-Response-Seal: s." + std::string(id) + "\r\n" +
         std::string(rest);
}

std::string plain(std::string_view id) {
  return sealed(id, "Content-Length: 2\r\n\r\nok");
}

/// What a front says of a call that it hasn't run.
std::string refusal(std::string_view id, int attempts = 0,
                    std::string_view more = {}) {
  std::string out = "HTTP/1.1 503 Service Unavailable\r\n"
                    "Zinnia-Relay-Outcome: not_run\r\n";
  writeField(out, relay::Attempts, std::to_string(attempts));
  writeField(out, "Zinniagauge-Attempt-Id", id);
  return out.append(more).append("Content-Length: 2\r\n\r\n{}");
}

std::string eventOf(int n) {
  return "id: " + std::to_string(n) + "\ndata: x\n\n";
}

/// The request of a relayed call, with the fields \p more in place of others of
/// these names; a field without a value is left out.
std::string
relayedRequest(std::vector<std::pair<std::string, std::string>> more = {}) {
  char pool[17] = {};
  std::snprintf(pool, sizeof pool, "%llx",
                static_cast<unsigned long long>(Model.Value));
  std::vector<std::pair<std::string, std::string>> fields = {
      {"Host", "h"},
      {"Zinniagauge-Attempt-Id", "c-1"},
      {"Zinniagauge-Deadline-Ms", "5000"},
      {"Zinnia-Relay-Token", "51ab"},
      {"Zinnia-Relay-Plan", "1,0,1,0,5000,800,300,0,1,1,0,1"},
      {"Zinnia-Relay-Pool", pool},
      {"Zinnia-Relay-Route", "unsafe"}};
  for (auto &field : more) {
    std::erase_if(fields,
                  [&](const auto &f) { return f.first == field.first; });
    fields.push_back(std::move(field));
  }
  std::string out = "GET /unsafe/x HTTP/1.1\r\n";
  for (const auto &[name, value] : fields)
    if (!value.empty())
      out.append(name).append(": ").append(value).append("\r\n");
  return out.append("\r\n");
}

/// Sends \p text to the relay address of \p f and returns the response.
std::string ask(ServingFront &f, std::string_view text) {
  const TestSocket conn = connectTo(f.Rl->Settings.RelayAddress);
  f.send(conn, text);
  return f.receive(conn, "}");
}

bool has(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

std::uint32_t firstSends(const TestedFrontLoop &f) {
  std::uint32_t out = 0;
  for (const auto &sl : f.Rl->Pools.at(Model).Retries.Ring)
    out += sl.FirstSends;
  return out;
}

std::uint32_t retries(const TestedFrontLoop &f) {
  std::uint32_t out = 0;
  for (const auto &sl : f.Rl->Pools.at(Model).Retries.Ring)
    out += sl.Retries;
  return out;
}

} // namespace

TEST_CASE("a call is relayed through a front that reaches the pool",
          "[front][relay]") {
  const std::string path = GENERATE("/unsafe/x", "/safe/x");
  TwoFronts f;
  f.Own.request("c-1", "Zinnia-Relay-Token: 1\r\nX-Own: kept\r\n", path);
  auto [at, conn] = f.Peer.acceptAny();
  const std::string got = f.Peer.receive(conn, "\r\n\r\n");
  CHECK(got.starts_with("GET " + path));
  CHECK(has(got, "Zinniagauge-Attempt-Id: c-1\r\n"));
  CHECK(has(got, "Zinniagauge-Expect-Instance: b-" + std::to_string(at)));
  CHECK(has(got, "X-Own: kept\r\n"));
  CHECK_FALSE(has(got, "Zinnia-Relay"));
  f.Peer.send(conn, plain("c-1"));
  const std::string answer = f.Own.receive(f.Own.Caller, "\r\n\r\nok");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(has(answer, "Zinniagauge-Response-Seal: s.c-1\r\n"));
  CHECK_FALSE(has(answer, "Zinnia-Relay"));
  // The front that the caller reached has counted its first send and the call.
  CHECK(firstSends(f.Own) == 1);
  CHECK(firstSends(f.Peer) == 0);
  CHECK(f.Peer.Rl->Allowances.empty());
  CHECK(f.Peer.Rl->RelayedCalls == 0);
  // The next one uses the same connections.
  f.Own.request("c-2", {}, path);
  REQUIRE(has(f.Peer.receive(conn, "\r\n\r\n"), "c-2"));
  f.Peer.send(conn, plain("c-2"));
  CHECK(has(f.Own.receive(f.Own.Caller, "\r\n\r\nok"), "s.c-2"));
}

TEST_CASE("a front that has lost all back ends serves its callers",
          "[front][relay]") {
  TwoFronts f;
  f.Own.Rl->Pools[Model].Reach = {};
  // Calls fail until the front has concluded that it is cut off.
  const Time end = monotonicNow() + std::chrono::seconds(3);
  for (int n = 0;
       f.Own.Board.OwnUnreached.copy().Pools.empty() && monotonicNow() < end;
       ++n) {
    f.Own.useNewCaller();
    f.Own.request("early-" + std::to_string(n), {}, "/unsafe/x");
    f.Own.wait(milliseconds(100));
  }
  REQUIRE(f.Own.Board.OwnUnreached.copy().Pools == std::vector{Model});
  f.Own.useNewCaller();
  f.Own.request("late", {}, "/unsafe/x");
  const auto [at, conn] = f.Peer.acceptAny();
  while (!has(f.Peer.receive(conn, "\r\n\r\n"), "late") &&
         monotonicNow() < end) {
  }
  f.Peer.send(conn, plain("late"));
  CHECK(f.Own.receive(f.Own.Caller, "ok").starts_with("HTTP/1.1 200"));
}

TEST_CASE("what a back end asks for in a relayed response holds for calls that "
          "are sent to it later",
          "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1", {}, "/safe/x");
  const auto [at, conn] = f.Peer.acceptAny();
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Peer.send(conn, sealed("c-1", "Server-Leaving: 1\r\nContent-Length: 2\r\n"
                                  "\r\nok"));
  const std::string got = f.Own.receive(f.Own.Caller, "ok");
  CHECK(has(got, "Server-Leaving"));
  CHECK_FALSE(has(got, "Zinnia-Relay"));
  const EndpointId id = f.Peer.Backends[at].Info.Id;
  CHECK(f.Peer.Rl->Backends.at(id)->Asked.Leaving);
  CHECK(f.Own.Rl->Backends.at(id)->Asked.Leaving);
}

TEST_CASE("a relayed request states the plan, the time and attempts left",
          "[front][relay]") {
  PlayedPeers f(1);
  f.request("c-1",
            "Zinniagauge-Deadline-Ms: 1500\r\nZinniagauge-Credential: k\r\n"
            "Zinnia-Relay-Token: 1\r\n",
            "/unsafe/x");
  const TestSocket conn = f.accept(0);
  const std::string got = f.receive(conn, "\r\n\r\n");
  CHECK(has(got, "Zinnia-Relay-Token: 51ab\r\n"));
  CHECK(has(got, "Zinnia-Relay-Plan: 1,1,3,0,10000,800,300,"));
  CHECK(has(got, "Zinnia-Relay-Route: unsafe\r\n"));
  CHECK_FALSE(has(got, "Zinnia-Relay-Token: 1\r\n"));
  CHECK_FALSE(has(got, "Zinniagauge-Credential"));
  CHECK_FALSE(has(got, "Zinniagauge-Expect-Instance"));
  const std::size_t at = got.find("Zinniagauge-Deadline-Ms: ");
  REQUIRE(at != std::string::npos);
  const auto left = parseNumber(std::string_view(got).substr(at + 25));
  CHECK(left.value_or(0) > 1000);
  CHECK(left.value_or(9999) <= 1500);
  // A call that may be sent again keeps one attempt at its front.
  f.useNewCaller();
  f.request("c-2", {}, "/safe/x");
  const TestSocket other = f.accept(0);
  CHECK(has(f.receive(other, "\r\n\r\n"), "Zinnia-Relay-Plan: 0,1,1,1,"));
}

TEST_CASE("the deadline of a relayed call holds at the front that serves it",
          "[front][relay]") {
  ServingFront f(1);
  const TestSocket peer = connectTo(f.Rl->Settings.RelayAddress);
  f.send(peer, relayedRequest({{"Zinniagauge-Deadline-Ms", "120"}}));
  const TestSocket conn = f.accept(0);
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  const std::string got = f.receive(peer, "}");
  CHECK(got.starts_with("HTTP/1.1 504"));
  CHECK(has(got, "Zinnia-Relay-Outcome: unknown\r\n"));
  CHECK(has(got, "Zinnia-Relay-Attempts: 1\r\n"));
}

TEST_CASE("a relayed call for another process isn't run", "[front][relay]") {
  ServingFront f(1);
  const std::string got =
      ask(f, relayedRequest({{"Zinnia-Relay-Token", "51ac"}}));
  CHECK(got.starts_with("HTTP/1.1 421"));
  CHECK(has(got, "Zinnia-Relay-Outcome: not_run\r\n"));
  CHECK(has(got, "Connection: close\r\n"));
  CHECK(f.accept(0).Fd < 0);
  CHECK(f.Rl->Callers.size() == 1);
}

// Guards against a call being lost, or run twice, when the process at a peer's
// address isn't the one that reported it.
TEST_CASE("a peer that answers 421 is passed over", "[front][relay]") {
  PlayedPeers f(2);
  f.request("c-1", {}, "/unsafe/x");
  auto [first, conn] = f.acceptAny();
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\n"
               "Content-Length: 0\r\n\r\n");
  const TestSocket other = f.accept(1 - first);
  REQUIRE(has(f.receive(other, "\r\n\r\n"), "c-1"));
  f.send(other, plain("c-1"));
  CHECK(f.receive(f.Caller, "ok").starts_with("HTTP/1.1 200"));
  f.request("c-2", {}, "/unsafe/x");
  CHECK(has(f.receive(other, "\r\n\r\n"), "c-2"));
}

TEST_CASE("what is no relayed call gets the reason and a closed connection",
          "[front][relay]") {
  ServingFront f(1);
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"\x01\x02 nonsense\r\n\r\n", "malformed request"},
      {"GET /unsafe/x HTTP/1.1\r\nHost: h\r\n\r\n", "token missing"},
      {relayedRequest({{"Zinnia-Relay-Token", "zz"}}), "token unreadable"},
      {relayedRequest({{"Zinnia-Relay-Plan", ""}}), "field missing"},
      {relayedRequest({{"Zinnia-Relay-Pool", ""}}), "field missing"},
      {relayedRequest({{"Zinnia-Relay-Route", ""}}), "field missing"},
      {relayedRequest({{"Zinnia-Relay-Pool", "model"}}), "pool unreadable"},
      {relayedRequest({{"Zinnia-Relay-Plan", "1,0,1"}}), "plan unreadable"},
      {relayedRequest(
           {{"Zinnia-Relay-Plan", "1,0,1,0,5000,800,300,0,1,1,0,1,7"}}),
       "plan unreadable"},
      {relayedRequest(
           {{"Zinnia-Relay-Plan", "3,0,1,0,5000,800,300,0,1,1,0,1"}}),
       "plan unreadable"},
      {relayedRequest(
           {{"Zinnia-Relay-Plan", "1,0,0,0,5000,800,300,0,1,1,0,1"}}),
       "plan unreadable"},
      {relayedRequest({{"Zinnia-Relay-Plan", "1,0,1,0,5000,-1,300,0,1,1,0,1"}}),
       "plan unreadable"},
      {relayedRequest({{"Zinnia-Relay-Other", "1"}}), "unknown relay field"},
      {relayedRequest({{"zinnia-relay-token", "51ab"}}), "given twice"},
      {relayedRequest({{"Zinniagauge-Deadline-Ms", ""}}), "time left"}};
  for (const auto &[text, reason] : cases) {
    INFO(text);
    const TestSocket conn = connectTo(f.Rl->Settings.RelayAddress);
    f.send(conn, text);
    const std::string got = f.receive(conn, "}");
    CHECK(got.starts_with("HTTP/1.1 400"));
    CHECK(has(got, reason));
    CHECK(has(got, "Zinnia-Relay-Outcome: not_run\r\n"));
    char byte = 0;
    CHECK(::recv(conn.Fd, &byte, 1, 0) == 0);
  }
  CHECK(f.accept(0).Fd < 0);
}

TEST_CASE("a relayed call that can't be served is refused at once",
          "[front][relay]") {
  ServingFront f(1);
  const ServingFront other(1);
  std::string reason;
  SECTION("its pool isn't known") { reason = "unknown pool"; }
  SECTION("its pool isn't reached, and calls aren't relayed on") {
    f.Board.RelayPeers.publish({{other.peer()}});
    refreshRelayPeers(*f.Rl);
    f.Rl->Pools[Model].Reach.State = PoolReach::Unreached;
    reason = "pool isn't reached";
  }
  SECTION("too many of them are in progress") {
    f.Rl->Settings.MaxDescriptors = 64;
    f.Rl->RelayedCalls = 8;
    reason = "too many relayed calls";
  }
  SECTION("the front is stopping") {
    beginShutdown(*f.Rl);
    reason = "stopping";
  }
  const std::string got = ask(
      f, reason == "unknown pool" ? relayedRequest({{"Zinnia-Relay-Pool", "1"}})
                                  : relayedRequest());
  CHECK(got.starts_with("HTTP/1.1 503"));
  CHECK(has(got, reason));
  CHECK(has(got, "Zinnia-Relay-Outcome: not_run\r\n"));
  CHECK(has(got, "Zinnia-Relay-Attempts: 0\r\n"));
  CHECK(has(got, "Zinnia-Relay-Unreached: 1\r\n") ==
        (reason == "pool isn't reached"));
  CHECK(f.accept(0).Fd < 0);
}

TEST_CASE("the connections of other fronts are bounded", "[front][relay]") {
  ServingFront f(1);
  f.Rl->Settings.MaxDescriptors = 64;
  std::vector<TestSocket> conns;
  for (int n = 0; n < 24; ++n) {
    conns.push_back(connectTo(f.Rl->Settings.RelayAddress));
    f.step();
  }
  CHECK(f.Rl->PeerConnections == 16);
  conns.clear();
  f.wait(milliseconds(10));
  CHECK(f.Rl->PeerConnections == 0);
}

// Guards against a request whose header is as large as callers' may be failing
// between the fronts, where it has more fields.
TEST_CASE("the largest header of a caller is relayed", "[front][relay]") {
  TwoFronts f;
  f.Own.Rl->Limits.MaxHeadBytes = f.Peer.Rl->Limits.MaxHeadBytes = 1000;
  f.Own.request("c-1", "X-Long: " + std::string(880, 'x') + "\r\n",
                "/unsafe/x");
  const TestSocket conn = f.Peer.acceptAny().second;
  CHECK(has(f.Peer.receive(conn, "\r\n\r\n"), "X-Long: xxx"));
}

TEST_CASE("a call that a front hasn't run goes to another one",
          "[front][relay]") {
  PlayedPeers f(3);
  f.request("c-1", {}, "/unsafe/x");
  std::vector<std::size_t> asked;
  for (int n = 0; n < 3; ++n) {
    auto [at, conn] = f.acceptAny();
    REQUIRE(has(f.receive(conn, "\r\n\r\n"), "Zinnia-Relay-Plan: 1,1,3,"));
    asked.push_back(at);
    f.send(conn, n < 2 ? refusal("c-1") : plain("c-1"));
  }
  std::sort(asked.begin(), asked.end());
  CHECK(asked == std::vector<std::size_t>{0, 1, 2});
  CHECK(f.receive(f.Caller, "ok").starts_with("HTTP/1.1 200"));
  CHECK(retries(f) == 0);
}

TEST_CASE("attempts that a front used count for the call", "[front][relay]") {
  PlayedPeers f(2);
  f.request("c-1", {}, "/unsafe/x");
  auto [first, conn] = f.acceptAny();
  REQUIRE(has(f.receive(conn, "\r\n\r\n"), "Plan: 1,1,3,"));
  f.send(conn, refusal("c-1", 2));
  const TestSocket other = f.accept(1 - first);
  REQUIRE(has(f.receive(other, "\r\n\r\n"), "Plan: 1,1,1,"));
  CHECK(retries(f) == 1);
  f.send(other, refusal("c-1", 1));
  const std::string got = f.receive(f.Caller, "}");
  CHECK(got.starts_with("HTTP/1.1 503"));
  CHECK_FALSE(has(got, "Zinnia-Relay"));
}

// Guards against a call ending for want of other fronts when a back end behind
// the only one was full.
TEST_CASE("a front whose back end was full gets the call again",
          "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1", {}, "/safe/x");
  for (int n = 0; n < 2; ++n) {
    const TestSocket conn = f.Peer.acceptAny().second;
    REQUIRE(has(f.Peer.receive(conn, "\r\n\r\n"), "c-1"));
    f.Peer.send(conn, n > 0 ? plain("c-1")
                            : "HTTP/1.1 503 Full\r\nZinniagauge-Not-Run: 1\r\n"
                              "Zinniagauge-Attempt-Id: c-1\r\n"
                              "Connection: close\r\n"
                              "Content-Length: 0\r\n\r\n");
  }
  CHECK(f.Own.receive(f.Own.Caller, "ok").starts_with("HTTP/1.1 200"));
  CHECK(retries(f.Own) + retries(f.Peer) == 1);
}

// Guards against each call asking the same fronts that are cut off, too, until
// their reports say so.
TEST_CASE("a front that doesn't reach the pool is asked once in a while",
          "[front][relay]") {
  PlayedPeers f(2);
  f.request("c-1", {}, "/unsafe/x");
  const TestSocket first = f.accept(0);
  REQUIRE(has(f.receive(first, "\r\n\r\n"), "c-1"));
  f.send(first, refusal("c-1", 0, "Zinnia-Relay-Unreached: 1\r\n"));
  const TestSocket other = f.accept(1);
  REQUIRE(has(f.receive(other, "\r\n\r\n"), "c-1"));
  f.send(other, plain("c-1"));
  REQUIRE(f.receive(f.Caller, "ok").starts_with("HTTP/1.1 200"));
  f.request("c-2", {}, "/unsafe/x");
  CHECK(has(f.receive(other, "\r\n\r\n"), "c-2"));
  f.send(other, plain("c-2"));
  f.wait(std::chrono::seconds(1));
  f.request("c-3", {}, "/unsafe/x");
  CHECK(has(f.receive(first, "\r\n\r\n"), "c-3"));
}

TEST_CASE("a call that no front takes is refused as not run",
          "[front][relay]") {
  PlayedPeers f(2);
  f.request("c-1", {}, "/unsafe/x");
  for (int n = 0; n < 2; ++n) {
    const TestSocket conn = f.acceptAny().second;
    REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
    f.send(conn, refusal("c-1"));
  }
  f.wait(milliseconds(300));
  CHECK(f.receive(f.Caller, "}").starts_with("HTTP/1.1 503"));
}

// Guards against a call running twice when the connection between fronts is
// lost.
TEST_CASE("a call whose peer is lost is sent again only if it may run twice",
          "[front][relay]") {
  PlayedPeers f(2);
  f.request("c-1", {}, "/unsafe/x");
  auto [first, conn] = f.acceptAny();
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  conn.reset(true);
  CHECK(f.receive(f.Caller, "}").starts_with("HTTP/1.1 502"));
  CHECK(f.acceptAny().second.Fd < 0);

  f.wait(milliseconds(800)); // The peer is no longer passed over.
  f.useNewCaller();
  f.request("c-2", {}, "/safe/x");
  std::tie(first, conn) = f.acceptAny();
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  conn.reset(true);
  TestSocket other = f.accept(1 - first);
  REQUIRE(has(f.receive(other, "\r\n\r\n"), "Plan: 0,1,1,0,"));
  CHECK(retries(f) == 1);
  // That was its last attempt.
  other.reset(true);
  CHECK(f.receive(f.Caller, "}").starts_with("HTTP/1.1 502"));
}

TEST_CASE("a relayed stream is resumed through another front",
          "[front][relay]") {
  PlayedPeers f(2);
  f.request("c-1");
  auto [first, conn] = f.acceptAny();
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, sealed("c-1", "Transfer-Encoding: chunked\r\n\r\n"));
  std::string chunk;
  writeChunk(chunk, eventOf(1) + eventOf(2) + "id: 3\nda");
  f.send(conn, chunk);
  REQUIRE(has(f.receive(f.Caller, eventOf(2)), "HTTP/1.1 200"));
  conn.reset();
  const TestSocket other = f.accept(1 - first);
  const std::string again = f.receive(other, "\r\n\r\n");
  CHECK(has(again, "Last-Event-Id: 2\r\n"));
  CHECK(has(again, "Zinnia-Relay-Token"));
  f.send(other,
         sealed("c-1", "Content-Length: " + std::to_string(eventOf(3).size()) +
                           "\r\n\r\n" + eventOf(3)));
  CHECK(has(f.receive(f.Caller, "\r\n0\r\n\r\n"), eventOf(3)));
}

// Guards against a call waiting for a silent back end since the front that
// serves it has no attempt left.
TEST_CASE("a silent back end of a relayed call is replaced", "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1", {}, "/safe/x");
  const TestSocket silent = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(silent, "\r\n\r\n").empty());
  f.Peer.wait(milliseconds(850));
  const TestSocket next = f.Peer.acceptAny().second;
  REQUIRE(has(f.Peer.receive(next, "\r\n\r\n"), "c-1"));
  f.Peer.send(next, plain("c-1"));
  CHECK(f.Own.receive(f.Own.Caller, "ok").starts_with("HTTP/1.1 200"));
  CHECK(retries(f.Own) + retries(f.Peer) == 1);
}

TEST_CASE("a relayed stream that can't be resumed is broken off",
          "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1");
  auto [at, conn] = f.Peer.acceptAny();
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Peer.send(conn, sealed("c-1", "\r\n") + eventOf(1));
  REQUIRE(has(f.Own.receive(f.Own.Caller, eventOf(1)), "200"));
  // One attempt each: of the serving front, and the one that was kept.
  conn.reset(true);
  TestSocket last;
  while (last.Fd < 0 || f.Peer.receive(last, "\r\n\r\n").empty())
    last = f.Peer.acceptAny().second;
  f.Peer.send(last, sealed("c-1", "\r\n") + eventOf(2));
  REQUIRE(has(f.Own.receive(f.Own.Caller, eventOf(2)), eventOf(2)));
  last.reset(true);
  CHECK_FALSE(has(f.Own.receive(f.Own.Caller, "\r\n0\r\n"), "\r\n0\r\n"));
}

TEST_CASE("events of a relayed stream are passed on as they arrive",
          "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1");
  TestSocket conn = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Peer.send(conn, sealed("c-1", "\r\n"));
  for (int n = 1; n <= 3; ++n) {
    f.Peer.send(conn, eventOf(n));
    CHECK(has(f.Own.receive(f.Own.Caller, eventOf(n)), eventOf(n)));
  }
  conn.reset();
  CHECK(has(f.Own.receive(f.Own.Caller, "0\r\n\r\n"), "0\r\n\r\n"));
}

// Guards against the fronts buffering a stream for a caller that reads slowly,
// and against taking the pause for silence.
TEST_CASE("a relayed stream waits for a slow caller", "[front][relay]") {
  TwoFronts f;
  std::string events;
  for (int n = 1; events.size() < std::size_t{16} << 20U; ++n)
    events += "id: " + std::to_string(n) + "\ndata: " + std::string(4000, 'x') +
              "\n\n";
  f.Own.request("c-1");
  TestSocket conn = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Peer.send(conn, sealed("c-1", "\r\n"));
  std::string_view rest = events;
  const auto sendmore = [&] {
    const ssize_t n =
        ::send(conn.Fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    rest.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
  };
  const Time end = monotonicNow() + MinGapTimeout * 2 + milliseconds(200);
  while (monotonicNow() < end) {
    sendmore();
    f.Own.step();
  }
  CHECK_FALSE(rest.empty());
  for (const TestedFrontLoop *front :
       {static_cast<const TestedFrontLoop *>(&f.Own),
        static_cast<const TestedFrontLoop *>(&f.Peer)})
    for (const auto &[key, c] : front->Rl->Callers)
      CHECK(pendingBytes(c->Tcp) < std::size_t{1} << 20U);
  std::string got;
  std::vector<char> buf(std::size_t{1} << 16U);
  for (int idle = 0; idle < 300 && !got.ends_with("\r\n0\r\n\r\n");) {
    if (!rest.empty())
      sendmore();
    else
      conn.reset();
    const ssize_t n =
        ::recv(f.Own.Caller.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    idle = n > 0 ? 0 : idle + 1;
    if (n > 0)
      got.append(buf.data(), static_cast<std::size_t>(n));
    else
      f.Own.step();
  }
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Response, 4096, events.size() * 2);
  readMessage(p, got, body);
  CHECK(stateOf(p) == ParseState::Done);
  CHECK((body == events));
}

TEST_CASE("a caller that leaves ends the attempt of its relayed call",
          "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1");
  const TestSocket conn = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Own.Caller.reset();
  f.Own.wait(milliseconds(30));
  char byte = 0;
  CHECK(::recv(conn.Fd, &byte, 1, MSG_DONTWAIT) == 0);
  CHECK(f.Own.Rl->ActiveCalls == 0);
  CHECK(f.Peer.Rl->ActiveCalls == 0);
}

TEST_CASE("a back end's failure is passed on unchanged", "[front][relay]") {
  TwoFronts f;
  for (const int status : {400, 404, 500}) {
    INFO(status);
    const std::string id = "c-" + std::to_string(status);
    f.Own.useNewCaller();
    f.Own.request(id, {}, "/unsafe/x");
    const TestSocket conn = f.Peer.acceptAny().second;
    REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
    std::string answer;
    writeStatusLine(answer, status);
    writeField(answer, "Zinniagauge-Attempt-Id", id);
    answer.append("Zinniagauge-Response-Seal: s\r\nConnection: close\r\n"
                  "Content-Length: 4\r\n\r\nwhy!");
    f.Peer.send(conn, answer);
    const std::string got = f.Own.receive(f.Own.Caller, "why!");
    CHECK(got.starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(has(got, "Zinniagauge-Response-Seal: s\r\n"));
    CHECK(has(got, "why!"));
  }
}

// Guards against a failure that names no call ending as a lost connection
// between the fronts.
TEST_CASE("a failure that names no call is passed on", "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1", {}, "/unsafe/x");
  const TestSocket conn = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Peer.send(conn, "HTTP/1.1 500 Bad\r\nContent-Length: 4\r\n\r\nwhy!");
  CHECK(f.Own.receive(f.Own.Caller, "why!").starts_with("HTTP/1.1 500"));
}

// Guards against a process that isn't a front being taken for one.
TEST_CASE("what answers at a peer's address without naming the call is lost",
          "[front][relay]") {
  PlayedPeers f(1);
  const std::string answer =
      GENERATE("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
               "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: c-1\r\n"
               "Content-Length: 0\r\n\r\n",
               "SSH-2.0-x\r\n");
  f.request("c-1", {}, "/unsafe/x");
  const TestSocket conn = f.accept(0);
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, answer);
  CHECK(f.receive(f.Caller, "}").starts_with("HTTP/1.1 502"));
}

TEST_CASE("a HEAD request is relayed", "[front][relay]") {
  TwoFronts f;
  for (const char *id : {"c-1", "c-2"}) {
    f.Own.useNewCaller();
    f.Own.send(f.Own.Caller, "HEAD /safe/x HTTP/1.1\r\nHost: h\r\n"
                             "Zinniagauge-Attempt-Id: " +
                                 std::string(id) + "\r\n\r\n");
    const TestSocket conn = f.Peer.acceptAny().second;
    REQUIRE(f.Peer.receive(conn, "\r\n\r\n").starts_with("HEAD /safe/x"));
    f.Peer.send(conn, sealed(id, "Connection: close\r\n"
                                 "Content-Length: 7\r\n\r\n"));
    const std::string got = f.Own.receive(f.Own.Caller, "\r\n\r\n");
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(has(got, "Content-Length: 7\r\n"));
  }
}

TEST_CASE("a front that stops finishes relayed calls and takes no more",
          "[front][relay][stop]") {
  TwoFronts f;
  f.Own.request("c-0", {}, "/safe/x"); // Leaves an idle connection.
  TestSocket conn = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(conn, "\r\n\r\n").empty());
  f.Own.useNewCaller();
  f.Own.request("c-1", {}, "/unsafe/x");
  const TestSocket running = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(running, "\r\n\r\n").empty());
  f.Peer.send(conn, plain("c-0"));
  beginShutdown(*f.Peer.Rl);
  // A call on the idle connection is told that it hasn't run.
  f.Own.useNewCaller();
  f.Own.request("c-2", {}, "/unsafe/x");
  f.Own.wait(milliseconds(500));
  CHECK(f.Own.receive(f.Own.Caller, "}").starts_with("HTTP/1.1 503"));
  f.Peer.send(running, plain("c-1"));
  CHECK(f.Own.receive(f.Own.EarlierCallers.back(), "ok")
            .starts_with("HTTP/1.1 200"));
  CHECK(f.Peer.Rl->ActiveCalls == 0);
}

TEST_CASE("without a relay address nothing is relayed", "[front][relay]") {
  TestedFrontLoop f(1);
  ServingFront other(1);
  CHECK(f.Rl->PeerListening.Socket.Fd < 0);
  f.Board.RelayPeers.publish({{other.peer()}});
  refreshRelayPeers(*f.Rl);
  CHECK(f.Rl->Peers.empty());
  f.Rl->Pools[Model].Reach.State = PoolReach::Unreached;
  f.request("c-1", {}, "/safe/x");
  CHECK(f.accept(0).Fd >= 0);
}

TEST_CASE("a peer that vanishes is kept until its connections end",
          "[front][relay]") {
  PlayedPeers f(1);
  f.request("c-1", {}, "/unsafe/x");
  const TestSocket conn = f.accept(0);
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.Board.RelayPeers.publish({});
  refreshRelayPeers(*f.Rl);
  CHECK(f.Rl->Peers.size() == 1);
  f.send(conn, plain("c-1"));
  CHECK(f.receive(f.Caller, "ok").starts_with("HTTP/1.1 200"));
  refreshRelayPeers(*f.Rl);
  CHECK(f.Rl->Peers.empty());
}

TEST_CASE("calls aren't relayed to a front that doesn't reach their pool",
          "[front][relay]") {
  PlayedPeers f(2);
  RelayPeerList list;
  {
    const ReadGuard guard;
    list = f.Board.RelayPeers.read(guard);
  }
  list.List[0].Unreached = {Model};
  f.Board.RelayPeers.publish(std::move(list));
  std::vector<TestSocket> conns;
  for (const char *id : {"c-1", "c-2", "c-3"}) {
    f.useNewCaller();
    f.request(id, {}, "/unsafe/x");
    conns.push_back(f.accept(1));
    CHECK(conns.back().Fd >= 0);
  }
}

// Guards against a front without a route to a peer choosing it again for each
// call, as it has no calls there.
TEST_CASE("a peer to which no socket can be opened is passed over",
          "[front][relay]") {
  PlayedPeers f(2);
  std::vector<RelayPeer> list = f.Board.RelayPeers.copy().List;
  list[0].Address = {0xE0000001, 1}; // Multicast: connecting fails at once.
  list[0].Token = Token + 1;
  f.Board.RelayPeers.publish({std::move(list)});
  refreshRelayPeers(*f.Rl);
  f.request("c-1", {}, "/unsafe/x");
  const TestSocket conn = f.accept(1);
  REQUIRE(has(f.receive(conn, "\r\n\r\n"), "c-1"));
  f.send(conn, plain("c-1"));
  CHECK(f.receive(f.Caller, "ok").starts_with("HTTP/1.1 200"));
}

// Guards against a call running at more back ends than its route allows.
TEST_CASE("a failure counts with the attempts that the serving front used",
          "[front][relay]") {
  TwoFronts f;
  f.Own.request("c-1", {}, "/safe/x");
  const TestSocket silent = f.Peer.acceptAny().second;
  REQUIRE_FALSE(f.Peer.receive(silent, "\r\n\r\n").empty());
  f.Peer.wait(milliseconds(850));
  const TestSocket next = f.Peer.acceptAny().second;
  REQUIRE(has(f.Peer.receive(next, "\r\n\r\n"), "c-1"));
  f.Peer.send(next, "HTTP/1.1 500 Broken\r\nZinniagauge-Attempt-Id: c-1\r\n"
                    "Content-Length: 2\r\n\r\n{}");
  const std::string got = f.Own.receive(f.Own.Caller, "{}");
  CHECK(got.starts_with("HTTP/1.1 500"));
  CHECK_FALSE(has(got, "Zinnia-Relay"));
}

// Guards against a relayed call waiting in vain while another front could serve
// it.
TEST_CASE("queued relayed calls are refused once their pool isn't reached",
          "[front][relay]") {
  ServingFront f(1);
  f.Rl->Backends.at(f.Backends[0].Info.Id)->Running = 8;
  const TestSocket peer = connectTo(f.Rl->Settings.RelayAddress);
  f.send(peer, relayedRequest(
                   {{"Zinnia-Relay-Plan", "1,0,1,0,5000,4000,300,0,1,1,0,1"}}));
  f.wait(milliseconds(50));
  PoolState &pool = f.Rl->Pools[Model];
  REQUIRE(pool.Queue.size() == 1);
  pool.Reach.State = PoolReach::Unreached;
  onPoolReachChanged(*f.Rl, Model);
  CHECK(pool.Queue.empty());
  const std::string got = f.receive(peer, "}");
  CHECK(got.starts_with("HTTP/1.1 503"));
  CHECK(has(got, "Zinnia-Relay-Outcome: not_run\r\n"));
  CHECK(has(got, "Zinnia-Relay-Unreached: 1\r\n"));
}

TEST_CASE("a silent back end's stream moves to a relay peer and back",
          "[front][relay]") {
  TestedFrontLoop own(1);
  ServingFront serving(1);
  own.Others = {&serving};
  serving.Others = {&own};
  own.request("c-1");
  const TestSocket first = own.accept(0);
  REQUIRE_FALSE(own.receive(first, "\r\n\r\n").empty());
  own.send(first, sealed("c-1", "Transfer-Encoding: chunked\r\n\r\n"));
  std::string chunk;
  writeChunk(chunk, eventOf(1));
  own.send(first, chunk);
  REQUIRE(has(own.receive(own.Caller, eventOf(1)), "200"));
  own.Rl->Callers.begin()->second->ActiveCall->Facts.MaxAttempts = 4;
  const PeerAddress reached = own.Backends[0].Info.Address;
  cutOff(own, {serving.peer()});
  own.Rl->Pools[Model].Reach.ChangedAt = own.Rl->EventLoop.Now;
  own.wait(MinGapTimeout + milliseconds(300));
  const TestSocket second = serving.accept(0);
  REQUIRE(has(serving.receive(second, "\r\n\r\n"), "Last-Event-Id: 1"));
  chunk.clear();
  writeChunk(chunk, eventOf(2));
  serving.send(second, sealed("c-1", "Transfer-Encoding: chunked\r\n\r\n"));
  serving.send(second, chunk);
  REQUIRE(has(own.receive(own.Caller, eventOf(2)), eventOf(2)));
  own.Backends[0].Info.Id = EndpointId::of("new");
  own.Backends[0].Info.Address = reached;
  own.publishBackends();
  own.Rl->Pools[Model].Reach = {};
  own.wait(MinGapTimeout + milliseconds(1300));
  const TestSocket third = own.accept(0);
  REQUIRE(has(own.receive(third, "\r\n\r\n"), "Last-Event-Id: 2"));
  own.send(third, sealed("c-1", "Content-Length: " +
                                    std::to_string(eventOf(3).size()) +
                                    "\r\n\r\n" + eventOf(3)));
  CHECK(has(own.receive(own.Caller, "\r\n0\r\n\r\n"), eventOf(3)));
  own.wait(milliseconds(50));
  CHECK(serving.Rl->RelayedCalls == 0);
  CHECK(serving.Rl->ActiveCalls == 0);
  CHECK(own.Rl->ActiveCalls == 0);
}
