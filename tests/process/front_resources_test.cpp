// Tests of a front on a machine that is short of something: descriptors, a
// reader of its log, its ports.
#include "support/front_deployment.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

int connectTo(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in sa = socketAddress({INADDR_LOOPBACK, port});
  REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) ==
          0);
  return fd;
}

/// Processor time that the process has used, in clock ticks.
long ticksOf(pid_t id) {
  std::ifstream in("/proc/" + std::to_string(id) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  // The fields after the name, from the state on; the times are the 12th and
  // 13th of them.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < 11; ++n)
    fields >> skipped;
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return user + system;
}

} // namespace

// Guards against a front turning without pause, and refusing everyone, when
// idle callers use all descriptors that it may open.
TEST_CASE("a front whose descriptors are used up goes on serving",
          "[process][resources]") {
  FrontDeployment d;
  const rlimit lim{96, 96};
  REQUIRE(::prlimit(d.Front->id(), RLIMIT_NOFILE, &lim, nullptr) == 0);
  std::vector<int> idle;
  for (int n = 0; n < 160; ++n)
    idle.push_back(connectTo(d.Ports[3]));
  const long before = ticksOf(d.Front->id());
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(ticksOf(d.Front->id()) - before < ::sysconf(_SC_CLK_TCK) / 4);
  CHECK(hasStatus(d.call("/safe/a"), 200));
  for (const int fd : idle)
    ::close(fd);
}

// Guards against a front that may open fewer descriptors than its settings say
// by an ordinary soft limit.
TEST_CASE("a front raises its limit of descriptors to what its settings say",
          "[process][resources]") {
  rlimit own{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &own) == 0);
  REQUIRE(own.rlim_max > 700);
  const rlimit low{96, own.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &low) == 0);
  FrontDeployment d;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &own) == 0);
  rlimit got{};
  REQUIRE(::prlimit(d.Front->id(), RLIMIT_NOFILE, nullptr, &got) == 0);
  CHECK(got.rlim_cur > 512);
}

// Guards against a front that can't end as nobody reads its log.
TEST_CASE("a front whose log isn't read serves and stops",
          "[process][resources]") {
  const bool nonblocking = GENERATE(false, true);
  INFO("pipe without blocking: " << nonblocking);
  FrontDeployment d;
  d.Front->kill();
  int ends[2];
  REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
  if (nonblocking)
    REQUIRE(::fcntl(ends[1], F_SETFL, O_NONBLOCK) == 0);
  REQUIRE(::fcntl(ends[1], F_SETPIPE_SZ, 4096) > 0);
  d.startFront(ends[1]);
  for (int n = 0; n < 100; ++n)
    REQUIRE(hasStatus(d.call("/safe/a"), 200));
  d.Front->signal(SIGTERM);
  CHECK(d.Front->wait(std::chrono::seconds(8)) == 0);
  ::close(ends[0]);
  ::close(ends[1]);
}

// Guards against a front that ends at once as its port is still held.
TEST_CASE("a front waits for a port that is still held",
          "[process][resources]") {
  FrontDeployment d;
  d.Front->kill();
  const std::size_t which = GENERATE(3, 4, 5);
  INFO("port " << which);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in sa = socketAddress({INADDR_LOOPBACK, d.Ports[which]});
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  REQUIRE(::bind(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0);
  REQUIRE(::listen(fd, 1) == 0);
  std::thread release([fd] {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    ::close(fd);
  });
  d.startFront();
  release.join();
  CHECK(hasStatus(d.call("/safe/a"), 200));
}

// Guards against the log being written to a connection that got the descriptor
// of a standard output that was closed at the start.
TEST_CASE("a front that is started without standard output keeps its log from "
          "its connections",
          "[process][resources]") {
  FrontDeployment d;
  d.Front->kill();
  d.Front.emplace(std::vector<std::string>{
      "/bin/sh", "-c",
      "exec " ZINNIA_BINARY_DIR "/zinnia-front " +
          d.Folder.write("settings.json", d.settings().dump()) +
          " <&- >&- 2>&-"});
  REQUIRE(waitForStatus(
      "http://" + loopbackAddress(d.Ports[4]) + "/v1/readiness", 200));
  CHECK(hasStatus(d.call("/safe/a"), 200));
  for (const char *fd : {"0", "1", "2"})
    CHECK(std::filesystem::read_symlink(
              "/proc/" + std::to_string(d.Front->id()) + "/fd/" + fd) ==
          "/dev/null");
}
