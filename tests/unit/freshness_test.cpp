#include "zinniagauge/decide/freshness.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;

TEST_CASE("proofs are renewed before they are too old, whatever the limits",
          "[freshness]") {
  for (int serve = 800; serve <= 8000; serve += 200)
    for (int deny = 800; deny <= 8000; deny += 200) {
      const FreshnessLimits lim{milliseconds(serve), milliseconds(deny), true};
      const Duration least = std::min(lim.Serve, lim.Deny);
      const ProofPace pace = proofPace(lim);
      // A proof is as old as the wait when it comes, and is used until the next
      // one has come; what is left is for the answers' way.
      CHECK(pace.Wait * 2 < least);
      // One that is told of it can do without readings of its own.
      constexpr auto AskPeriod = milliseconds(600);
      if (least > AskPeriod * 2)
        CHECK(pace.Wait * 2 + AskPeriod < pace.Old + milliseconds(300));
      CHECK(pace.Old < least);
      CHECK(pace.Old > pace.Wait);
    }
  const FreshnessLimits usual;
  CHECK(proofPace(usual).Wait * 2 + milliseconds(600) < proofPace(usual).Old);
  FreshnessLimits open = usual;
  open.FailClosed = false;
  open.Serve = milliseconds(1);
  CHECK(proofPace(open).Wait == proofPace(usual).Wait);
}
