// Sends of other processes that aren't known yet: many processes with the same
// view of a pool must not all choose the back end that looks best.
#include "zinniagauge/decide/random.h"
#include "zinniagauge/decide/unseen_sends.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A pool of \p count engines with different speeds and some load.
std::vector<Candidate> pool(std::size_t count) {
  std::vector<Candidate> out;
  for (std::size_t n = 0; n < count; ++n) {
    Candidate c;
    c.Id = EndpointId{n + 1};
    c.Slots = 8;
    c.Running = static_cast<double>(n % 4);
    c.EventMs = 20.0 + static_cast<double>(n % 7) * 5;
    out.push_back(c);
  }
  return out;
}

CallEstimate work() {
  CallEstimate w;
  w.PromptTokens = 2000;
  w.ExpectedEvents = 20;
  w.PromptTokenMs = 0.02;
  w.TargetLeftMs = 1000;
  w.TimeLeftMs = 12000;
  return w;
}

/// The most calls that one engine gets if \p processes choose at once from the
/// same view, each assuming that up to \p expected others chose before.
std::size_t mostAtOne(std::size_t processes, double expected) {
  std::vector<std::size_t> chosen(160);
  std::uint64_t random = 7;
  for (std::size_t n = 0; n < processes; ++n) {
    std::vector<Candidate> list = pool(chosen.size());
    ChoicePlace place;
    placeAssumedSends(list, work(), {},
                      assumedSends(place, expected, milliseconds(60),
                                   Time(seconds(1)), random));
    if (const auto at = chooseBackend(list, work(), {}))
      ++chosen[*at];
  }
  return *std::max_element(chosen.begin(), chosen.end());
}

} // namespace

TEST_CASE("processes with the same view spread over the back ends",
          "[choice]") {
  CHECK(mostAtOne(64, 0) == 64); // Without assumed sends all choose the same.
  // With them no engine gets more than its slots.
  CHECK(mostAtOne(64, 63) <= 8);
}

TEST_CASE("assumed sends leave no slot if there are more of them than slots",
          "[choice]") {
  std::vector<Candidate> list = pool(2);
  placeAssumedSends(list, work(), {}, 1000);
  CHECK_FALSE(chooseBackend(list, work(), {}));
}

TEST_CASE("choosing again before sends are known gives no better place",
          "[choice]") {
  ChoicePlace place;
  std::uint64_t random = 3;
  const std::size_t first =
      assumedSends(place, 200, milliseconds(60), Time(seconds(1)), random);
  for (int n = 1; n < 6; ++n)
    CHECK(assumedSends(place, 200, milliseconds(60),
                       Time(seconds(1)) + milliseconds(10 * n),
                       random) == first);
  std::size_t least = first;
  for (int n = 1; n < 60; ++n)
    least = std::min(least, assumedSends(place, 200, milliseconds(60),
                                         Time(seconds(1 + n)), random));
  CHECK(least < 20); // Each process has its turn.
}

TEST_CASE("few unseen sends are ignored", "[choice]") {
  ChoicePlace place;
  std::uint64_t random = 3;
  CHECK(assumedSends(place, -4, milliseconds(60), Time(seconds(1)), random) ==
        0);
}

TEST_CASE("the rate of arrivals follows the load", "[choice]") {
  ArrivalRate rate;
  Time now(seconds(10));
  for (int n = 0; n < 400; ++n) {
    now += milliseconds(50);
    countArrival(rate, now);
  }
  CHECK(arrivalsPerSecond(rate, now) == Approx(20).epsilon(0.1));
  CHECK(arrivalsPerSecond(rate, now + seconds(10)) < 1);
}
