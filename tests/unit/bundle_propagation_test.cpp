#include "support/bundle_simulation.h"
#include "support/seeded.h"
#include "zinniagauge/decide/random.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Histories = 1500;

/// What the world does next, drawn by rapidcheck.
struct Event {
  unsigned Kind = 0;
  unsigned A = 0;
  unsigned B = 0;
  unsigned WaitMs = 0;
};

rc::Gen<Event> anyEvent() {
  return rc::gen::exec([] {
    Event e;
    e.Kind = *rc::gen::inRange(0U, 10U);
    e.A = *rc::gen::inRange(0U, 60U);
    e.B = *rc::gen::inRange(0U, 60U);
    e.WaitMs = *rc::gen::inRange(0U, 4000U);
    return e;
  });
}

std::size_t running(const BundleSimulation &w) {
  return static_cast<std::size_t>(
      std::count_if(w.Net.Vms.begin(), w.Net.Vms.end(),
                    [](const FakeVm &vm) { return vm.Running; }));
}

/// An operator approves at a VM, if it runs.
void approveAt(BundleSimulation &w, std::size_t vm) {
  if (!w.Net.Vms[vm].Running)
    return;
  const std::string digest = "bundle-" + std::to_string(w.Approvals.size());
  startApproval(w, vm, digest, "operator");
}

void toggleVm(BundleSimulation &w, std::size_t vm) {
  if (!w.Net.Vms[vm].Running)
    restartVm(w, vm);
  else if (running(w) > 1)
    killVm(w, vm);
}

void play(BundleSimulation &w, const Event &e) {
  const std::size_t n = w.Net.Vms.size();
  const std::size_t a = e.A % n;
  const std::size_t b = e.B % n;
  if (e.Kind < 3) {
    approveAt(w, a);
    approveAt(w, b); // Two at once, at one VM or at two.
  } else if (e.Kind < 6) {
    setTable(w, static_cast<TableMode>(e.A % 5));
  } else if (e.Kind < 8) {
    toggleVm(w, a);
  } else if (a != b) {
    setLink(w, a, b, e.Kind == 8);
  }
  run(w, std::chrono::milliseconds(e.WaitMs));
}

/// Joins all links, but leaves the table as it is.
void heal(BundleSimulation &w) {
  w.Net.Link.Blocked.clear();
  w.Net.Link.DropPermille = 0;
}

std::uint64_t highest(const BundleSimulation &w) {
  std::uint64_t v = 0;
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (w.Net.Vms[n].Running)
      v = std::max(v, activeVersionAt(w, n));
  return v;
}

bool allHold(const BundleSimulation &w, std::uint64_t version) {
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (w.Net.Vms[n].Running && activeVersionAt(w, n) != version)
      return false;
  return true;
}

/// Within 6 s of the last cut's end the highest version in force is in force
/// everywhere, whether or not the table answers.
bool spreads(BundleSimulation &w) {
  heal(w);
  run(w, 10s); // Approvals that still run come to an end.
  const std::uint64_t version = highest(w);
  run(w, 6s);
  return allHold(w, std::max(version, highest(w)));
}

std::vector<std::string> names(std::size_t n) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  return {all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n)};
}

} // namespace

TEST_CASE("one head after any race, and versions only rise",
          "[bundle][random]") {
  const bool ok = support::propertyHolds(
      [] {
        BundleSimulation w;
        w.Net.Random = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U);
        w.Net.Link.DropPermille = *rc::gen::inRange(0U, 200U);
        w.Net.Link.DuplicatePermille = *rc::gen::inRange(0U, 200U);
        addVms(w, names(*rc::gen::inRange<std::size_t>(2, 6)));
        const auto events = *rc::gen::container<std::vector<Event>>(anyEvent());
        for (const Event &e : events) {
          play(w, e);
          RC_ASSERT(findViolation(w) == "");
        }
        RC_ASSERT(spreads(w));
        setTable(w, TableMode::Up);
        run(w, 6s);
        RC_ASSERT(findViolation(w) == "");
        RC_ASSERT(allHold(w, w.Table.Head.Head.Version));
      },
      Seed, Histories);
  CHECK(ok);
}

TEST_CASE("an accepted bundle is in force everywhere within 6 s, store out",
          "[bundle]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    BundleSimulation w;
    w.Net.Random = seed;
    w.Net.Link.DropPermille = 100;
    addVms(w, names(5));
    const std::size_t at = startApproval(w, seed % 5, "second", "marija");
    while (!w.Approvals[at].EndProcessed)
      run(w, 100ms);
    REQUIRE(w.Approvals[at].State.Stage == ApprovalStage::Done);
    setTable(w, TableMode::Unavailable);
    run(w, 6s);
    CHECK(allHold(w, 2));
  }
}

TEST_CASE("a new VM is ready with the highest of its peers and the table",
          "[bundle]") {
  RecoveryView v;
  v.ActiveVersion = 3;
  v.KnownPeers = 2;
  CHECK_FALSE(isRecovered(v)); // Has heard neither,
  v.SinceStart = PeerRecoveryTimeout;
  CHECK_FALSE(isRecovered(v)); // however long it waits.
  v.SinceStart = {};
  v.TableHead = 3;
  CHECK(isRecovered(v));
  v.TableHead = 4;
  CHECK_FALSE(isRecovered(v));
  v.TableHead = 3;
  v.HighestPeerVersion = 4; // The read of the table was before the approval.
  v.ReportedPeers = 1;
  CHECK_FALSE(isRecovered(v));
  v.TableHead.reset();
  v.HighestPeerVersion = 3;
  CHECK_FALSE(isRecovered(v)); // The other peer may have more.
  v.SinceStart = PeerRecoveryTimeout;
  CHECK(isRecovered(v));
  v.SinceStart = {};
  v.ReportedPeers = 2;
  CHECK(isRecovered(v));
  v.ActiveVersion = 0;
  v.HighestPeerVersion = 0;
  CHECK_FALSE(isRecovered(v)); // Nothing was ever approved.
}

TEST_CASE("a few members of a zone read the table", "[bundle]") {
  std::vector<Member> all(10);
  for (std::size_t n = 0; n < all.size(); ++n) {
    all[n].Id = VmId::of("vm-" + std::to_string(n));
    all[n].Zone = ZoneId::of(n < 8 ? "hvar" : "split");
  }
  const auto readers = [&](const char *zone) {
    return std::count_if(all.begin(), all.end(), [&](const Member &m) {
      return m.Zone == ZoneId::of(zone) && m.State == MemberState::Alive &&
             shouldReadTable(all, m.Id);
    });
  };
  CHECK(readers("hvar") == PollersPerZone);
  CHECK(readers("split") == 2);
  for (Member &m : all)
    if (shouldReadTable(all, m.Id))
      m.State = MemberState::Dead;
  CHECK(readers("hvar") == PollersPerZone);
  CHECK(shouldReadTable(all, VmId::of("unlisted")));
}

TEST_CASE("of two texts with one number the first is kept", "[bundle]") {
  Cell<Bundle> cell;
  Bundle b;
  b.Version = 2;
  b.Digest = "a";
  CHECK(activateIfNewer(cell, b) == BundleOrder::Newer);
  CHECK(activateIfNewer(cell, b) == BundleOrder::Same);
  b.Digest = "b";
  CHECK(activateIfNewer(cell, b) == BundleOrder::Conflict);
  b.Version = 1;
  CHECK(activateIfNewer(cell, b) == BundleOrder::Older);
  CHECK(cell.copy().Digest == "a");
}
