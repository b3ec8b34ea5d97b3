#include "zinniagauge/decide/move.h"

#include "support/move_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

MoveWorld worldOf(VersionKind kind, std::uint64_t seed = 1) {
  MoveWorldOptions opt;
  opt.Kind = kind;
  opt.Seed = seed;
  return makeMoveWorld(opt);
}

bool allSee(const MoveWorld &w, MoveStage stage) {
  return std::all_of(w.Net.Vms.begin(), w.Net.Vms.end(), [&](const auto &vm) {
    return vm.State.Moves.at(theMove()).Stage == stage;
  });
}

} // namespace

TEST_CASE("a good version is completed before its deadline", "[move]") {
  MoveWorld w = worldOf(VersionKind::Good);
  run(w, 4min);
  CHECK(w.FinalStage == MoveStage::Completed);
  CHECK(w.EndedAt < w.ActiveBundle.Moves[0].Deadline);
  CHECK(allSee(w, MoveStage::Completed));
}

TEST_CASE("one bad endpoint doesn't damn its version", "[move]") {
  MoveWorld w = worldOf(VersionKind::GoodOneBadEndpoint);
  run(w, 4min);
  CHECK(w.FinalStage == MoveStage::Completed);
}

TEST_CASE("a burst that slows both versions is no fault of the new one",
          "[move]") {
  MoveWorld w = worldOf(VersionKind::GoodBurst);
  run(w, 4min);
  CHECK(w.FinalStage == MoveStage::Completed);
}

TEST_CASE("a bad version is taken back", "[move]") {
  for (const VersionKind kind :
       {VersionKind::BadAtOnce, VersionKind::BadLater, VersionKind::BadSlow,
        VersionKind::BadUnderLoad, VersionKind::BadOneRoute}) {
    MoveWorld w = worldOf(kind);
    run(w, 4min);
    CHECK(w.FinalStage == MoveStage::RolledBack);
    CHECK(w.NewVersionRequestsAfterBad == 0);
    CHECK(allSee(w, MoveStage::RolledBack));
  }
}
