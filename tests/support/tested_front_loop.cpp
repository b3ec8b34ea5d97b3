#include "support/tested_front_loop.h"

#include "platform.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>
#include <utility>

namespace zinniagauge::testing {

namespace {

/// Iterations without news after which a test gives up.
constexpr int MaxSteps = 300;

/// Time between iterations.
constexpr Duration StepTime = std::chrono::milliseconds(1);

/// Opens a socket that listens on a port which the system chooses.
TestSocket listenAnywhere() {
  TestSocket out(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
  const sockaddr_in sa = socketAddress({INADDR_LOOPBACK, 0});
  REQUIRE(::bind(out.Fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) ==
          0);
  REQUIRE(::listen(out.Fd, 16) == 0);
  return out;
}

TrafficPlan makePlan() {
  TrafficPlan plan;
  plan.Version = 1;
  plan.Pools = {{"model", PoolId::of("model"), 1}};
  PlanRoute route;
  route.Name = "stream";
  route.Id = RouteId::of("stream");
  route.Host = "h";
  route.Prefix = "/stream/";
  route.Kind = CallKind::Stream;
  route.Timeout = std::chrono::seconds(10);
  route.LatencyTarget = std::chrono::milliseconds(800);
  route.GapTarget = std::chrono::milliseconds(300);
  route.MaxAttempts = 2;
  route.Resumable = true;
  route.Pools = {{PoolId::of("model"), 1}};
  PlanRoute safe = route;
  safe.Name = "safe";
  safe.Id = RouteId::of("safe");
  safe.Prefix = "/safe/";
  safe.Kind = CallKind::Safe;
  PlanRoute unsafe = safe;
  unsafe.Name = "unsafe";
  unsafe.Id = RouteId::of("unsafe");
  unsafe.Prefix = "/unsafe/";
  unsafe.Kind = CallKind::Unsafe;
  unsafe.MaxAttempts = 3;
  plan.Routes = {route, safe, unsafe};
  indexPlan(plan);
  return plan;
}

void onStepTimer(void *ctx, Time /*now*/) {
  static_cast<Loop *>(ctx)->StopRequested = true;
}

} // namespace

PeerAddress addressOf(int fd) {
  sockaddr_in sa{};
  socklen_t len = sizeof sa;
  REQUIRE(::getsockname(fd, reinterpret_cast<sockaddr *>(&sa), &len) == 0);
  return {INADDR_LOOPBACK, ntohs(sa.sin_port)};
}

void runOnce(Loop &lp) {
  LoopTimer timer;
  timer.Fn = onStepTimer;
  timer.Ctx = &lp;
  lp.StopRequested = false;
  std::this_thread::sleep_for(StepTime);
  arm(lp, timer, monotonicNow());
  run(lp);
  disarm(lp, timer);
}

TestSocket::TestSocket(TestSocket &&other) noexcept
    : Fd(std::exchange(other.Fd, -1)) {}

TestSocket &TestSocket::operator=(TestSocket &&other) noexcept {
  std::swap(Fd, other.Fd);
  return *this;
}

void TestSocket::reset(bool abort) noexcept {
  if (Fd < 0)
    return;
  if (abort) {
    const linger opt{1, 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &opt, sizeof opt);
  }
  ::close(std::exchange(Fd, -1));
}

TestedFrontLoop::TestedFrontLoop(std::size_t backends) {
  FrontSettings settings;
  settings.Node = "front";
  settings.Zone = "z";
  settings.Callers = {INADDR_LOOPBACK, 0};
  settings.Retries.Slack = 100;
  Rl = std::make_unique<RequestLoop>(Board, platform::headerNames(), settings,
                                     Log, Metrics);
  Board.Plan.publish(makePlan());
  Board.PlanVersion = 1;
  Board.Proof.publish({1, toNanos(bootNow())});
  Board.LivingFronts = 1;
  for (std::size_t n = 0; n < backends; ++n) {
    TestBackend b;
    b.Listener = listenAnywhere();
    b.Info.Name = "b-" + std::to_string(n);
    b.Info.Id = EndpointId::of(b.Info.Name);
    b.Info.Pool = PoolId::of("model");
    b.Info.Address = addressOf(b.Listener.Fd);
    b.Info.Zone = ZoneId::of("z");
    b.Info.Slots = 8;
    Backends.push_back(std::move(b));
  }
  REQUIRE(startRequestLoop(*Rl));
  publishBackends();
  useNewCaller();
}

void TestedFrontLoop::useNewCaller() {
  if (Caller.Fd >= 0)
    EarlierCallers.push_back(std::move(Caller));
  Caller = TestSocket(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in sa = socketAddress(addressOf(Rl->Listening.Socket.Fd));
  REQUIRE(::connect(Caller.Fd, reinterpret_cast<const sockaddr *>(&sa),
                    sizeof sa) == 0);
}

void TestedFrontLoop::step() {
  runOnce(Rl->EventLoop);
  for (TestedFrontLoop *other : Others)
    runOnce(other->Rl->EventLoop);
}

void TestedFrontLoop::wait(Duration span) {
  const Time end = monotonicNow() + span;
  while (monotonicNow() <= end)
    step();
}

void TestedFrontLoop::publishBackends() {
  BackendList list;
  for (const TestBackend &b : Backends)
    list.List.push_back(b.Info);
  Board.Backends.publish(std::move(list));
  refreshBackends(*Rl);
}

void TestedFrontLoop::request(std::string_view id, std::string_view more,
                              std::string_view path) {
  std::string text = "GET ";
  text.append(path).append(" HTTP/1.1\r\nHost: h\r\n");
  text.append("Zinniagauge-Attempt-Id: ").append(id).append("\r\n");
  text.append(more).append("\r\n");
  REQUIRE(::send(Caller.Fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
}

TestSocket TestedFrontLoop::accept(std::size_t n) {
  for (int steps = 0; steps < MaxSteps; ++steps) {
    const int fd = ::accept(Backends.at(n).Listener.Fd, nullptr, nullptr);
    if (fd >= 0)
      return TestSocket(fd);
    step();
  }
  return TestSocket();
}

std::pair<std::size_t, TestSocket> TestedFrontLoop::acceptAny() {
  for (int steps = 0; steps < MaxSteps; ++steps) {
    for (std::size_t n = 0; n < Backends.size(); ++n)
      if (const int fd = ::accept(Backends[n].Listener.Fd, nullptr, nullptr);
          fd >= 0)
        return {n, TestSocket(fd)};
    step();
  }
  return {Backends.size(), TestSocket()};
}

std::string TestedFrontLoop::receive(const TestSocket &from,
                                     std::string_view end) {
  std::string out;
  std::array<char, 4096> buf{};
  for (int steps = 0; steps < MaxSteps; ++steps) {
    const ssize_t n = ::recv(from.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n == 0)
      break;
    if (n > 0)
      out.append(buf.data(), static_cast<std::size_t>(n));
    else
      step();
    if (out.find(end) != std::string::npos)
      break;
  }
  return out;
}

void TestedFrontLoop::send(const TestSocket &to, std::string_view text) {
  REQUIRE(::send(to.Fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
  step();
  step();
}

} // namespace zinniagauge::testing
