#include "support/schedule_history.h"
#include "support/seeded.h"

#include "zinniagauge/board/invariant.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

TEST_CASE("random histories of schedulers keep every invariant",
          "[schedule][random]") {
  // Counted and reported with the history, instead of ending the process.
  setInvariantsFatal(false);
  support::HistoryResult sum;
  const auto property = [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto events = *rc::gen::inRange<std::uint64_t>(1, 300);
    const support::HistoryResult res = support::runHistory(seed, events);
    sum.Granted += res.Granted;
    sum.Shed += res.Shed;
    sum.Lapsed += res.Lapsed;
    sum.Restarts += res.Restarts;
    sum.UsesBarred += res.UsesBarred;
    RC_LOG() << res.Broken;
    RC_ASSERT(res.Broken.empty());
  };
  CHECK(support::holds(property, 4, 10'000));
  setInvariantsFatal(true);
  // The histories reach what they are meant to reach.
  CHECK(sum.Granted > 10'000);
  CHECK(sum.Shed > 1'000);
  CHECK(sum.Lapsed > 1'000);
  CHECK(sum.Restarts > 1'000);
  CHECK(sum.UsesBarred > 1'000);
}
