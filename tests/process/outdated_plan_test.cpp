// Tests that a front doesn't rely on a plan that may not be the newest.
#include "support/front_deployment.h"

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
