// Tests of calls that crash each back end that runs them, and that come again.
#include "support/consortium.h"
#include "support/front_fleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// Back ends that such a call may end: three, and three that it reaches before
/// all fronts have heard of them.
constexpr int MostCrashes = 6;

/// Lists the engines under an incarnation that rises with each crash.
void listEngines(const FrontDeployment &d) {
  const auto response =
      callHttp("GET", "http://" + loopbackAddress(d.Ports[0]) + "/stand-in");
  const auto engines = nlohmann::json::parse(response.Body);
  for (std::size_t n = 0; n < engines.size(); ++n)
    d.putRow("servers", "i-" + std::to_string(n),
             engineEntry(d.Ports[1 + n], "ready",
                         2000 + engines[n].at("crashes").get<int>()));
}

/// Makes a call that crashes its back end, and waits until that is back.
std::string deadlyCall(const FrontDeployment &d, const std::string &path,
                       std::uint16_t port = 0) {
  std::string response = d.call(path, "k1", {}, port, DeadlyBody);
  std::this_thread::sleep_for(CrashDowntime + std::chrono::milliseconds(100));
  listEngines(d);
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  return response;
}

} // namespace

TEST_CASE("a plain call that crashes its back ends is refused in the end",
          "[process][front][quarantine]") {
  const FrontDeployment d;
  const char *path = GENERATE("/unsafe/a", "/safe/a");
  for (int n = 0; n < 7; ++n)
    static_cast<void>(deadlyCall(d, path));
  CHECK(d.countCalls("crashes") >= 3);
  CHECK(d.countCalls("crashes") <= MostCrashes);
  const int runs = d.countCalls("runs");
  CHECK(hasStatus(deadlyCall(d, path), 503));
  CHECK(d.countCalls("runs") == runs); // The refusal is true.
  CHECK(hasStatus(d.call(path), 200));
}

TEST_CASE("all fronts together stop a plain call that crashes its back ends",
          "[process][front][quarantine]") {
  const FrontFleet fleet;
  const FrontDeployment &d = fleet.D;
  for (int n = 0; n < 2; ++n) {
    static_cast<void>(deadlyCall(d, "/unsafe/a"));
    for (const auto &p : fleet.Ports)
      static_cast<void>(deadlyCall(d, "/unsafe/a", p[0]));
  }
  CHECK(d.countCalls("crashes") <= MostCrashes);
  CHECK(fleet.allRespond("k1", 200));
}

TEST_CASE("sound calls beside one that crashes its back ends are served again",
          "[process][front][quarantine]") {
  const FrontDeployment d;
  for (int n = 0; n < 5; ++n) {
    static_cast<void>(deadlyCall(d, "/unsafe/a"));
    // A lookup that everybody makes, and calls of their own.
    static_cast<void>(d.call("/safe/a"));
    static_cast<void>(d.call("/unsafe/a", "k1", {}, 0, std::to_string(n)));
  }
  for (int n = 0; n < 5; ++n) {
    CHECK(hasStatus(d.call("/safe/a"), 200));
    CHECK(hasStatus(
        d.call("/unsafe/a", "k1", {}, 0, "own " + std::to_string(n)), 200));
  }
}
