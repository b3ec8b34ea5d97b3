// Runs random histories of schedulers against a model.
#include "support/schedule_history.h"
#include "support/seeded.h"

#include "zinniagauge/board/invariant.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

TEST_CASE("random histories of schedulers keep every invariant",
          "[schedule][random]") {
  // Failures are counted and reported with the history, instead of ending the
  // process.
  setInvariantsFatal(false);
  support::HistoryResult sum;
  const auto property = [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto events = *rc::gen::inRange<std::uint64_t>(1, 300);
    const support::HistoryResult res = support::runHistory(seed, events);
    sum.Granted += res.Granted;
    sum.Shed += res.Shed;
    sum.Expired += res.Expired;
    sum.Restarts += res.Restarts;
    sum.UsesPrevented += res.UsesPrevented;
    RC_LOG() << res.Violation;
    RC_ASSERT(res.Violation.empty());
  };
  CHECK(support::propertyHolds(property, 4, 10'000));
  setInvariantsFatal(true);
  // The histories must reach the rare cases often enough.
  CHECK(sum.Granted > 10'000);
  CHECK(sum.Shed > 1'000);
  CHECK(sum.Expired > 1'000);
  CHECK(sum.Restarts > 1'000);
  CHECK(sum.UsesPrevented > 1'000);
}
