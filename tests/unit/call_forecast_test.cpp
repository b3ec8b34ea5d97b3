// The request loop refuses and keeps waiting calls by the forecast of their
// start if the back ends of the pool state their pace.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

/// A loop with one back end of one slot that runs a call, and a measured rate
/// of \p persecond sends.
struct BusyFront {
  explicit BusyFront(double persecond) : F(1) {
    F.Backends.at(0).Info.Slots = 1;
    F.publishBackends();
    F.request("c-run");
    Conn = F.accept(0);
    REQUIRE_FALSE(F.receive(Conn, "\r\n\r\n").empty());
    PoolState &pool = F.Rl->Pools[PoolId::of("model")];
    pool.StatesPace = true;
    const auto gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / persecond));
    Time now = F.Rl->EventLoop.Now - 21 * gap;
    pool.Sends = {};
    setCallsWait(pool.Sends, true, now);
    for (int n = 0; n < 20; ++n)
      countSend(pool.Sends, now += gap);
    setCallsWait(pool.Sends, false, now + gap);
  }
  /// Ends the call that runs.
  void endRunning() {
    F.send(Conn, "HTTP/1.1 200 OK\r\nZinniagauge-Response-Seal: s\r\n"
                 "Zinniagauge-Attempt-Id: c-run\r\nKeep-Alive: timeout=60\r\n"
                 "Content-Length: 16\r\n\r\nid: 1\ndata: x\n\n\n");
  }

  TestedFrontLoop F;
  TestSocket Conn;
};

std::string retryAfterIn(const std::string &answer) {
  constexpr std::string_view Name = "Retry-After: ";
  const std::size_t at = answer.find(Name);
  return at == std::string::npos
             ? ""
             : answer.substr(at, answer.find("\r\n", at) - at);
}

} // namespace

TEST_CASE("refused calls get different Retry-After values", "[admission]") {
  // A call a second: only the next one starts within twice the target of 800
  // ms.
  BusyFront b(1);
  b.F.useNewCaller();
  b.F.request("c-next");
  b.F.wait(milliseconds(20));
  PoolState &pool = b.F.Rl->Pools[PoolId::of("model")];
  std::vector<std::string> got;
  for (const char *id : {"c-1", "c-2", "c-3"}) {
    b.F.useNewCaller();
    b.F.request(id);
    const std::string answer = b.F.receive(b.F.Caller, "\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    got.push_back(retryAfterIn(answer));
    CHECK(pool.Queue.size() == 1);
  }
  std::sort(got.begin(), got.end());
  CHECK_FALSE(got.front().empty());
  CHECK(std::unique(got.begin(), got.end()) - got.begin() > 1);
  const std::string text = metricsText(b.F.Metrics);
  CHECK(text.find("zinnia_refusals_total{why=\"would start too late\"} 3") !=
        std::string::npos);
}

TEST_CASE("a call whose forecast fits waits beyond the fixed limit",
          "[admission]") {
  BusyFront b(20);
  b.F.useNewCaller();
  b.F.request("c-2", "Zinniagauge-Deadline-Ms: 9000\r\n", "/safe/x");
  // The fixed limit of plain calls is half of the target of 800 ms.
  b.F.wait(milliseconds(600));
  CHECK(b.F.Rl->Pools[PoolId::of("model")].Queue.size() == 1);
  b.endRunning();
  const std::string request = b.F.receive(b.Conn, "\r\n\r\n");
  CHECK(request.find("GET /safe/x") != std::string::npos);
  CHECK(metricsText(b.F.Metrics).find("zinnia_forecast_error_seconds_count") !=
        std::string::npos);
}

TEST_CASE("the fixed limit holds where back ends don't state their pace",
          "[admission]") {
  BusyFront b(20);
  b.F.Rl->Pools[PoolId::of("model")].StatesPace = false;
  b.F.useNewCaller();
  b.F.request("c-2", "Zinniagauge-Deadline-Ms: 9000\r\n", "/safe/x");
  b.F.wait(milliseconds(500));
  const std::string answer = b.F.receive(b.F.Caller, "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(retryAfterIn(answer) == "Retry-After: 0.400");
}

TEST_CASE("the next call waits although sends had stopped", "[admission]") {
  BusyFront b(0.05); // By this rate it couldn't end before its deadline.
  b.F.useNewCaller();
  b.F.request("c-2");
  b.F.wait(milliseconds(300));
  CHECK(b.F.Rl->Pools[PoolId::of("model")].Queue.size() == 1);
  b.endRunning();
  CHECK_FALSE(b.F.receive(b.Conn, "\r\n\r\n").empty());
}
