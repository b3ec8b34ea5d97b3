// Tests that a front sends no calls to the back ends of an evacuated zone, also
// after a restart, while the table service is away and after its restore.
#include "support/front_deployment.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

void evacuate(const FrontDeployment &d, const char *zone) {
  d.putRow("op", std::string("evacuate/") + zone, json::object());
}

void takeBack(const FrontDeployment &d, const char *zone) {
  d.control(
      {{"drop", {{"table", "op"}, {"key", std::string("evacuate/") + zone}}}});
}

/// Moves the second engine to the zone "y".
void useTwoZones(const FrontDeployment &d) {
  json entry = d.engineEntryOf(1, "ready");
  entry["zone"] = "y";
  d.putRow("servers", "i-1", entry);
}

/// Whether a call is refused because of an evacuation and reaches no engine.
bool refusesAsEvacuated(const FrontDeployment &d) {
  const int before = d.countCalls("arrivals");
  const std::string answer = d.call("/unsafe/a");
  return hasStatus(answer, 503) &&
         answer.find("zone evacuated") != std::string::npos &&
         d.countCalls("arrivals") == before;
}

} // namespace

TEST_CASE("no calls are sent to an evacuated zone until it is taken back",
          "[process][front][evacuation]") {
  const FrontDeployment d;
  REQUIRE(hasStatus(d.call("/unsafe/a"), 200));
  evacuate(d, "z");
  CHECK(waitUntil([&] { return refusesAsEvacuated(d); }));
  CHECK(hasStatus(d.call("/stream/a"), 503));
  takeBack(d, "z");
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 200); }));
}

TEST_CASE("the engines of other zones take the calls of an evacuated one",
          "[process][front][evacuation]") {
  const FrontDeployment d;
  useTwoZones(d);
  evacuate(d, "z");
  d.control({{"engine", 0}, {"mode", "reset"}}); // It must not be asked.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (int n = 0; n < 20; ++n)
    CHECK(hasStatus(d.call("/unsafe/a"), 200));
}

TEST_CASE("an evacuated zone stays so over a restart and an outage",
          "[process][front][evacuation]") {
  FrontDeployment d;
  evacuate(d, "z");
  REQUIRE(waitUntil([&] { return refusesAsEvacuated(d); }));
  d.Front.reset();
  d.startFront();
  CHECK(refusesAsEvacuated(d));
  d.control({{"store", "silent"}});
  CHECK(refusesAsEvacuated(d));
}

TEST_CASE("an evacuation holds while a copy lacks it, until operators had time "
          "to write it again",
          "[process][front][evacuation][restore]") {
  const FrontDeployment d;
  d.control({{"copy", true}});
  evacuate(d, "z");
  REQUIRE(waitUntil([&] { return refusesAsEvacuated(d); }));
  d.control({{"restore", true}});
  d.putRow("op", "config", configOf(8, {"k1"}));
  // The row isn't written again, so the evacuation ends only after the second
  // that operators have for it.
  const int before = d.countCalls("arrivals");
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(hasStatus(d.call("/unsafe/a"), 503));
  CHECK(d.countCalls("arrivals") == before);
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 200); }));
}
