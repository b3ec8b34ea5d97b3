// Tests of the state exchange between VMs.
#include "zinniagauge/decide/exchange.h"

#include "support/fake_net.h"
#include "zinniagauge/decide/random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

const EndpointId Engine = EndpointId::of("engine-1");
const MoveId Move = MoveId::of("to-7");

EndpointRecord endpoint(std::uint64_t incarnation, bool leaving) {
  EndpointRecord r;
  r.Id = Engine;
  r.Incarnation = incarnation;
  r.Leaving = leaving;
  return r;
}

MoveState badMove() {
  MoveState st;
  st.Id = Move;
  st.VersionIsBad = true;
  return st;
}

Bundle bundle(std::uint64_t version) {
  Bundle b;
  b.Version = version;
  b.Endpoints.emplace_back().Id = Engine;
  b.Moves.emplace_back().Id = Move;
  return b;
}

FakeNet zoneOfFour(std::uint64_t seed = 1) {
  FakeNet net;
  net.Random = seed;
  for (const char *name : {"a1", "a2", "a3", "a4"})
    addVm(net, name, "hvar");
  run(net, 5s);
  activateBundleEverywhere(net, bundle(1));
  run(net, 2s);
  return net;
}

template <typename Record> Record joined(Record a, const Record &b) {
  joinRecord(a, b);
  return a;
}

template <typename Record> void checkJoin(rc::Gen<Record> any) {
  CHECK(rc::check([&] {
    const Record a = *any;
    const Record b = *any;
    const Record c = *any;
    RC_ASSERT(joined(a, b) == joined(b, a));
    RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
    RC_ASSERT(joined(a, a) == a);
  }));
}

rc::Gen<EndpointRecord> anyEndpoint() {
  return rc::gen::exec([] {
    EndpointRecord r;
    r.Id = Engine;
    r.Incarnation = *rc::gen::inRange(0, 3);
    r.Leaving = *rc::gen::arbitrary<bool>();
    r.Draining = *rc::gen::arbitrary<bool>();
    r.ReportedAt = *rc::gen::inRange(0, 3);
    r.Reported = VersionId{*rc::gen::inRange<std::uint64_t>(0, 3)};
    return r;
  });
}

/// The table ends a row only once, so all states of one run have the same final
/// stage.
rc::Gen<MoveState> anyMove() {
  return rc::gen::exec([] {
    MoveState st;
    st.Id = Move;
    st.FencingToken = *rc::gen::inRange(0, 3);
    st.SharePermille = *rc::gen::inRange(0, 3) * 10;
    st.Stage = *rc::gen::element(MoveStage::Waiting, MoveStage::Moving,
                                 MoveStage::RolledBack);
    st.VersionIsBad = *rc::gen::arbitrary<bool>();
    st.BadReason = *rc::gen::element<std::string>("", "slow", "fails");
    return st;
  });
}

bool allLeaving(const FakeNet &net) {
  return std::all_of(net.Vms.begin(), net.Vms.end(), [](const FakeVm &vm) {
    return !vm.Running || publishEndpoints(vm.State, {}).Endpoints[0].Leaving;
  });
}

bool allBad(const FakeNet &net) {
  return std::all_of(net.Vms.begin(), net.Vms.end(), [](const FakeVm &vm) {
    return !vm.Running || vm.State.Moves.at(Move).VersionIsBad;
  });
}

} // namespace

TEST_CASE("records of endpoints merge in any order", "[exchange]") {
  checkJoin(anyEndpoint());
}

TEST_CASE("records of moves merge in any order", "[exchange]") {
  checkJoin(anyMove());
}

TEST_CASE("an exchange of equal states carries digests only", "[exchange]") {
  FakeNet net = zoneOfFour();
  ExchangeUpdates updates;
  const ExchangeMessage req =
      makeExchangeRequest(net.Vms[0].State, ZoneId::of("hvar"), net.Now);
  const ExchangeMessage resp =
      handleExchangeRequest(net.Vms[1].State, req, net.Now, updates);
  CHECK(resp.Members.empty());
  CHECK(resp.Endpoints.empty());
  CHECK(resp.Moves.empty());
  CHECK_FALSE(resp.Bundle);
  CHECK_FALSE(handleExchangeResponse(net.Vms[0].State, resp, net.Now, updates));
}

TEST_CASE("a leaving endpoint is known in its zone within 1 s",
          "[exchange][leaving]") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FakeNet net = zoneOfFour(seed);
    recordEndpoint(net.Vms[seed % 4].State, endpoint(0, true));
    run(net, 1s);
    CHECK(allLeaving(net));
  }
}

TEST_CASE("a bad version is known in its zone within 1 s", "[exchange][move]") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FakeNet net = zoneOfFour(seed);
    recordMove(net.Vms[seed % 4].State, badMove());
    run(net, 1s);
    CHECK(allBad(net));
  }
}

TEST_CASE("a new incarnation of an endpoint is not leaving", "[exchange]") {
  FakeNet net = zoneOfFour();
  recordEndpoint(net.Vms[0].State, endpoint(0, true));
  run(net, 2s);
  recordEndpoint(net.Vms[1].State, endpoint(1, false));
  run(net, 2s);
  CHECK_FALSE(publishEndpoints(net.Vms[0].State, {}).Endpoints[0].Leaving);
}

TEST_CASE("a VM that restarts gets the bundle and the flags from its peers",
          "[exchange]") {
  FakeNet net = zoneOfFour();
  recordMove(net.Vms[0].State, badMove());
  run(net, 1s);
  kill(net, 3);
  restart(net, 3);
  CHECK(net.Vms[3].State.ActiveBundle.Version == 0);
  run(net, 2s);
  CHECK(net.Vms[3].State.ActiveBundle.Version == 1);
  CHECK(allBad(net));
}

TEST_CASE("a bundle that arrives late doesn't replace a newer one",
          "[exchange]") {
  FakeNet net = zoneOfFour();
  Exchange &ex = net.Vms[0].State;
  CHECK(activateBundle(ex, bundle(3)));
  CHECK_FALSE(activateBundle(ex, bundle(2)));
  CHECK_FALSE(activateBundle(ex, bundle(3)));
  ExchangeMessage late =
      makeExchangeRequest(net.Vms[1].State, ZoneId::of("hvar"), net.Now);
  late.Bundle = BundleText{2, {}, {}};
  ExchangeUpdates updates;
  static_cast<void>(handleExchangeRequest(ex, late, net.Now, updates));
  CHECK_FALSE(updates.NewBundle);
  CHECK(ex.ActiveBundle.Version == 3);
}

TEST_CASE("records that the bundle doesn't name are dropped", "[exchange]") {
  FakeNet net = zoneOfFour();
  recordMove(net.Vms[0].State, badMove());
  run(net, 1s);
  Bundle next;
  next.Version = 2;
  activateBundleAt(net, 0, next);
  run(net, 5s);
  for (const FakeVm &vm : net.Vms) {
    CHECK(vm.State.ActiveBundle.Version == 2);
    CHECK(vm.State.Moves.empty());
  }
}

TEST_CASE(
    "state reaches all VMs if messages are dropped, delayed and duplicated",
    "[exchange]") {
  CHECK(rc::check([] {
    FakeNet net = zoneOfFour(*rc::gen::inRange<std::uint64_t>(1, 1000000));
    net.Link.DropPermille = *rc::gen::inRange(0U, 300U);
    net.Link.DuplicatePermille = *rc::gen::inRange(0U, 300U);
    net.Link.MaxDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    const auto from = *rc::gen::inRange<std::size_t>(0, 4);
    recordMove(net.Vms[from].State, badMove());
    recordEndpoint(net.Vms[3 - from].State, endpoint(0, true));
    run(net, 20s);
    net.Link = {};
    run(net, 3s);
    RC_ASSERT(allBad(net));
    RC_ASSERT(allLeaving(net));
  }));
}

TEST_CASE("active versions never fall despite kills, pauses and partitions",
          "[exchange]") {
  CHECK(rc::check([] {
    FakeNet net = zoneOfFour(*rc::gen::inRange<std::uint64_t>(1, 1000000));
    std::uint64_t newest = 1;
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        6, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t ev : events) {
      const std::size_t n = ev / 8 % 4;
      const std::size_t other = (n + 1 + ev / 32 % 3) % 4;
      if (ev % 5 == 0) {
        kill(net, n);
        restart(net, n);
      } else if (ev % 5 == 1)
        pause(net, n, 20s);
      else if (ev % 5 == 2)
        setBlocked(net, n, other, true);
      else if (ev % 5 == 3)
        setBlocked(net, n, other, false);
      else
        activateBundleAt(net, n, bundle(++newest));
      run(net, std::chrono::milliseconds(ev / 128 % 5000));
    }
    net.Link.Blocked.clear();
    run(net, 45s); // Longer than any pause, plus a few regular exchanges.
    std::uint64_t highest = 0;
    for (const FakeVm &vm : net.Vms)
      highest = std::max(highest, vm.State.ActiveBundle.Version);
    for (const FakeVm &vm : net.Vms)
      RC_ASSERT(vm.State.ActiveBundle.Version == highest);
  }));
}
