#include "support/bundle_world.h"
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

std::size_t running(const BundleWorld &w) {
  return static_cast<std::size_t>(
      std::count_if(w.Net.Vms.begin(), w.Net.Vms.end(),
                    [](const FakeVm &vm) { return vm.Running; }));
}

/// An operator approves at a VM, if it runs.
void approveAt(BundleWorld &w, std::size_t vm) {
  if (!w.Net.Vms[vm].Running)
    return;
  const std::string digest = "bundle-" + std::to_string(w.Approvals.size());
  startApproval(w, vm, digest, "operator");
}

void toggleVm(BundleWorld &w, std::size_t vm) {
  if (!w.Net.Vms[vm].Running)
    restartVm(w, vm);
  else if (running(w) > 1)
    killVm(w, vm);
}

void play(BundleWorld &w, const Event &e) {
  const std::size_t n = w.Net.Vms.size();
  const std::size_t a = e.A % n;
  const std::size_t b = e.B % n;
  if (e.Kind < 3) {
    approveAt(w, a);
    approveAt(w, b); // Two at once, at one VM or at two.
  } else if (e.Kind < 6) {
    w.Table.Mood = static_cast<TableMood>(e.A % 5);
  } else if (e.Kind < 8) {
    toggleVm(w, a);
  } else if (a != b) {
    setCut(w.Net, a, b, e.Kind == 8);
  }
  run(w, std::chrono::milliseconds(e.WaitMs));
}

/// Joins all links, but leaves the table as it is.
void heal(BundleWorld &w) {
  w.Net.Link.Cut.clear();
  w.Net.Link.DropPermille = 0;
}

std::uint64_t highest(const BundleWorld &w) {
  std::uint64_t v = 0;
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (w.Net.Vms[n].Running)
      v = std::max(v, versionAt(w, n));
  return v;
}

bool allHold(const BundleWorld &w, std::uint64_t version) {
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (w.Net.Vms[n].Running && versionAt(w, n) != version)
      return false;
  return true;
}

/// Within 6 s of the last cut's end the highest version in force is in force
/// everywhere, whether or not the table answers.
bool spreads(BundleWorld &w) {
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
  const bool ok = support::holds(
      [] {
        BundleWorld w;
        w.Net.Random = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U);
        w.Net.Link.DropPermille = *rc::gen::inRange(0U, 200U);
        w.Net.Link.RepeatPermille = *rc::gen::inRange(0U, 200U);
        addVms(w, names(*rc::gen::inRange<std::size_t>(2, 6)));
        const auto events = *rc::gen::container<std::vector<Event>>(anyEvent());
        for (const Event &e : events) {
          play(w, e);
          RC_ASSERT(faultOf(w) == "");
        }
        RC_ASSERT(spreads(w));
        w.Table.Mood = TableMood::Up;
        run(w, 6s);
        RC_ASSERT(faultOf(w) == "");
        RC_ASSERT(allHold(w, w.Table.Head.Head.Version));
      },
      Seed, Histories);
  CHECK(ok);
}

TEST_CASE("an accepted bundle is in force everywhere within 6 s, store out",
          "[bundle]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    BundleWorld w;
    w.Net.Random = seed;
    w.Net.Link.DropPermille = 100;
    addVms(w, names(5));
    const std::size_t at = startApproval(w, seed % 5, "second", "marija");
    while (!w.Approvals[at].Settled)
      run(w, 100ms);
    REQUIRE(w.Approvals[at].State.Stage == ApprovalStage::Done);
    w.Table.Mood = TableMood::Out;
    run(w, 6s);
    CHECK(allHold(w, 2));
  }
}

TEST_CASE("a new VM is ready with the highest of its peers and the table",
          "[bundle]") {
  RecoveryView v;
  v.InForce = 3;
  v.Peers = 2;
  CHECK_FALSE(isRecovered(v)); // Has heard neither,
  v.Since = PeerWait;
  CHECK_FALSE(isRecovered(v)); // however long it waits.
  v.Since = {};
  v.TableHead = 3;
  CHECK(isRecovered(v));
  v.TableHead = 4;
  CHECK_FALSE(isRecovered(v));
  v.TableHead = 3;
  v.HighestPeer = 4; // The read of the table was before the approval.
  v.PeersHeard = 1;
  CHECK_FALSE(isRecovered(v));
  v.TableHead.reset();
  v.HighestPeer = 3;
  CHECK_FALSE(isRecovered(v)); // The other peer may have more.
  v.Since = PeerWait;
  CHECK(isRecovered(v));
  v.Since = {};
  v.PeersHeard = 2;
  CHECK(isRecovered(v));
  v.InForce = 0;
  v.HighestPeer = 0;
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
             readsTable(all, m.Id);
    });
  };
  CHECK(readers("hvar") == PollersPerZone);
  CHECK(readers("split") == 2);
  for (Member &m : all)
    if (readsTable(all, m.Id))
      m.State = MemberState::Dead;
  CHECK(readers("hvar") == PollersPerZone);
  CHECK(readsTable(all, VmId::of("unlisted")));
}

TEST_CASE("of two texts with one number the first is kept", "[bundle]") {
  Cell<Bundle> cell;
  Bundle b;
  b.Version = 2;
  b.Digest = "a";
  CHECK(putInForce(cell, b) == BundleOrder::Newer);
  CHECK(putInForce(cell, b) == BundleOrder::Same);
  b.Digest = "b";
  CHECK(putInForce(cell, b) == BundleOrder::Clash);
  b.Version = 1;
  CHECK(putInForce(cell, b) == BundleOrder::Older);
  CHECK(cell.copy().Digest == "a");
}
