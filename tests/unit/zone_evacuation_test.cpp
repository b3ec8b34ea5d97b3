// Tests which zones are evacuated after readings of the operators' rows that
// are late, incomplete or of another era.
#include "platform.h"
#include "zinniagauge/decide/zone_evacuation.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;

namespace {

const Time Now{std::chrono::seconds(100)};

bool isEmpty(const EvacuationOrders &orders, const char *zone) {
  return isEvacuated(evacuatedZones(orders), ZoneId::of(zone));
}

} // namespace

TEST_CASE("zones are evacuated from their order to its deletion",
          "[evacuation]") {
  EvacuationOrders orders;
  CHECK(applyEvacuation(orders, "a", {1, 10}));
  CHECK(applyEvacuation(orders, "b", {1, 11}));
  CHECK_FALSE(applyEvacuation(orders, "a", {1, 12}));
  CHECK(isEmpty(orders, "a"));
  CHECK(isEmpty(orders, "b"));
  CHECK_FALSE(isEmpty(orders, "c"));
  CHECK(endEvacuation(orders, "a", {1, 13}, Now));
  CHECK_FALSE(isEmpty(orders, "a"));
  CHECK(isEmpty(orders, "b"));
  const EvacuatedZones zones = evacuatedZones(orders);
  CHECK(zones.Ended == std::vector<EndedEvacuation>{{ZoneId::of("a"), Now}});
}

TEST_CASE("a deletion that is older than the order doesn't end it",
          "[evacuation]") {
  EvacuationOrders orders;
  applyEvacuation(orders, "a", {1, 10});
  CHECK_FALSE(endEvacuation(orders, "a", {1, 9}, Now));
  CHECK(isEmpty(orders, "a"));
  // Versions go back in a new era, but a deletion there is later.
  CHECK(endEvacuation(orders, "a", {2, 3}, Now));
  CHECK_FALSE(isEmpty(orders, "a"));
}

TEST_CASE("an order that a full reading lacks holds until the reading counts",
          "[evacuation]") {
  EvacuationOrders orders;
  applyEvacuation(orders, "a", {1, 10});
  applyEvacuation(orders, "b", {1, 11});
  beginFullReading(orders);
  applyEvacuation(orders, "b", {2, 5});
  CHECK(lacksOrders(orders));
  CHECK(isEmpty(orders, "a"));
  const auto dropped = dropMissingOrders(orders, Now);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].ZoneName == "a");
  CHECK_FALSE(lacksOrders(orders));
  CHECK_FALSE(isEmpty(orders, "a"));
  CHECK(isEmpty(orders, "b"));
}

TEST_CASE("an evacuation is known by the key of its row only", "[platform]") {
  const auto zone = [](const std::string &key, const std::string &value) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
          return platform::parseEvacuation({key, value, 1, false});
        },
        [](const Error &err) { return std::string(toString(err.Code)); },
        [] { return std::string("unknown"); });
  };
  CHECK(zone("evacuate/split-a", "{}") == "split-a");
  CHECK(zone("evacuate/split-a", "no JSON") == "split-a");
  CHECK(zone("evacuate/", "{}") == toString(ErrorCode::Invalid));
  CHECK(zone("evacuate/" + std::string(201, 'z'), "{}") ==
        toString(ErrorCode::Invalid));
  CHECK(zone("config", "{}") == toString(ErrorCode::NotFound));
}
