// Tests of fronts whose table service was restored from a copy: versions go
// back, and are then given out for other rows.
#include "support/front_fleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// Waits until three of the fronts coordinate, so that the others rely on one
/// that reads for them.
void waitForCoordinators(const FrontFleet &fleet) {
  REQUIRE(waitUntil([&] { return fleet.holders() == 3; }));
}

/// How many times \p text occurs in \p log.
std::size_t countIn(const std::string &log, const std::string &text) {
  std::size_t count = 0;
  for (std::size_t at = log.find(text); at != std::string::npos;
       at = log.find(text, at + text.size()))
    ++count;
  return count;
}

void writeConfig(const FrontDeployment &d, int version, const char *key) {
  d.putRow("op", "config", configOf(version, {key}));
}

} // namespace

TEST_CASE("a plan written after the store came back from a copy is in force at "
          "every front",
          "[process][front][restore]") {
  FrontFleet fleet;
  const FrontDeployment &d = fleet.D;
  waitForCoordinators(fleet);
  d.control({{"copy", true}});
  for (int version = 8; version <= 12; ++version)
    writeConfig(d, version, "k1");
  writeConfig(d, 13, "k2");
  REQUIRE(waitUntil([&] { return fleet.allRespond("k2", 200); }));
  d.control({{"restore", true}});
  writeConfig(d, 13, "k2");
  CHECK(fleet.allRespond("k2", 200));
  writeConfig(d, 14, "k3");
  CHECK(waitUntil([&] { return fleet.allRespond("k3", 200); }));
  CHECK(fleet.allRespond("k2", 401));
}

TEST_CASE("a plan whose row got the version of an earlier one in a new era is "
          "in force at every front",
          "[process][front][restore]") {
  FrontFleet fleet;
  const FrontDeployment &d = fleet.D;
  waitForCoordinators(fleet);
  d.control({{"copy", true}});
  writeConfig(d, 9, "k2");
  REQUIRE(waitUntil([&] { return fleet.allRespond("k2", 200); }));
  d.control({{"restore", true}});
  writeConfig(d, 11, "k3");
  CHECK(waitUntil([&] { return fleet.allRespond("k3", 200); }));
  CHECK(fleet.allRespond("k2", 401));
}

TEST_CASE("a change isn't missed when versions pass the one last read in a new "
          "era",
          "[process][front][restore]") {
  const FrontDeployment d;
  d.control({{"copy", true}});
  for (int version = 8; version <= 12; ++version)
    writeConfig(d, version, "k2");
  REQUIRE(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k2"), 200); }));
  // The front can't read while the store is away.
  d.control({{"store", "silent"}});
  d.control({{"restore", true}});
  writeConfig(d, 14, "k3");
  for (int n = 0; n < 8; ++n)
    d.putRow("status", "other", n);
  d.control({{"store", "ok"}});
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k3"), 200); }));
  CHECK(hasStatus(d.call("/unsafe/a", "k2"), 401));
}

TEST_CASE("a copy with an older plan doesn't confirm the newer one",
          "[process][front][restore]") {
  const FrontDeployment d;
  d.control({{"copy", true}});
  writeConfig(d, 9, "k2");
  REQUIRE(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k2"), 200); }));
  d.control({{"restore", true}});
  // What the operator wrote isn't back. The front's plan may not be the newest,
  // and keys may be accepted only while it is known to be.
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k2"), 503); }));
  CHECK_FALSE(hasStatus(d.call("/unsafe/a", "k1"), 200));
  writeConfig(d, 9, "k2");
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a", "k2"), 200); }));
}

TEST_CASE("a copy without any plan confirms none",
          "[process][front][restore]") {
  const FrontDeployment d;
  REQUIRE(hasStatus(d.call("/unsafe/a"), 200));
  d.control({{"copy", true}, {"without", "op"}});
  d.control({{"restore", true}});
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 503); }));
  writeConfig(d, 7, "k1");
  CHECK(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 200); }));
}

TEST_CASE("coordinators keep their slots when the copy lacks them",
          "[process][front][restore]") {
  const FrontDeployment d;
  const auto slots = [&] {
    const auto res = callHttp("GET", "http://" + loopbackAddress(d.Ports[0]) +
                                         "/v1/rows-get?table=fronts&part=");
    return nlohmann::json::parse(res.Body).at("rows").size();
  };
  // The copy is of a time before any front held a slot.
  d.control({{"copy", true}, {"without", "fronts"}});
  REQUIRE(waitUntil([&] { return slots() == 1; }));
  d.control({{"restore", true}});
  REQUIRE(slots() == 0);
  CHECK(waitUntil([&] { return slots() == 1; }));
}

TEST_CASE("back ends that the copy lacks stay in use until they are listed "
          "again",
          "[process][front][restore]") {
  const FrontDeployment d;
  d.putRow("servers", "i-0", d.engineEntryOf(0, "ready"));
  REQUIRE(hasStatus(d.call("/unsafe/a"), 200));
  d.control({{"copy", true}, {"without", "servers"}});
  d.control({{"restore", true}});
  // A front reads the list about once a second; the entries are back within
  // two seconds.
  bool served = true;
  for (int n = 0; n < 15; ++n) {
    served = served && hasStatus(d.call("/unsafe/a"), 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(served);
  for (int n = 0; n < 2; ++n)
    d.putRow("servers", "i-" + std::to_string(n), d.engineEntryOf(n, "ready"));
  for (int n = 0; n < 20; ++n) {
    served = served && hasStatus(d.call("/unsafe/a"), 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(served);
}

TEST_CASE("a version move that was rolled back isn't begun again when the copy "
          "lacks its record",
          "[process][front][restore]") {
  const FrontDeployment d;
  const auto records = [&] {
    const auto res = callHttp("GET", "http://" + loopbackAddress(d.Ports[0]) +
                                         "/v1/rows-get?table=status&part=");
    return nlohmann::json::parse(res.Body).at("rows").size();
  };
  const auto count = [&](const std::string &text) {
    return countIn(d.Front->output(), text);
  };
  const nlohmann::json order = {
      {"service", "pool"}, {"target", "v2"}, {"duration_s", 4}};
  d.control({{"copy", true}});
  d.putRow("op", "rollout/pool", order);
  // There is no back end of the version, so nothing shows that it is good.
  REQUIRE(waitUntil([&] {
    return count("\"event\":\"version_share\"") == 3 && records() == 1;
  }));
  d.control({{"restore", true}});
  d.putRow("servers", "i-0", d.engineEntryOf(0, "ready"));
  d.putRow("op", "rollout/pool", order);
  CHECK(waitUntil([&] { return records() == 1; }));
  std::this_thread::sleep_for(std::chrono::seconds(4));
  CHECK(count("\"event\":\"version_decision\"") == 1);
  CHECK(count("\"event\":\"version_share\"") == 3);
}
