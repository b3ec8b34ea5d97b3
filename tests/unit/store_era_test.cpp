// Tests of what is concluded from a table service that was restored from a
// copy.
#include "zinniagauge/decide/store_era.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time Restored = Time(seconds(100));
constexpr StoreEra Second{2, Restored};

} // namespace

TEST_CASE("a version of a later era is later, whatever its number",
          "[restore]") {
  CHECK(TableVersion{2, 3} > TableVersion{1, 900});
  CHECK(TableVersion{2, 3} != TableVersion{1, 3});
}

TEST_CASE("an answer of an earlier era doesn't bring that era back",
          "[restore]") {
  CHECK(compareEra(Second, 3, Restored) == EraOrder::New);
  CHECK(compareEra(Second, 2, Restored) == EraOrder::Current);
  CHECK(compareEra(Second, 0, Restored) == EraOrder::Current);
  CHECK(compareEra(Second, 1, Restored - milliseconds(1)) ==
        EraOrder::Outdated);
  // Two restores were missed.
  CHECK(compareEra({1, Restored}, 3, Restored) == EraOrder::New);
  // The service was replaced by another one, which counts from the start.
  CHECK(compareEra(Second, 1, Restored + milliseconds(1)) == EraOrder::New);
}

TEST_CASE("a copy confirms a plan only once operators have had time to write "
          "again",
          "[restore]") {
  const PlanRow before{{1, 50}, 13, true};
  const auto soon = Restored + milliseconds(50);
  const auto late = Restored + RewriteGrace;
  // The row is that of the copy: a newer plan may have been lost.
  const PlanRow same = nextPlanRow(before, {2, 50}, 13);
  CHECK_FALSE(confirmsPlan(same, 13, Second, soon));
  CHECK(confirmsPlan(same, 13, Second, late));
  // An older plan never confirms the newer one in force.
  const PlanRow older = nextPlanRow(before, {2, 40}, 11);
  CHECK_FALSE(confirmsPlan(older, 13, Second, late));
  // It was written again.
  const PlanRow again = nextPlanRow(before, {2, 48}, 13);
  CHECK(confirmsPlan(again, 13, Second, soon));
  CHECK(confirmsPlan(nextPlanRow(older, {2, 49}, 13), 13, Second, soon));
  // The copy had a plan that this process hadn't read.
  const PlanRow next = nextPlanRow(before, {2, 52}, 14);
  CHECK_FALSE(confirmsPlan(next, 14, Second, soon));
  CHECK(confirmsPlan(next, 14, Second, late));
}

TEST_CASE("a copy that has no plan confirms none", "[restore]") {
  const PlanRow before{{1, 50}, 13, true};
  CHECK_FALSE(confirmsPlan(before, 13, Second, Restored + seconds(60)));
}

TEST_CASE("a service that was never restored confirms at once", "[restore]") {
  for (const std::uint64_t era : {0U, 1U}) {
    const PlanRow row = nextPlanRow({}, {era, 5}, 4);
    CHECK(confirmsPlan(row, 4, {era, Restored}, Restored));
  }
  CHECK_FALSE(confirmsPlan({}, 0, {1, Restored}, Restored + seconds(9)));
}

TEST_CASE("a plan that can't be read confirms none until another one follows",
          "[restore]") {
  const StoreEra era{1, Restored};
  const PlanRow before = nextPlanRow({}, {1, 5}, 4);
  const PlanRow unreadable = nextPlanRow(before, {1, 7}, UnreadablePlan);
  CHECK_FALSE(confirmsPlan(unreadable, 4, era, Restored + seconds(60)));
  CHECK(confirmsPlan(nextPlanRow(unreadable, {1, 8}, 6), 6, era, Restored));
}
