#include "support/dispatch_history.h"

#include "support/seeded.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace zinniagauge::testing;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Histories = 10000;
constexpr std::size_t MaxChoices = 1500;

/// Runs a history of the choices \p list; after its end the choices count up.
std::string runList(const std::vector<std::uint16_t> &list,
                    HistoryCounts &counts) {
  std::size_t next = 0;
  std::uint64_t count = 0;
  const ChoiceFn choose = [&]() -> std::uint64_t {
    ++count;
    return next < list.size() ? list[next++] : count;
  };
  return runDispatchHistory(choose, list.size() / 3, counts);
}

} // namespace

TEST_CASE("the invariants of requests hold in random histories",
          "[dispatch][random]") {
  HistoryCounts counts;
  const bool ok = zinniagauge::support::propertyHolds(
      [&] {
        const auto size = *rc::gen::inRange<std::size_t>(30, MaxChoices);
        const auto list = *rc::gen::container<std::vector<std::uint16_t>>(
            size, rc::gen::inRange<std::uint16_t>(0, 65535));
        RC_ASSERT(runList(list, counts) == "");
      },
      Seed, Histories);
  CHECK(ok);
  INFO(describe(counts));
  // The histories must reach each of these cases often enough.
  CHECK(counts.Runs > 10000);
  CHECK(counts.Completed > 1000);
  CHECK(counts.NotRun > 1000);
  CHECK(counts.Unknown > 1000);
  CHECK(counts.Failed > 100);
  CHECK(counts.Resumes > 100);
  CHECK(counts.ExpiredGrants > 100);
  CHECK(counts.Kills > 1000);
  CHECK(counts.LostClaimResponses > 1000);
}
