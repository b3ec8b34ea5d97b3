// Slots of coordinators: who may claim one, and whom a front reports to.
#include "zinniagauge/decide/coordinator.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace zinniagauge;
using std::chrono::seconds;

namespace {

CoordinatorRow row(const char *zone, std::uint32_t slot, const char *node,
                   std::uint64_t heartbeat, std::uint64_t version) {
  CoordinatorRow r;
  r.Key = slotKey(zone, slot);
  r.Zone = zone;
  r.Node = node;
  r.Heartbeat = heartbeat;
  r.GroupSize = 10;
  r.Version = version;
  return r;
}

} // namespace

TEST_CASE("a slot is free if it has no row or isn't renewed", "[coordinator]") {
  CoordinatorTable table;
  updateCoordinators(
      table, std::vector{row("a", 0, "x", 1, 5), row("a", 1, "y", 1, 6)}, 1,
      Time(seconds(1)));
  REQUIRE(claimableSlot(table, "a"));
  CHECK(claimableSlot(table, "a")->Key == slotKey("a", 2));
  CHECK(claimableSlot(table, "a")->ExpectedVersion == 0);
  std::uint64_t beat = 1;
  for (int t = 5; t <= 13; t += 4) {
    ++beat;
    updateCoordinators(table,
                       std::vector{row("a", 0, "x", 1, 5),
                                   row("a", 1, "y", beat, 6 + beat),
                                   row("a", 2, "z", beat, 60 + beat)},
                       1, Time(seconds(t)));
  }
  REQUIRE(claimableSlot(table, "a"));
  CHECK(claimableSlot(table, "a")->Key == slotKey("a", 0));
  CHECK(claimableSlot(table, "a")->ExpectedVersion == 5);
  CHECK(livingFronts(table) == 20);
  CHECK(zonesWithVacancy(table) == std::vector<std::string>{"a"});
}

TEST_CASE("holders keep their slots through an outage of the table",
          "[coordinator]") {
  CoordinatorTable table;
  const std::vector rows = {row("a", 0, "x", 1, 5), row("a", 1, "y", 1, 6),
                            row("a", 2, "z", 1, 7)};
  updateCoordinators(table, rows, 1, Time(seconds(1)));
  // No reading for a minute; no holder could renew its row either.
  updateCoordinators(table, rows, 1, Time(seconds(61)));
  CHECK_FALSE(claimableSlot(table, "a"));
  CHECK(livingFronts(table) == 30);
  updateCoordinators(table, rows, 1, Time(seconds(65)));
  updateCoordinators(table, rows, 1, Time(seconds(69)));
  CHECK(claimableSlot(table, "a")); // They don't renew it now that they could.
}

TEST_CASE("a front knows its slot by its name, also after a restart",
          "[coordinator]") {
  CoordinatorTable table;
  updateCoordinators(table, std::vector{row("a", 1, "x", 1, 5)}, 1,
                     Time(seconds(1)));
  REQUIRE(heldSlot(table, "x"));
  CHECK(heldSlot(table, "x")->Key == slotKey("a", 1));
  CHECK(heldSlot(table, "x")->ExpectedVersion == 5);
  CHECK_FALSE(heldSlot(table, "y"));
}

TEST_CASE("fronts spread over the coordinators of their zone",
          "[coordinator]") {
  CoordinatorTable table;
  updateCoordinators(
      table,
      std::vector{row("a", 0, "a0", 1, 1), row("a", 1, "a1", 1, 2),
                  row("a", 2, "a2", 1, 3), row("b", 0, "b0", 1, 4)},
      1, Time(seconds(1)));
  std::map<std::string, int> chosen;
  for (int n = 0; n < 60; ++n) {
    const auto order =
        coordinatorOrder(table, "front-" + std::to_string(n), "a");
    REQUIRE(order.size() == 4);
    ++chosen[order.front().Node];
    CHECK(order.back().Node == "b0");
  }
  CHECK(chosen.size() == 3);
  for (const auto &[node, count] : chosen)
    CHECK(count >= 10);
  // A coordinator doesn't report to itself.
  CHECK(coordinatorOrder(table, "a0", "a").size() == 3);
}

TEST_CASE("machines with more processor time claim slots first",
          "[coordinator]") {
  CHECK(claimDelay(0.5, 1.0) < claimDelay(0.12, 0.0));
  CHECK(claimDelay(0.12, 1.0) < seconds(4));
  CHECK(claimDelay(0.5, 0.0) > Duration::zero());
}

TEST_CASE("a restored table that lacks a slot's row leaves the slot to its "
          "holder",
          "[coordinator][restore]") {
  CoordinatorTable table;
  updateCoordinators(
      table, std::vector{row("a", 0, "x", 9, 50), row("a", 1, "y", 7, 52)}, 1,
      Time(seconds(1)));
  // In the copy another front still holds slot 0, and slot 1 is free.
  updateCoordinators(table, std::vector{row("a", 0, "z", 3, 40)}, 2,
                     Time(seconds(5)));
  REQUIRE(heldSlot(table, "x"));
  CHECK(heldSlot(table, "x")->ExpectedVersion == 40);
  CHECK(heldSlot(table, "x")->Era == 2);
  REQUIRE(heldSlot(table, "y"));
  CHECK(heldSlot(table, "y")->ExpectedVersion == 0);
  CHECK_FALSE(heldSlot(table, "z"));
  CHECK(claimableSlot(table, "a")->Key == slotKey("a", 2));
  // Later readings of the era count as usual.
  updateCoordinators(
      table, std::vector{row("a", 0, "x", 10, 44), row("a", 1, "w", 1, 45)}, 2,
      Time(seconds(9)));
  CHECK(heldSlot(table, "x")->ExpectedVersion == 44);
  CHECK(heldSlot(table, "w"));
  CHECK_FALSE(heldSlot(table, "y"));
}
