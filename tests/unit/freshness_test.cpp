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
      CHECK(pace.Old < least);
      CHECK(pace.Old > pace.Wait);
      // No more calls than needed on usual limits.
      CHECK(pace.Wait <= milliseconds(1000));
    }
  const FreshnessLimits usual;
  CHECK(proofPace(usual).Wait >= milliseconds(950));
  FreshnessLimits open = usual;
  open.FailClosed = false;
  open.Serve = milliseconds(1);
  CHECK(proofPace(open).Wait >= milliseconds(950));
}
