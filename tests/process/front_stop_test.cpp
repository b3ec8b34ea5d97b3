// Tests that a planned stop under load cuts off no call that was accepted.
#include "support/front_deployment.h"

#include <catch2/catch.hpp>

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
