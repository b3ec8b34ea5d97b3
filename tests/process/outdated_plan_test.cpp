// Tests that a front doesn't rely on a plan that may not be the newest.
#include "support/front_deployment.h"
#include "support/front_fleet.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using namespace zinniagauge::testing;

// Guards against a plan in use after a newer one that can't be read, confirmed
// by the next reading, which returns no row.
TEST_CASE("a plan older than one that can't be read isn't confirmed",
          "[process][front][plan]") {
  const FrontDeployment d;
  REQUIRE(hasStatus(d.call("/unsafe/a"), 200));
  d.control({{"row", rawTableRow("op", "config", "{")}});
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 503); },
                  std::chrono::seconds(6)));
  CHECK_FALSE(hasStatus(d.call("/unsafe/a", "k9"), 401));
  CHECK(hasStatus(d.call("/open/a", ""), 200));
  d.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k2"), 200); }));
  CHECK(hasStatus(d.call("/unsafe/a"), 401));
}

// Guards against changes that aren't in force in time, or never, at fronts
// whose links carry a large configuration slowly.
TEST_CASE("a change of a large configuration is in force in time over narrow "
          "links",
          "[process][front][plan]") {
  const FrontFleet fleet(FleetLinks::Narrow);
  REQUIRE(waitUntil([&] { return fleet.holders() == 3; }));
  const auto lagof = [&](int version, int routes) {
    fleet.D.putRow("op", "config", bigConfigOf(version, {"k1"}, routes));
    const Time acked = monotonicNow();
    const std::string path = "/" + std::to_string(routes - 1) + "/a";
    CHECK(waitUntil([&] { return fleet.allRespond("", 200, path.c_str()); },
                    std::chrono::seconds(10)));
    return monotonicNow() - acked;
  };
  int version = 10;
  for (const int routes : {50, 1450, 4250, 12'000, 12'001}) {
    const Duration lag = lagof(++version, routes);
    INFO(routes << " routes\n" << fleet.planLines());
    CHECK(lag < std::chrono::seconds(2)); // plan_apply
  }
}

// Guards against a configuration that is read again and again, each time up to
// the limit, and against a front that stops to serve for it.
TEST_CASE("a configuration that is too large is reported and the next one "
          "is read",
          "[process][front][plan]") {
  const FrontDeployment d;
  REQUIRE(hasStatus(d.call("/unsafe/a"), 200));
  constexpr std::size_t TooLarge = std::size_t{6} << 20U;
  d.control({{"row", rawTableRow("op", "config", std::string(TooLarge, ' '))}});
  REQUIRE(d.Front->waitForOutput("response too large"));
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 503); }));
  CHECK(hasStatus(d.call("/open/a", ""), 200));
  const std::string metrics =
      callHttp("GET", "http://" + loopbackAddress(d.Ports[5]) + "/metrics")
          .Body;
  const std::string counter =
      "zinnia_table_calls_total{call=\"plan\",result=\"unavailable\"} ";
  const std::size_t at = metrics.find(counter);
  REQUIRE(at != std::string::npos);
  CHECK(std::stoi(metrics.substr(at + counter.size())) <= 2);
  d.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k2"), 200); }));
}
