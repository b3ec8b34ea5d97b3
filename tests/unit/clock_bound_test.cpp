// Tests of the clock bounds that limit the use of grants.
#include "zinniagauge/zinniagauge.h"

#include "support/seeded.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const VmId Vm = VmId::of("vm");

ClockBound bound(Duration schedulertime, Duration sent) {
  return {Vm, 1, Time(schedulertime), Time(sent), true};
}

Grant grant(Duration issued) {
  Grant g;
  g.Id = {Vm, 1, 7};
  g.IssuedAt = Time(issued);
  g.Ttl = seconds(2);
  return g;
}

} // namespace

TEST_CASE("a grant is used only while it certainly has not expired",
          "[clock_bound]") {
  const ClockBound cb = bound(seconds(500), seconds(10));
  const Grant g = grant(seconds(501));
  CHECK(mayUse(cb, g, Time(seconds(12))));
  CHECK_FALSE(mayUse(cb, g, Time(seconds(13))));
  CHECK_FALSE(mayUse(cb, g, Time(seconds(9))));
}

TEST_CASE("a grant is not used without a recent bound of its issuer",
          "[clock_bound]") {
  const Time now(seconds(10));
  CHECK_FALSE(mayUse(ClockBound{}, grant(seconds(1000)), now));
  ClockBound other = bound(seconds(500), seconds(10));
  other.Incarnation = 2;
  CHECK_FALSE(mayUse(other, grant(seconds(500)), now));
  other = bound(seconds(500), seconds(10));
  other.Scheduler = VmId::of("another");
  CHECK_FALSE(mayUse(other, grant(seconds(500)), now));
  const ClockBound old = bound(seconds(500), seconds(10));
  const Time later = now + MaxBoundAge + milliseconds(1);
  CHECK_FALSE(mayUse(old, grant(seconds(515)), later));
}

TEST_CASE("the tighter bound is kept, a restart replaces it", "[clock_bound]") {
  ClockBound cb = bound(seconds(500), seconds(10));
  // A slow response: its bound is looser by a second.
  tighten(cb, bound(seconds(502), seconds(11)), Time(seconds(12)));
  CHECK(cb.SentAt == Time(seconds(10)));
  tighten(cb, bound(seconds(506), seconds(15)), Time(seconds(16)));
  CHECK(cb.SentAt == Time(seconds(15)));
  ClockBound restarted = bound(seconds(3), seconds(14));
  restarted.Incarnation = 2;
  tighten(cb, restarted, Time(seconds(16)));
  CHECK(cb.Incarnation == 2);
}

TEST_CASE("no grant is used after its expiry, for any delay and drift",
          "[clock_bound]") {
  const auto property = [] {
    const auto micros = [](std::int64_t limit) {
      return Duration(*rc::gen::inRange<std::int64_t>(0, limit) * 1000);
    };
    // The scheduler's clock shows offset + elapsed * (1 + drift).
    const Duration offset = micros(1'000'000'000);
    const auto drift = *rc::gen::inRange<std::int64_t>(-1500, 1500);
    const auto schedulertime = [&](Duration at) {
      return Time(offset + at + at / 1'000'000 * drift);
    };
    const Duration sent = micros(1'000'000);
    const Duration read = sent + micros(3'000'000);
    const Duration issued = micros(8'000'000);
    const Duration used = read + micros(12'000'000);
    ClockBound cb = bound(Duration::zero(), sent);
    cb.SchedulerTime = schedulertime(read);
    Grant g = grant(Duration::zero());
    g.IssuedAt = schedulertime(issued);
    if (mayUse(cb, g, Time(used)))
      RC_ASSERT(schedulertime(used) < g.IssuedAt + g.Ttl);
  };
  CHECK(support::propertyHolds(property, 1, 2000));
}
