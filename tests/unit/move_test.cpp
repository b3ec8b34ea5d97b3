// Tests of the controller of version moves in a simulated deployment.
#include "zinniagauge/decide/move.h"

#include "support/move_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

MoveWorld makeWorld(VersionKind kind, std::uint64_t seed = 1) {
  MoveWorldOptions opt;
  opt.Kind = kind;
  opt.Seed = seed;
  return makeMoveWorld(opt);
}

bool allHaveStage(const MoveWorld &w, MoveStage stage) {
  return std::all_of(w.Net.Vms.begin(), w.Net.Vms.end(), [&](const auto &vm) {
    return vm.State.Moves.at(theMove()).Stage == stage;
  });
}

} // namespace

TEST_CASE("a good version is completed before its deadline", "[move]") {
  MoveWorld w = makeWorld(VersionKind::Good);
  run(w, 4min);
  CHECK(w.FinalStage == MoveStage::Completed);
  CHECK(w.EndedAt < w.ActiveBundle.Moves[0].Deadline);
  CHECK(allHaveStage(w, MoveStage::Completed));
}

TEST_CASE("one bad endpoint doesn't make its version bad", "[move]") {
  MoveWorld w = makeWorld(VersionKind::GoodOneBadEndpoint);
  run(w, 4min);
  CHECK(w.FinalStage == MoveStage::Completed);
}

TEST_CASE("a burst that slows both versions is no fault of the new one",
          "[move]") {
  MoveWorld w = makeWorld(VersionKind::GoodBurst);
  run(w, 4min);
  CHECK(w.FinalStage == MoveStage::Completed);
}

TEST_CASE("a bad version is rolled back", "[move]") {
  for (const VersionKind kind :
       {VersionKind::BadAtOnce, VersionKind::BadLater, VersionKind::BadSlow,
        VersionKind::BadUnderLoad, VersionKind::BadOneRoute}) {
    MoveWorld w = makeWorld(kind);
    run(w, 4min);
    CHECK(w.FinalStage == MoveStage::RolledBack);
    CHECK(w.NewVersionRequestsAfterBad == 0);
    CHECK(allHaveStage(w, MoveStage::RolledBack));
  }
}
