// Tests that a planned stop under load cuts off no call that was accepted.
#include "support/consortium.h"
#include "support/front_deployment.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;

TEST_CASE("each call that ran during a planned stop gets its response",
          "[process][front]") {
  FrontDeployment d;
  // Responses take 300 ms, so at any time some calls are in progress.
  d.setEngineModes("slow", "slow");
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<bool> ended{false};
  std::vector<std::thread> callers;
  for (int n = 0; n < 6; ++n)
    callers.emplace_back([&, n] {
      for (int k = 0; !ended; ++k) {
        const std::string response = rawCall(
            d.Ports[3],
            "POST /safe/a HTTP/1.1\r\nHost: h.example\r\n"
            "Zinniagauge-Attempt-Id: stop-" +
                std::to_string(n) + "-" + std::to_string(k) +
                "\r\nZinniagauge-Deadline-Ms: 1500\r\n"
                "Zinniagauge-Credential: k1\r\nContent-Length: 2\r\n\r\nhi");
        if (hasStatus(response, 200))
          ++served;
        else if (hasStatus(response, 503))
          ++refused;
        std::this_thread::sleep_for(std::chrono::milliseconds(5 * n));
      }
    });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  d.Front->signal(SIGTERM);
  CHECK(d.Front->wait() == 0);
  ended = true;
  for (std::thread &t : callers)
    t.join();
  CHECK(served > 0);
  CHECK(refused > 0);
  CHECK(d.countCalls("runs") == served);
}

namespace {

/// Calls \p path over a slow line and returns the body, as far as it was
/// received.
std::string slowCall(std::uint16_t port, const std::string &path) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int bufbytes = 16384;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufbytes, sizeof bufbytes);
  const sockaddr_in sa = socketAddress({INADDR_LOOPBACK, port});
  std::string out;
  const std::string text = "GET " + path +
                           " HTTP/1.1\r\nHost: h.example\r\n"
                           "Zinniagauge-Attempt-Id: slow\r\n"
                           "Zinniagauge-Credential: k1\r\n\r\n";
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0 &&
      ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0) {
    std::array<char, 32768> buf{};
    std::size_t end = LargeBodyBytes;
    for (ssize_t n = ::read(fd, buf.data(), buf.size()); n > 0;
         n = ::read(fd, buf.data(), buf.size())) {
      if (out.empty())
        end += std::string_view(buf.data(), buf.size()).find("\r\n\r\n") + 4;
      out.append(buf.data(), static_cast<std::size_t>(n));
      if (out.size() >= end)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(8));
    }
    out.erase(0, end - LargeBodyBytes);
  }
  ::close(fd);
  return out;
}

} // namespace

// Guards against a planned stop that ends while a slow caller reads its answer.
TEST_CASE("a response that is being read during a planned stop is whole",
          "[process][front]") {
  FrontDeployment d;
  d.setEngineModes("large", "large");
  std::string got;
  std::thread caller([&] { got = slowCall(d.Ports[3], "/safe/a"); });
  REQUIRE(waitUntil([&] { return d.countCalls("runs") == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  d.Front->signal(SIGTERM);
  CHECK(d.Front->wait() == 0);
  caller.join();
  CHECK(got.size() == LargeBodyBytes);
}
