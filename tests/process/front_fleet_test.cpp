// Tests several fronts of one zone: three coordinate, the others report to one
// of them, and the loss of a coordinator stops nothing.
#include "support/front_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace zinniagauge;
using namespace zinniagauge::testing;

TEST_CASE("three fronts of a zone coordinate, and one of them may die",
          "[process][front]") {
  FrontFleet fleet;
  REQUIRE(waitUntil([&] { return fleet.holders() == 3; }));
  // The others are members: their coordinator reads the store for them.
  CHECK(waitUntil([&] {
    return std::all_of(
        fleet.More.begin(), fleet.More.end(), [&](const auto &f) {
          return FrontFleet::holdsSlot(*f) ||
                 f->output().find("\"event\":\"reads_for_others\","
                                  "\"reads\":0") != std::string::npos;
        });
  }));
  CHECK(fleet.allRespond("k1", 200));

  const auto victim =
      std::find_if(fleet.More.begin(), fleet.More.end(),
                   [](const auto &f) { return FrontFleet::holdsSlot(*f); });
  REQUIRE(victim != fleet.More.end());
  (*victim)->signal(SIGKILL);
  fleet.Ports[static_cast<std::size_t>(victim - fleet.More.begin())].clear();
  CHECK(fleet.allRespond("k1", 200));

  // Changes of the plan and of the back ends still reach all fronts.
  fleet.D.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return fleet.allRespond("k1", 401); }));
  CHECK(fleet.allRespond("k2", 200));
  fleet.D.putRow("servers", "i-0", fleet.D.engineEntryOf(0, "draining"));
  fleet.D.setEngineModes("reset", "ok");
  CHECK(waitUntil([&] {
    for (int n = 0; n < 3; ++n)
      if (!fleet.allRespond("k2", 200))
        return false;
    return true;
  }));
}
