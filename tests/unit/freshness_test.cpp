#include "zinniagauge/decide/freshness.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;

TEST_CASE("proofs are renewed before they are too old, whatever the limits",
          "[freshness]") {
  for (int serve = 800; serve <= 8000; serve += 200)
    for (int deny = 800; deny <= 8000; deny += 200) {
      const FreshnessLimits lim{milliseconds(serve), milliseconds(deny), true};
      const Duration least = std::min(lim.MaxServeAge, lim.MaxDenyAge);
      const ProofRenewal pace = proofRenewal(lim);
      // A proof is as old as the wait when it comes, and is used until the next
      // one has come; what is left is for the answers' way.
      CHECK(pace.LongPollWait * 2 < least);
      // One that is told of it can do without readings of its own.
      constexpr auto AskPeriod = milliseconds(600);
      if (least > AskPeriod * 2)
        CHECK(pace.LongPollWait * 2 + AskPeriod <
              pace.MaxSharedAge + milliseconds(300));
      CHECK(pace.MaxSharedAge < least);
      CHECK(pace.MaxSharedAge > pace.LongPollWait);
    }
  const FreshnessLimits usual;
  CHECK(proofRenewal(usual).LongPollWait * 2 + milliseconds(600) <
        proofRenewal(usual).MaxSharedAge);
  FreshnessLimits open = usual;
  open.FailClosed = false;
  open.MaxServeAge = milliseconds(1);
  CHECK(proofRenewal(open).LongPollWait == proofRenewal(usual).LongPollWait);
}
