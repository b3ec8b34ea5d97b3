// Tests of the decision that a front can't reach a pool, and of what it then
// records.
#include "support/tested_front_loop.h"
#include "zinniagauge/decide/reachability.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration ConnectTime = milliseconds(300);
constexpr Duration Tick = milliseconds(10);

/// What a connection to back end \p id shows that is opened at \p now.
enum class Answer : std::uint8_t { Accepts, Refuses, Drops };

/// A pool on simulated time, evaluated as a front does.
struct SimulatedPool {
  explicit SimulatedPool(std::size_t backends) {
    for (std::size_t n = 0; n < backends; ++n)
      Ids.push_back(EndpointId::of("b-" + std::to_string(n)));
    std::sort(Ids.begin(), Ids.end());
    recordConnected(Reach, Now);
    recordBytes(Reach, Now);
  }

  /// Opens a connection to back end \p n.
  void connect(std::size_t n) {
    ++Opened;
    const EndpointId id = Ids.at(n);
    const Answer answer = Network(n);
    const Time since = Now;
    if (answer == Answer::Accepts)
      recordConnected(Reach, Now);
    else if (answer == Answer::Refuses)
      recordConnectFailure(Reach, id, Now, Now);
    else
      Later.emplace_back(Now + ConnectTime, [this, id, since] {
        recordConnectFailure(Reach, id, since, Now);
      });
  }

  /// Passes \p span; \p each is called every tick.
  void pass(Duration span, const std::function<void()> &each = {}) {
    for (const Time end = Now + span; Now < end;) {
      Now += Tick;
      const auto due =
          std::partition(Later.begin(), Later.end(),
                         [&](const auto &item) { return item.first > Now; });
      const std::vector<std::pair<Time, std::function<void()>>> now(
          due, Later.end());
      Later.erase(due, Later.end());
      for (const auto &item : now)
        item.second();
      if (each)
        each();
      if (Reach.EvaluateAt == Time() || Reach.EvaluateAt > Now)
        continue;
      evaluate(Reach, Ids, Now);
      for (const EndpointId id : startChecks(Reach, Ids, Now))
        connect(static_cast<std::size_t>(std::find(Ids.begin(), Ids.end(), id) -
                                         Ids.begin()));
      if (Reach.State == PoolReach::Unreached && UnreachedAt == Time())
        UnreachedAt = Now;
    }
  }

  PoolReachability Reach;
  std::vector<EndpointId> Ids;
  std::function<Answer(std::size_t)> Network = [](std::size_t) {
    return Answer::Accepts;
  };
  std::vector<std::pair<Time, std::function<void()>>> Later;
  Time Now{seconds(1000)};
  Time UnreachedAt;
  std::size_t Opened = 0;
};

Answer drops(std::size_t /*n*/) { return Answer::Drops; }
Answer refuses(std::size_t /*n*/) { return Answer::Refuses; }
Answer accepts(std::size_t /*n*/) { return Answer::Accepts; }

} // namespace

TEST_CASE("a front that is cut off concludes it after a second, and within "
          "three",
          "[reach]") {
  const std::size_t size = GENERATE(1, 2, 3, 4, 5, 40);
  const auto network = GENERATE(&drops, &refuses);
  SimulatedPool p(size);
  p.pass(seconds(1), [&] { recordBytes(p.Reach, p.Now); });
  p.Network = network;
  const Time cut = p.Now;
  // A single call that goes to another back end once its connection failed.
  p.connect(0);
  p.pass(ConnectTime + Tick);
  p.connect(1 % size);
  p.pass(seconds(3));
  CHECK(p.Reach.State == PoolReach::Unreached);
  CHECK(p.UnreachedAt - cut >= seconds(1));
  CHECK(p.UnreachedAt - cut <= milliseconds(1500));
}

TEST_CASE("one call that can't connect is enough in a pool without traffic",
          "[reach]") {
  SimulatedPool p(8);
  p.pass(seconds(60));
  p.Network = drops;
  const Time cut = p.Now;
  p.connect(3);
  p.pass(seconds(3));
  CHECK(p.Reach.State == PoolReach::Unreached);
  CHECK(p.UnreachedAt - cut <= seconds(2));
}

TEST_CASE("connections that time out without an answer lead to checks",
          "[reach]") {
  SimulatedPool p(8);
  p.pass(seconds(60));
  const Time sent = p.Now;
  p.Network = drops;
  p.pass(milliseconds(1500));
  recordLoss(p.Reach, p.Ids.at(2), sent, p.Now);
  p.pass(seconds(2));
  CHECK(p.Reach.State == PoolReach::Unreached);
  CHECK(p.UnreachedAt - sent <= milliseconds(2500));
}

TEST_CASE("back ends that crash while the others work don't make a pool "
          "unreached",
          "[reach]") {
  const std::size_t dead = GENERATE(1, 2, 5, 7);
  const bool reused = GENERATE(true, false);
  SimulatedPool p(8);
  p.Network = [dead](std::size_t n) {
    return n < dead ? Answer::Refuses : Answer::Accepts;
  };
  // The calls to the others go over connections that are open.
  for (std::size_t n = 0; n < dead; ++n) {
    recordLoss(p.Reach, p.Ids.at(n), p.Now, p.Now);
    p.connect(n);
  }
  p.pass(seconds(5), [&] {
    if (reused)
      recordBytes(p.Reach, p.Now);
  });
  CHECK(p.UnreachedAt == Time());
  CHECK(p.Reach.State == PoolReach::Reached);
  CHECK(p.Reach.EvaluateAt == Time());
}

TEST_CASE("a pool without traffic isn't checked", "[reach]") {
  SimulatedPool p(8);
  p.Network = drops;
  p.pass(seconds(30));
  CHECK(p.Reach.State == PoolReach::Reached);
  CHECK(p.Opened == 0);
}

TEST_CASE("a second of silence of back ends that accept connections isn't a "
          "partition",
          "[reach]") {
  SimulatedPool p(4);
  const Time sent = p.Now;
  p.pass(seconds(1));
  for (const EndpointId id : p.Ids)
    recordLoss(p.Reach, id, sent, p.Now);
  p.pass(seconds(3));
  CHECK(p.UnreachedAt == Time());
  CHECK(p.Reach.State == PoolReach::Reached);
}

TEST_CASE("a link that loses one packet in three isn't a partition",
          "[reach]") {
  const std::size_t size = GENERATE(2, 4, 12);
  SimulatedPool p(size);
  std::uint32_t n = 0;
  p.Network = [&n](std::size_t) {
    return ++n * 2654435761U % 3 == 0 ? Answer::Drops : Answer::Accepts;
  };
  std::uint32_t ticks = 0;
  p.pass(seconds(120), [&] {
    if (++ticks % 7 == 0)
      p.connect(ticks % size);
  });
  CHECK(p.UnreachedAt == Time());
}

TEST_CASE("an interruption of half a second isn't a partition", "[reach]") {
  SimulatedPool p(8);
  p.pass(seconds(10));
  p.Network = drops;
  std::uint32_t ticks = 0;
  p.pass(milliseconds(500), [&] { p.connect(++ticks % 8); });
  p.Network = accepts;
  p.pass(seconds(2));
  CHECK(p.UnreachedAt == Time());
}

TEST_CASE("connections that ran out while the process was paused show nothing",
          "[reach]") {
  SimulatedPool p(6);
  for (const EndpointId id : p.Ids)
    recordConnectFailure(p.Reach, id, p.Now, p.Now);
  evaluate(p.Reach, p.Ids, p.Now);
  SECTION("it had begun to check") { p.Now += seconds(8); }
  SECTION("it hadn't") {
    recordConnected(p.Reach, p.Now);
    evaluate(p.Reach, p.Ids, p.Now);
    const Time opened = p.Now;
    p.Now += seconds(8);
    for (const EndpointId id : p.Ids)
      recordConnectFailure(p.Reach, id, opened, p.Now);
  }
  evaluate(p.Reach, p.Ids, p.Now);
  CHECK(p.Reach.State == PoolReach::Reached);
  p.pass(seconds(3));
  CHECK(p.UnreachedAt == Time());
}

TEST_CASE("while older connections work a pool only takes no new ones",
          "[reach]") {
  SimulatedPool p(8);
  p.Network = refuses;
  p.connect(0);
  p.connect(1);
  p.pass(seconds(3), [&] { recordBytes(p.Reach, p.Now); });
  CHECK(p.Reach.State == PoolReach::NoNewConnections);
  CHECK(p.UnreachedAt == Time());
  p.pass(seconds(3));
  CHECK(p.Reach.State == PoolReach::Unreached);
  // A byte that was late.
  recordBytes(p.Reach, p.Now);
  p.pass(milliseconds(200));
  CHECK(p.Reach.State == PoolReach::NoNewConnections);
  p.pass(seconds(2));
  CHECK(p.Reach.State == PoolReach::Unreached);
  p.Network = accepts;
  p.pass(milliseconds(600));
  CHECK(p.Reach.State == PoolReach::Reached);
  CHECK(p.Reach.EvaluateAt == Time());
}

TEST_CASE("an unreached pool is checked at one back end every half second",
          "[reach]") {
  SimulatedPool p(8);
  p.Network = refuses;
  p.connect(0);
  p.connect(1);
  p.pass(seconds(2));
  REQUIRE(p.Reach.State == PoolReach::Unreached);
  p.Opened = 0;
  SECTION("in turn") {
    std::vector<std::size_t> checked;
    p.Network = [&](std::size_t n) {
      checked.push_back(n);
      return Answer::Refuses;
    };
    p.pass(seconds(4));
    std::sort(checked.begin(), checked.end());
    CHECK(checked == std::vector<std::size_t>{0, 1, 2, 3, 4, 5, 6, 7});
  }
  SECTION("also if its back ends were replaced") {
    p.Ids = {EndpointId::of("new")};
    p.pass(seconds(2));
    CHECK(p.Reach.State == PoolReach::Unreached);
    p.Network = accepts;
    p.pass(milliseconds(600));
    CHECK(p.Reach.State == PoolReach::Reached);
  }
  SECTION("new ones first") {
    p.Ids.push_back(EndpointId::of("new"));
    std::sort(p.Ids.begin(), p.Ids.end());
    p.Network = [&](std::size_t n) {
      return p.Ids[n] == EndpointId::of("new") ? Answer::Accepts
                                               : Answer::Refuses;
    };
    p.pass(milliseconds(600));
    CHECK(p.Reach.State == PoolReach::Reached);
  }
  SECTION("but not without any") {
    p.Ids.clear();
    p.pass(seconds(2));
    CHECK(p.Reach.State == PoolReach::Reached);
    CHECK(p.Reach.EvaluateAt == Time());
  }
}

TEST_CASE("failures of back ends that have left don't count", "[reach]") {
  SimulatedPool p(3);
  p.Network = [](std::size_t n) {
    return n == 0 ? Answer::Accepts : Answer::Refuses;
  };
  p.connect(1);
  p.Ids.erase(p.Ids.begin() + 1);
  p.connect(1);
  p.pass(seconds(3));
  CHECK(p.UnreachedAt == Time());
}

// With real connections -------------------------------------------------------

namespace {

const PoolId Model = PoolId::of("model");

PoolReach stateOf(TestedFrontLoop &f) { return f.Rl->Pools[Model].Reach.State; }

std::vector<PoolId> published(TestedFrontLoop &f) {
  const ReadGuard guard;
  return f.Board.OwnUnreached.read(guard).Pools;
}

/// Waits for \p state at most \p most; returns whether it came.
bool waitFor(TestedFrontLoop &f, PoolReach state, Duration most) {
  const Time end = monotonicNow() + most;
  while (stateOf(f) != state && monotonicNow() < end)
    f.step();
  return stateOf(f) == state;
}

/// Lets back end \p n refuse connections.
void stopListening(TestedFrontLoop &f, std::size_t n) {
  f.Backends.at(n).Listener.reset();
}

/// Lets back end \p n accept connections again, at another port: connections
/// of the test may still use the earlier one.
void listenAgain(TestedFrontLoop &f, std::size_t n) {
  const int fd = boost::leaf::try_handle_all(
      [&] {
        return listenAt({INADDR_LOOPBACK, 0});
      },
      [] { return -1; });
  REQUIRE(fd >= 0);
  f.Backends.at(n).Listener = TestSocket(fd);
  f.Backends.at(n).Info.Address = addressOf(fd);
  f.publishBackends();
}

constexpr std::string_view SoundPrompt =
    "Zinniagauge-Prompt-Prefix: cc:60,dd:500,1:10\r\n";

/// Sends calls with the same prompt until each back end runs one, and returns
/// their connections.
std::vector<TestSocket> runCalls(TestedFrontLoop &f, std::string_view path) {
  std::vector<TestSocket> out;
  for (std::size_t n = 0; n < f.Backends.size(); ++n) {
    f.useNewCaller();
    f.request("c-" + std::to_string(n), SoundPrompt, path);
    out.push_back(f.acceptAny().second);
    REQUIRE(f.receive(out.back(), "\r\n\r\n").starts_with("GET "));
  }
  return out;
}

/// Publishes a move of the pool from version 0 to version 9.
void publishMove(TestedFrontLoop &f) {
  f.Board.PoolMoves.publish(
      {{{Model, MoveId{1}, VersionId{9}, MoveStage::Moving, 0}}});
}

std::uint64_t failures(const TestedFrontLoop &f) {
  std::uint64_t out = 0;
  for (const auto &[key, counts] : f.Rl->MoveStats)
    out += counts.Failures;
  return out;
}

} // namespace

TEST_CASE("a front whose back ends all refuse publishes that it can't reach "
          "their pool, until one accepts again",
          "[reach][front]") {
  TestedFrontLoop f(3);
  stopListening(f, 0);
  stopListening(f, 1);
  stopListening(f, 2);
  f.request("c-1");
  CHECK(waitFor(f, PoolReach::Unreached, seconds(3)));
  CHECK(published(f) == std::vector<PoolId>{Model});
  for (const auto &[id, b] : f.Rl->Backends)
    CHECK_FALSE(isEjected(b->Results, f.Rl->EventLoop.Now));
  listenAgain(f, 0);
  CHECK(waitFor(f, PoolReach::Reached, seconds(3)));
  CHECK(published(f).empty());
}

namespace {

/// Fills the backlog of back end \p n, so that further connections to it hang.
/// Returns the connections that fill it.
std::vector<TestSocket> dropConnections(TestedFrontLoop &f, std::size_t n) {
  const TestSocket &listener = f.Backends.at(n).Listener;
  REQUIRE(::listen(listener.Fd, 0) == 0);
  const sockaddr_in sa = socketAddress(addressOf(listener.Fd));
  std::vector<TestSocket> out;
  for (int count = 0; count < 4; ++count) {
    out.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    static_cast<void>(::connect(
        out.back().Fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa));
  }
  return out;
}

} // namespace

TEST_CASE("a front whose connections hang finds that it can't reach their "
          "pool, and that it can again",
          "[reach][front]") {
  TestedFrontLoop f(3);
  std::vector<std::vector<TestSocket>> fillers;
  for (std::size_t n = 0; n < 3; ++n)
    fillers.push_back(dropConnections(f, n));
  const Time cut = monotonicNow();
  f.request("c-1");
  REQUIRE(waitFor(f, PoolReach::Unreached, seconds(3)));
  CHECK(monotonicNow() - cut >= seconds(1));
  CHECK(published(f) == std::vector<PoolId>{Model});
  const Time end = monotonicNow() + seconds(3);
  fillers.clear();
  while (stateOf(f) != PoolReach::Reached && monotonicNow() < end) {
    for (const TestBackend &b : f.Backends)
      TestSocket(::accept(b.Listener.Fd, nullptr, nullptr)).reset();
    f.step();
  }
  CHECK(published(f).empty());
}

TEST_CASE("a front that one of three back ends refuses reaches their pool",
          "[reach][front]") {
  TestedFrontLoop f(3);
  stopListening(f, 0);
  const Time end = monotonicNow() + seconds(2);
  for (int n = 0; monotonicNow() < end; ++n) {
    f.useNewCaller();
    f.request("c-" + std::to_string(n));
    f.wait(milliseconds(100));
    REQUIRE(stateOf(f) == PoolReach::Reached);
  }
  CHECK(published(f).empty());
}

TEST_CASE("a front that is cut off by resets records no crashes of sound "
          "prompts",
          "[reach][front]") {
  TestedFrontLoop f(6);
  std::vector<TestSocket> conns = runCalls(f, "/stream/x");
  for (std::size_t n = 0; n < 6; ++n)
    stopListening(f, n);
  // One after the other, as if each had crashed by itself.
  for (TestSocket &conn : conns) {
    conn.reset(true);
    f.wait(MinCrashSpacing);
  }
  CHECK(waitFor(f, PoolReach::Unreached, seconds(3)));
  CHECK(f.Rl->Crashes.Crashes.empty());
}

TEST_CASE("a crash of the only back end counts once that was restarted",
          "[reach][front]") {
  TestedFrontLoop f(1);
  std::vector<TestSocket> conns = runCalls(f, "/unsafe/x");
  stopListening(f, 0);
  conns.clear();
  REQUIRE(waitFor(f, PoolReach::Unreached, seconds(3)));
  CHECK(f.Rl->Crashes.Crashes.empty());
  f.Backends.at(0).Info.StartedAtMs = 1;
  f.Backends.at(0).Info.Id = EndpointId::of("b-0@1");
  listenAgain(f, 0);
  CHECK(waitFor(f, PoolReach::Reached, seconds(3)));
  CHECK_FALSE(f.Rl->Crashes.Crashes.empty());
}

TEST_CASE("a front that is cut off by resets holds nothing against a version",
          "[reach][front][move]") {
  TestedFrontLoop f(4);
  publishMove(f);
  std::vector<TestSocket> conns = runCalls(f, "/unsafe/x");
  for (std::size_t n = 0; n < 4; ++n)
    stopListening(f, n);
  for (TestSocket &conn : conns)
    conn.reset(true);
  CHECK(waitFor(f, PoolReach::Unreached, seconds(3)));
  CHECK(failures(f) == 0);
}

TEST_CASE("calls lost at a back end that crashes count against its version",
          "[reach][front][move]") {
  TestedFrontLoop f(4);
  publishMove(f);
  f.request("c-1", {}, "/unsafe/x");
  auto [at, conn] = f.acceptAny();
  REQUIRE(f.receive(conn, "\r\n\r\n").starts_with("GET "));
  stopListening(f, at);
  conn.reset(true);
  f.wait(milliseconds(300));
  CHECK(failures(f) == 1);
  CHECK(stateOf(f) == PoolReach::Reached);
}

TEST_CASE("calls that were lost in a partition count neither during nor after "
          "it",
          "[reach][front][move]") {
  TestedFrontLoop f(1);
  publishMove(f);
  const std::vector<TestSocket> conns = runCalls(f, "/unsafe/x");
  stopListening(f, 0);
  f.useNewCaller();
  f.request("c-9", {}, "/safe/x");
  REQUIRE(waitFor(f, PoolReach::Unreached, seconds(3)));
  listenAgain(f, 0);
  REQUIRE(waitFor(f, PoolReach::Reached, seconds(3)));
  for (const TestSocket &conn : conns)
    ::shutdown(conn.Fd, SHUT_RDWR);
  f.wait(milliseconds(300));
  CHECK(failures(f) == 0);
}

TEST_CASE("while no new connections succeed calls use idle ones only",
          "[reach][front]") {
  TestedFrontLoop f(3);
  f.request("c-0", {}, "/safe/x");
  auto [at, conn] = f.acceptAny();
  REQUIRE(f.receive(conn, "\r\n\r\n").starts_with("GET "));
  f.send(conn, "HTTP/1.1 200 OK\r\nZinniagauge-Response-Seal: s\r\n"
               "Content-Length: 2\r\n\r\nok");
  REQUIRE(f.receive(f.Caller, "ok").starts_with("HTTP/1.1 200"));
  PoolReachability &reach = f.Rl->Pools[Model].Reach;
  reach.State = PoolReach::NoNewConnections;
  reach.ChangedAt = f.Rl->EventLoop.Now;
  for (int n = 1; n <= 3; ++n) {
    f.useNewCaller();
    f.request("c-" + std::to_string(n), {}, "/safe/x");
    f.step();
  }
  CHECK(f.receive(conn, "\r\n\r\n").starts_with("GET "));
  f.wait(milliseconds(20));
  CHECK(f.Rl->BackendConnections.size() == 1);
  CHECK(f.Rl->Pools[Model].Queue.size() == 2);
}

// Guards against a front that waits long in a large pool of which a part is
// gone, since the first that it tried all were.
TEST_CASE("a large pool is soon reached again by its last sound back end",
          "[reach]") {
  SimulatedPool p(40);
  p.Network = [](std::size_t n) {
    return n < 39 ? Answer::Drops : Answer::Accepts;
  };
  p.connect(0);
  p.connect(1);
  p.pass(milliseconds(1500));
  REQUIRE(p.Reach.State == PoolReach::Unreached);
  const Time connected = p.Reach.LastConnectedAt;
  p.pass(seconds(5));
  CHECK(p.Reach.LastConnectedAt > connected);
}
