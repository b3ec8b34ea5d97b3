#include "support/dispatch_history.h"

#include "support/seeded.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace zinniagauge::testing;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Histories = 10000;
constexpr std::size_t MostChoices = 1500;

/// A history of the choices \p list; zeros follow its end.
std::string runList(const std::vector<std::uint16_t> &list,
                    HistoryCounts &counts) {
  std::size_t at = 0;
  std::uint64_t taken = 0;
  const ChoiceFn choose = [&]() -> std::uint64_t {
    ++taken;
    return at < list.size() ? list[at++] : taken;
  };
  return runDispatchHistory(choose, list.size() / 3, counts);
}

} // namespace

TEST_CASE("what must always hold of requests holds in random histories",
          "[dispatch][random]") {
  HistoryCounts counts;
  const bool ok = zinniagauge::support::propertyHolds(
      [&] {
        const auto size = *rc::gen::inRange<std::size_t>(30, MostChoices);
        const auto list = *rc::gen::container<std::vector<std::uint16_t>>(
            size, rc::gen::inRange<std::uint16_t>(0, 65535));
        RC_ASSERT(runList(list, counts) == "");
      },
      Seed, Histories);
  CHECK(ok);
  INFO(describe(counts));
  // The histories reach what they are for.
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
