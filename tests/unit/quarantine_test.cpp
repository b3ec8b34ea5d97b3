// Tests of the quarantine of traits that crash back ends.
#include "zinniagauge/decide/quarantine.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr CallTraitId Deadly{7};
constexpr CallTraitId Common{1};

/// One front's evidence on fake time.
struct Front {
  CrashEvidence Evidence;
  Time Now = Time(seconds(100));

  /// A new back end crashed under call \p call with \p trait.
  void crash(CallTraitId trait, std::uint64_t call,
             Duration after = seconds(1)) {
    Now += after;
    static_cast<void>(recordCrash(
        Evidence,
        {trait, static_cast<std::uint64_t>(Now.time_since_epoch().count()),
         call, Now}));
  }
  [[nodiscard]] TraitStatus status(CallTraitId trait) const {
    return statusOf(Evidence, {&trait, 1}, Now, {});
  }
};

} // namespace

TEST_CASE("a part that crashes back ends is quarantined before the fifth crash",
          "[quarantine]") {
  Front f;
  f.crash(Deadly, 1);
  CHECK(f.status(Deadly) == TraitStatus::Clear);
  f.crash(Deadly, 1); // The first call was retried.
  CHECK(f.status(Deadly) == TraitStatus::Suspect);
  f.crash(Deadly, 2);
  f.crash(Deadly, 3);
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  CHECK(f.status(Common) == TraitStatus::Clear);
}

TEST_CASE("an answer clears a part that was in crashes by chance",
          "[quarantine]") {
  Front f;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    f.crash(Common, n);
    f.crash(Deadly, n, milliseconds(1));
    f.Now += milliseconds(50);
    CHECK(recordAnswer(f.Evidence, {Common, f.Now}));
    CHECK(f.status(Common) == TraitStatus::Clear);
  }
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  // A late copy of a record from before the answer doesn't count.
  CHECK_FALSE(recordCrash(f.Evidence, {Common, 9, 9, f.Now - seconds(1)}));
}

TEST_CASE("back ends that lose power together quarantine nothing",
          "[quarantine]") {
  Front f;
  for (std::uint64_t n = 1; n <= 8; ++n)
    f.crash(Common, n, milliseconds(5));
  CHECK(f.status(Common) == TraitStatus::Clear);
}

TEST_CASE("calls that a power loss ended may be retried", "[quarantine]") {
  Front f;
  f.crash(Common, 1);
  // Other back ends of the same power loss are noticed a little later.
  f.Now += milliseconds(50);
  CHECK_FALSE(mayCrashAgain(f.Evidence, {&Common, 1}, f.Now));
  f.Now += seconds(1);
  CHECK(mayCrashAgain(f.Evidence, {&Common, 1}, f.Now));
  // Another trait turns out to be the cause.
  const std::uint64_t crash = f.Evidence.Crashes[0].Crash;
  CHECK(recordCrash(f.Evidence, {Deadly, crash, 1, f.Evidence.Crashes[0].At}));
  f.crash(Deadly, 2);
  f.Now += seconds(1);
  CHECK_FALSE(mayCrashAgain(f.Evidence, {&Common, 1}, f.Now));
  CHECK(mayCrashAgain(f.Evidence, {&Deadly, 1}, f.Now));
}

TEST_CASE("one call that is retried doesn't quarantine its parts",
          "[quarantine]") {
  Front f;
  for (int n = 0; n < 6; ++n)
    f.crash(Common, 1);
  CHECK(f.status(Common) == TraitStatus::Suspect);
}

TEST_CASE("crashes that another part explains don't count", "[quarantine]") {
  Front f;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    f.Now += seconds(1);
    static_cast<void>(recordCrash(f.Evidence, {Deadly, n, n, f.Now}));
    if (n <= 3)
      static_cast<void>(recordCrash(f.Evidence, {Common, n, n, f.Now}));
  }
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  CHECK(f.status(Common) == TraitStatus::Clear);
  // Its own crashes count, also after that.
  for (std::uint64_t n = 11; n <= 13; ++n)
    f.crash(Common, n);
  CHECK(f.status(Common) != TraitStatus::Clear);
}

TEST_CASE("of two parts that were in the same crashes either may be the cause",
          "[quarantine]") {
  Front f;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    f.Now += seconds(1);
    static_cast<void>(recordCrash(f.Evidence, {Deadly, n, n, f.Now}));
    static_cast<void>(recordCrash(f.Evidence, {Common, n, n, f.Now}));
  }
  const std::array both = {Common, Deadly};
  CHECK(statusOf(f.Evidence, both, f.Now, {}) == TraitStatus::Quarantined);
  CHECK(f.status(Common) == TraitStatus::Suspect);
  // The next crash tells.
  f.crash(Deadly, 4);
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  CHECK(f.status(Common) == TraitStatus::Clear);
}

TEST_CASE("a quarantine ends with a trial, and a failed trial extends it",
          "[quarantine]") {
  Front f;
  for (std::uint64_t n = 1; n <= 3; ++n)
    f.crash(Deadly, n);
  f.Now += MinQuarantine - milliseconds(1);
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  // Another front waits longer, so that it hears of the result.
  CHECK(statusOf(f.Evidence, {&Deadly, 1}, f.Now + seconds(1),
                 {5, std::chrono::hours(1)}) == TraitStatus::Quarantined);
  f.Now += milliseconds(1);
  CHECK(f.status(Deadly) == TraitStatus::Suspect);
  f.crash(Deadly, 4);
  f.Now += MinQuarantine * 3 / 2;
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  f.Now += MinQuarantine;
  CHECK(f.status(Deadly) == TraitStatus::Suspect);
  CHECK(recordAnswer(f.Evidence, {Deadly, f.Now}));
  CHECK(f.status(Deadly) == TraitStatus::Clear);
}

TEST_CASE("fronts that see one crash each quarantine the part together",
          "[quarantine]") {
  std::vector<Front> fronts(4);
  for (std::size_t n = 0; n < fronts.size(); ++n) {
    fronts[n].Now += seconds(n);
    fronts[n].crash(Deadly, n);
  }
  // Reports arrive several times and in any order.
  for (int round = 0; round < 3; ++round)
    for (Front &to : fronts)
      for (const Front &from : fronts)
        static_cast<void>(mergeEvidence(to.Evidence, from.Evidence));
  for (Front &f : fronts) {
    f.Now = Time(seconds(105));
    CHECK(f.status(Deadly) == TraitStatus::Quarantined);
    CHECK(sameEvidence(f.Evidence, fronts.front().Evidence));
  }
  // An answer at one front reaches the others.
  CHECK(recordAnswer(fronts[2].Evidence, {Deadly, fronts[2].Now}));
  for (Front &f : fronts) {
    static_cast<void>(mergeEvidence(f.Evidence, fronts[2].Evidence));
    CHECK(f.status(Deadly) == TraitStatus::Clear);
  }
}

TEST_CASE("a flood of new parts doesn't end a quarantine", "[quarantine]") {
  Front f;
  for (std::uint64_t n = 1; n <= 4; ++n)
    f.crash(Deadly, n);
  for (std::uint64_t n = 100; n < 1000; ++n)
    f.crash(CallTraitId{n}, n, milliseconds(10));
  CHECK(f.status(Deadly) == TraitStatus::Quarantined);
  CHECK(f.Evidence.Crashes.size() <= MaxCrashRecords);
}

TEST_CASE("what is remembered of answered parts is bounded", "[quarantine]") {
  AnsweredTraits traits;
  for (std::uint64_t n = 1; n < 20 * MaxAnsweredTraits; ++n) {
    recordAnswered(traits, CallTraitId{n}, Time(milliseconds(n)));
    if (n % 100 == 0)
      recordAnswered(traits, Common, Time(milliseconds(n)));
  }
  CHECK(traits.Young.size() + traits.Old.size() <= 2 * MaxAnsweredTraits);
  CHECK(lastAnswered(traits, Common) != Time());
  CHECK(lastAnswered(traits, CallTraitId{5}) == Time());
}

TEST_CASE("a request that crashes back ends doesn't condemn the parts of its "
          "prompt",
          "[quarantine]") {
  constexpr CallTraitId Request = wholeRequestTrait(Deadly);
  constexpr CallTraitId Subject = promptPartTrait(CallTraitId{9});
  constexpr std::array Prompt = {Subject, Request};
  Front f;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    f.crash(Request, n);
    const std::uint64_t crash = f.Evidence.Crashes.back().Crash;
    static_cast<void>(recordCrash(f.Evidence, {Subject, crash, n, f.Now}));
  }
  CHECK(statusOf(f.Evidence, Prompt, f.Now, {}) == TraitStatus::Quarantined);
  // Other calls about the subject are tried one at a time; an answer clears it.
  CHECK(f.status(Subject) == TraitStatus::Suspect);
  CHECK(recordAnswer(f.Evidence, {Subject, f.Now}));
  CHECK(f.status(Subject) == TraitStatus::Clear);
  CHECK(statusOf(f.Evidence, Prompt, f.Now, {}) == TraitStatus::Quarantined);
}

TEST_CASE("requests that come once aren't held against their prompt's part",
          "[quarantine]") {
  constexpr CallTraitId Subject = promptPartTrait(CallTraitId{9});
  Front f;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    f.crash(wholeRequestTrait(CallTraitId{20 + n}), n);
    const auto crash =
        static_cast<std::uint64_t>(f.Now.time_since_epoch().count());
    static_cast<void>(recordCrash(f.Evidence, {Subject, crash, n, f.Now}));
  }
  CHECK(f.status(Subject) == TraitStatus::Quarantined);
}
