// Tests of the membership controller.
#include "zinniagauge/decide/member.h"

#include "support/fake_net.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

/// Three VMs in one zone, one in another, one in a third.
FakeNet smallNet(std::uint64_t seed = 1) {
  FakeNet net;
  net.Random = seed;
  addVm(net, "a1", "hvar");
  addVm(net, "a2", "hvar");
  addVm(net, "a3", "hvar");
  addVm(net, "b1", "split");
  addVm(net, "c1", "vis");
  run(net, 5s);
  return net;
}

bool allSee(const FakeNet &net, std::size_t of, MemberState st) {
  for (std::size_t n = 0; n < net.Vms.size(); ++n)
    if (n != of && net.Vms[n].Running && stateOf(net, n, of) != st)
      return false;
  return true;
}

rc::Gen<MemberRecord> anyRecord() {
  return rc::gen::exec([] {
    MemberRecord r;
    r.Info.Name = "a1";
    r.Info.Id = VmId::of("a1");
    r.Info.Incarnation = *rc::gen::inRange(0, 3);
    r.Info.Heartbeat = *rc::gen::inRange(0, 4);
    r.Info.BundleVersion = *rc::gen::inRange(0, 4);
    r.Info.EntryAddress = *rc::gen::element<std::string>("x:1", "y:1");
    r.Info.AgentAddress = *rc::gen::element<std::string>("x:2", "y:2");
    r.Leaving = *rc::gen::arbitrary<bool>();
    r.DownAtHeartbeat = *rc::gen::inRange(0, 4);
    return r;
  });
}

MemberRecord joined(MemberRecord a, const MemberRecord &b) {
  joinRecord(a, b);
  return a;
}

} // namespace

TEST_CASE("records of a VM merge in any order", "[member]") {
  CHECK(rc::check([] {
    const MemberRecord a = *anyRecord();
    const MemberRecord b = *anyRecord();
    const MemberRecord c = *anyRecord();
    RC_ASSERT(joined(a, b) == joined(b, a));
    RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
    RC_ASSERT(joined(a, a) == a);
    RC_ASSERT(joined(joined(a, b), b) == joined(a, b));
  }));
}

TEST_CASE("all VMs find each other through seeds", "[member]") {
  const FakeNet net = smallNet();
  for (std::size_t n = 0; n < net.Vms.size(); ++n)
    CHECK(allSee(net, n, MemberState::Alive));
}

TEST_CASE("a killed VM is suspect, then dead", "[member]") {
  FakeNet net = smallNet();
  kill(net, 1);
  run(net, SuspectTimeout + 3s);
  CHECK(stateOf(net, 0, 1) == MemberState::Suspect);
  run(net, DeadTimeout - SuspectTimeout + 1s);
  // Other zones receive it from its zone.
  CHECK(allSee(net, 1, MemberState::Dead));
  restart(net, 1);
  run(net, 3s);
  CHECK(allSee(net, 1, MemberState::Alive));
}

TEST_CASE("the VMs of a zone with no running VM are dead", "[member]") {
  FakeNet net = smallNet();
  kill(net, 3);
  run(net, ZoneDeadTimeout + 5s);
  CHECK(allSee(net, 3, MemberState::Dead));
}

TEST_CASE("a VM that was paused considers no other VM dead", "[member]") {
  FakeNet net = smallNet();
  pause(net, 0, 60s);
  run(net, 30s);
  CHECK(stateOf(net, 1, 0) == MemberState::Dead);
  run(net, 30s);
  for (std::size_t n = 1; n < net.Vms.size(); ++n)
    CHECK(stateOf(net, 0, n) == MemberState::Alive);
  run(net, 3s);
  CHECK(allSee(net, 0, MemberState::Alive));
  for (std::size_t n = 1; n < net.Vms.size(); ++n)
    CHECK(stateOf(net, 0, n) == MemberState::Alive);
}

TEST_CASE("the first step after a pause declares no VM dead", "[member]") {
  FakeNet net = smallNet();
  Membership &ms = net.Vms[0].State.Members;
  step(ms, net.Now + 60s);
  net.Now += 60s;
  CHECK(stateOf(net, 0, 1) == MemberState::Alive);
  CHECK(stateOf(net, 0, 3) == MemberState::Alive);
  for (int n = 0; n < 110; ++n)
    step(ms, net.Now += 100ms);
  CHECK(stateOf(net, 0, 1) == MemberState::Dead);
}

TEST_CASE("a partitioned zone works alone and rejoins", "[member]") {
  FakeNet net = smallNet();
  for (const std::size_t a : {0U, 1U, 2U})
    for (const std::size_t b : {3U, 4U})
      setBlocked(net, a, b, true);
  run(net, 60s);
  CHECK(stateOf(net, 0, 1) == MemberState::Alive);
  CHECK(stateOf(net, 0, 3) == MemberState::Dead);
  CHECK(stateOf(net, 3, 0) == MemberState::Dead);
  CHECK(stateOf(net, 3, 4) == MemberState::Alive);
  net.Link.Blocked.clear();
  run(net, 5s);
  for (std::size_t n = 0; n < net.Vms.size(); ++n)
    CHECK(allSee(net, n, MemberState::Alive));
}

TEST_CASE("a planned stop is known to all VMs within 2 s", "[member]") {
  FakeNet net = smallNet();
  recordLeaving(net.Vms[2].State);
  run(net, 2s);
  CHECK(allSee(net, 2, MemberState::Leaving));
}

TEST_CASE("the leaving flag applies to its incarnation only", "[member]") {
  FakeNet net = smallNet();
  const MemberRecord old = selfRecord(net.Vms[2].State.Members);
  recordLeaving(net.Vms[2].State);
  run(net, 2s);
  CHECK_FALSE(mergeMember(net.Vms[0].State.Members, old, net.Now));
  CHECK(stateOf(net, 0, 2) == MemberState::Leaving);
  MemberRecord late = selfRecord(net.Vms[2].State.Members);
  kill(net, 2);
  restart(net, 2);
  run(net, 3s);
  CHECK(allSee(net, 2, MemberState::Alive));
  CHECK_FALSE(mergeMember(net.Vms[0].State.Members, late, net.Now));
  CHECK(allSee(net, 2, MemberState::Alive));
}

TEST_CASE("a VM is leaving while the VM list says so", "[member]") {
  FakeNet net = smallNet();
  const std::vector<ListedVm> list = {{VmId::of("a2"), true}};
  applyVmList(net.Vms[0].State.Members, list);
  CHECK(stateOf(net, 0, 1) == MemberState::Leaving);
  applyVmList(net.Vms[0].State.Members, {});
  CHECK(stateOf(net, 0, 1) == MemberState::Alive);
}

TEST_CASE("a VM whose clock went back exceeds its old incarnation",
          "[member]") {
  FakeNet net = smallNet();
  kill(net, 1);
  net.Vms[1].Incarnation = 0;
  restart(net, 1);
  net.Vms[1].State.Members.ById.begin()->second.Record.Info.Incarnation = 0;
  run(net, 3s);
  CHECK(allSee(net, 1, MemberState::Alive));
  CHECK(selfRecord(net.Vms[1].State.Members).Info.Incarnation == 2);
  CHECK_FALSE(net.Vms[1].State.Members.Superseded);
}

TEST_CASE("a process whose VM was replaced is superseded", "[member]") {
  FakeNet net = smallNet();
  run(net, IncarnationRecoveryWindow);
  MemberRecord next = selfRecord(net.Vms[1].State.Members);
  ++next.Info.Incarnation;
  mergeMember(net.Vms[1].State.Members, next, net.Now);
  CHECK(net.Vms[1].State.Members.Superseded);
}
