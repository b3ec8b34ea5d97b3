// Randomised runs of one version move through table outages, lost responses,
// pauses, restarts and network partitions. The invariants are checked by the
// code under test.

#include "support/move_world.h"
#include "support/seeded.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261204;

enum class Event : std::uint8_t {
  TableUnavailable,
  TableRestored,
  TableLosesResponses,
  TableSlow,
  Pause,
  Restart,
  Block,
  Unblock,
};

void apply(MoveWorld &w, Event ev, std::size_t n) {
  const std::size_t next = (n + 1) % w.Vms.size();
  switch (ev) {
  case Event::TableUnavailable:
    w.Table.Unavailable = true;
    break;
  case Event::TableRestored:
    w.Table = {w.Table.Rows, w.Table.Calls, false, 0, 20ms};
    break;
  case Event::TableLosesResponses:
    w.Table.LostResponsePermille = 500;
    break;
  case Event::TableSlow:
    w.Table.MaxDelay = 12s; // Longer than the response timeout and the leases.
    break;
  case Event::Pause:
    pause(w.Net, n, 15s);
    break;
  case Event::Restart:
    restart(w, n);
    break;
  case Event::Block:
    setBlocked(w.Net, n, next, true);
    break;
  case Event::Unblock:
    setBlocked(w.Net, n, next, false);
    break;
  }
}

MoveWorld anyWorld() {
  MoveWorldOptions opt;
  opt.Seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U);
  opt.VmCount = *rc::gen::inRange<std::size_t>(2, 6);
  opt.Kind = static_cast<VersionKind>(
      *rc::gen::inRange<std::size_t>(0, VersionKindCount));
  opt.StepTime = 5s;
  opt.TimeToDeadline = 60s;
  MoveWorld w = makeMoveWorld(opt);
  w.RequestsPerTick = 1;
  w.BadLaterDelay = 15s;
  return w;
}

/// Applies a few random events during the move, then ends all faults.
void runWithFaults(MoveWorld &w) {
  const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
      5, rc::gen::arbitrary<std::uint32_t>());
  for (const std::uint32_t ev : events) {
    run(w, std::chrono::milliseconds(ev % 16000));
    apply(w, static_cast<Event>(ev / 16000 % 8), ev / 128000 % w.Vms.size());
  }
  apply(w, Event::TableRestored, 0);
  w.Net.Link.Blocked.clear();
  run(w, 60s);
}

} // namespace

TEST_CASE("a move ends once despite outages, pauses, restarts and partitions",
          "[move][random]") {
  CHECK(support::propertyHolds(
      [] {
        MoveWorld w = anyWorld();
        runWithFaults(w);
        RC_ASSERT(w.Ended);
        RC_ASSERT(w.NewVersionRequestsAfterBad == 0U);
        for (const FakeVm &vm : w.Net.Vms)
          RC_ASSERT(vm.State.Moves.at(theMove()).Stage == w.FinalStage);
        RC_ASSERT(w.FirstBadAt == Time{} ||
                  w.FinalStage == MoveStage::RolledBack);
      },
      Seed, 150));
}

TEST_CASE("an outage that covers the deadline ends in one way", "[move]") {
  for (const VersionKind kind : {VersionKind::Good, VersionKind::BadAtOnce}) {
    MoveWorldOptions opt;
    opt.Kind = kind;
    MoveWorld w = makeMoveWorld(opt);
    run(w, 30s);
    w.Table.Unavailable = true;
    run(w, 5min);
    CHECK_FALSE(w.Ended);
    CHECK(w.NewVersionRequestsAfterBad == 0);
    w.Table.Unavailable = false;
    run(w, 30s);
    CHECK(w.FinalStage == MoveStage::RolledBack);
  }
}

TEST_CASE("a bad version is stopped while the table is unavailable", "[move]") {
  MoveWorldOptions opt;
  opt.Kind = VersionKind::BadLater;
  MoveWorld w = makeMoveWorld(opt);
  while (w.Vms[0].Share < 100)
    tick(w);
  w.BadLaterDelay = w.Net.Now - w.StartedAt;
  w.Table.Unavailable = true;
  run(w, 60s);
  REQUIRE(w.FirstBadAt != Time{});
  const std::uint64_t before = w.NewVersionRequests;
  run(w, 60s);
  CHECK(w.NewVersionRequests == before);
  w.Table.Unavailable = false;
  run(w, 30s);
  CHECK(w.FinalStage == MoveStage::RolledBack);
}

TEST_CASE("two VMs never hold the lease of one move at once", "[move]") {
  CHECK(support::propertyHolds(
      [] {
        MoveWorld w = anyWorld();
        const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
            5, rc::gen::arbitrary<std::uint32_t>());
        for (const std::uint32_t ev : events) {
          for (std::uint32_t n = 0; n < ev % 100; ++n) {
            tick(w);
            std::size_t holders = 0;
            for (const MoveVm &vm : w.Vms)
              holders +=
                  holdsLease(vm.Controller, theMove(), w.Net.Now) ? 1 : 0;
            RC_ASSERT(holders <= 1U);
          }
          apply(w, static_cast<Event>(ev / 100 % 8), ev / 800 % w.Vms.size());
        }
      },
      Seed, 150));
}
