// Tests of the timing by which proofs of the configuration are renewed.
#include "zinniagauge/decide/freshness.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;

TEST_CASE("proofs are renewed before they are too old, whatever the limits",
          "[freshness]") {
  for (int serve = 800; serve <= 8000; serve += 200)
    for (int deny = 800; deny <= 8000; deny += 200) {
      const FreshnessLimits lim{milliseconds(serve), milliseconds(deny), true};
      const Duration limit = std::min(lim.MaxServeAge, lim.MaxRejectAge);
      const ProofRenewal timing = proofRenewal(lim);
      // A proof is as old as the wait when it arrives, and is used until the
      // next one has arrived; the rest is for the responses to arrive.
      CHECK(timing.LongPollWait * 2 < limit);
      // A process that receives the proofs needs no readings of its own.
      constexpr auto QueryPeriod = milliseconds(600);
      if (limit > QueryPeriod * 2)
        CHECK(timing.LongPollWait * 2 + QueryPeriod <
              timing.MaxSharedAge + milliseconds(300));
      CHECK(timing.MaxSharedAge < limit);
      CHECK(timing.MaxSharedAge > timing.LongPollWait);
    }
  const FreshnessLimits usual;
  CHECK(proofRenewal(usual).LongPollWait * 2 + milliseconds(600) <
        proofRenewal(usual).MaxSharedAge);
  FreshnessLimits open = usual;
  open.FailClosed = false;
  open.MaxServeAge = milliseconds(1);
  CHECK(proofRenewal(open).LongPollWait == proofRenewal(usual).LongPollWait);
}

// Guards against a front in touch that serves by an outdated plan, or refuses
// its callers, because the response to one reading was lost.
TEST_CASE("one lost reading doesn't make a proof too old",
          "[freshness][plan]") {
  for (int apply = 2000; apply <= 8000; apply += 100) {
    const FreshnessLimits lim{milliseconds(3800), milliseconds(apply), true};
    const ProofRenewal timing = proofRenewal(lim);
    const Duration oldest = timing.MaxSharedAge + ProofCheckPeriod +
                            timing.ResponseTimeout + MinReadBackoff;
    CHECK(oldest + milliseconds(50) <
          std::min(lim.MaxServeAge, lim.MaxRejectAge));
  }
}

TEST_CASE("a proof counts for its own plan and for later ones only",
          "[freshness][plan]") {
  const Time now(std::chrono::seconds(50));
  const PlanProof proof{7, toNanos(now - milliseconds(300))};
  CHECK(proofAge(proof, 7, now) == milliseconds(300));
  CHECK(proofAge(proof, 8, now) == milliseconds(300));
  CHECK_FALSE(proofAge(proof, 6, now));
  CHECK_FALSE(proofAge({7, 0}, 7, now));
  CHECK_FALSE(freshnessOf({}, std::nullopt).MayServe);
  CHECK_FALSE(freshnessOf({}, std::nullopt).MayReject);
}
