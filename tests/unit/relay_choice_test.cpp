// Tests of the choice of the front through which a call is relayed.
#include "zinniagauge/decide/relay_choice.h"

#include <catch2/catch.hpp>

#include <array>
#include <set>

using namespace zinniagauge;

TEST_CASE("a call is relayed through the own zone's least used front",
          "[relay]") {
  std::uint64_t random = 1;
  std::array<RelayCandidate, 4> list = {{{true, false, false, 0},
                                         {true, true, false, 3},
                                         {true, true, false, 2},
                                         {true, true, false, 2}}};
  std::set<std::size_t> chosen;
  for (int n = 0; n < 100; ++n)
    chosen.insert(chooseRelayPeer(list, 9, random).value());
  CHECK(chosen == std::set<std::size_t>{2, 3});
  list[2].Usable = false;
  list[3].Tried = true;
  CHECK(chooseRelayPeer(list, 9, random) == 1U);
  // Those of the own zone are full, or were tried.
  CHECK(chooseRelayPeer(list, 3, random) == 0U);
  list[0].Usable = false;
  CHECK(chooseRelayPeer(list, 3, random) == 3U);
  CHECK_FALSE(chooseRelayPeer(list, 2, random));
}

TEST_CASE("the attempts of a relayed call never exceed the call's own",
          "[relay]") {
  CallFacts facts;
  facts.Kind = GENERATE(CallKind::Safe, CallKind::Unsafe, CallKind::Stream);
  facts.Resumable = GENERATE(false, true);
  for (facts.MaxAttempts = 1; facts.MaxAttempts < 5; ++facts.MaxAttempts)
    for (facts.SentAttempts = 0; facts.SentAttempts < facts.MaxAttempts;
         ++facts.SentAttempts) {
      const std::uint32_t left = facts.MaxAttempts - facts.SentAttempts;
      const std::uint32_t peers = attemptsForPeer(facts);
      CHECK(peers >= 1);
      CHECK(peers + (keepsAttempt(facts) ? 1 : 0) == left);
      // What a peer that was lost may have run can't run again.
      CHECK((isRetrySafe(facts) || !keepsAttempt(facts)));
    }
}
