// Tests of the bound on the share of a version move.
#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/share_gate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <thread>
#include <vector>

using namespace zinniagauge;

namespace {

const PoolId Pool = PoolId::of("dossier");
const VersionId Old = VersionId::of("dossier-6");
const VersionId New = VersionId::of("dossier-7");
const MoveId Move = MoveId::of("to-7");

Bundle bundle() {
  Bundle b;
  MoveSpec m;
  m.Id = Move;
  m.Pool = Pool;
  m.OldVersion = Old;
  m.NewVersion = New;
  b.Moves.push_back(m);
  return b;
}

MoveList state(std::uint32_t share, MoveStage stage = MoveStage::Moving,
               bool bad = false) {
  MoveState st;
  st.Id = Move;
  st.SharePermille = share;
  st.Stage = stage;
  st.VersionIsBad = bad;
  return {{st}};
}

/// Dispatches one request as if every endpoint had capacity available. Returns
/// whether it went to the new version.
bool dispatchToNew(ShareGates &gates, const Bundle &b) {
  const ShareChoice choice = chooseVersion(gates, b, Pool);
  const bool tonew = choice.Choice == VersionChoice::PreferNew ||
                     choice.Choice == VersionChoice::NewOnly;
  return startDispatch(gates, choice, tonew ? New : Old) && tonew;
}

std::uint32_t countNew(ShareGates &gates, const Bundle &b,
                       std::uint32_t total) {
  std::uint32_t n = 0;
  for (std::uint32_t k = 0; k < total; ++k)
    n += dispatchToNew(gates, b) ? 1 : 0;
  return n;
}

/// The state of one randomised run: the open choices, and the dispatches since
/// the share was set.
struct RandomRun {
  ShareGates Gates;
  Bundle ActiveBundle = bundle();
  std::vector<ShareChoice> Open;
  std::uint64_t All = 0;
  std::uint64_t ToNew = 0;
  std::uint32_t Share = 0;
  bool Bad = false;
};

void completeChoice(RandomRun &r, std::size_t at, int how) {
  const ShareChoice choice = r.Open[at % r.Open.size()];
  r.Open.erase(r.Open.begin() +
               static_cast<std::ptrdiff_t>(at % r.Open.size()));
  const bool mayusenew = choice.Choice == VersionChoice::PreferNew ||
                         choice.Choice == VersionChoice::NewOnly;
  if (how == 0)
    return discardChoice(r.Gates, choice);
  const bool tonew = mayusenew && how != 1;
  if (!startDispatch(r.Gates, choice, tonew ? New : Old))
    return;
  ++r.All;
  r.ToNew += tonew ? 1 : 0;
}

void setShare(RandomRun &r, std::uint32_t share, bool bad) {
  r.Bad = r.Bad || bad;
  if (r.Share != share || bad)
    r.All = r.ToNew = 0;
  r.Share = share;
  applyShares(r.Gates, r.ActiveBundle, state(share, MoveStage::Moving, r.Bad));
}

} // namespace

TEST_CASE("a share is reached and never exceeded", "[share]") {
  ShareGates gates;
  const Bundle b = bundle();
  CHECK(countNew(gates, b, 100) == 0); // No share is set yet.
  applyShares(gates, b, state(10));
  CHECK(countNew(gates, b, 99) == 0);
  CHECK(countNew(gates, b, 901) == 10);
  applyShares(gates, b, state(500));
  CHECK(countNew(gates, b, 1000) == 500);
  applyShares(gates, b, state(1000));
  CHECK(countNew(gates, b, 100) == 100);
}

TEST_CASE("a version that was stopped stays stopped", "[share]") {
  ShareGates gates;
  const Bundle b = bundle();
  applyShares(gates, b, state(1000));
  const ShareChoice open = chooseVersion(gates, b, Pool);
  stopShare(gates, Move);
  CHECK_FALSE(startDispatch(gates, open, New));
  applyShares(gates, b, state(1000));
  CHECK(countNew(gates, b, 100) == 0);
  applyShares(gates, b, state(1000, MoveStage::Completed));
  CHECK(countNew(gates, b, 100) == 100);
}

TEST_CASE("a bad or rolled-back version gets no dispatches", "[share]") {
  ShareGates gates;
  const Bundle b = bundle();
  applyShares(gates, b, state(1000, MoveStage::Moving, true));
  CHECK(countNew(gates, b, 100) == 0);
  ShareGates rolledback;
  applyShares(rolledback, b, state(1000, MoveStage::RolledBack));
  CHECK(countNew(rolledback, b, 100) == 0);
}

TEST_CASE("a pool without a move may use any version", "[share]") {
  ShareGates gates;
  CHECK(chooseVersion(gates, Bundle{}, Pool).Choice == VersionChoice::Any);
  CHECK(startDispatch(gates, {}, New));
}

TEST_CASE("a choice made under an earlier share is charged again", "[share]") {
  ShareGates gates;
  const Bundle b = bundle();
  applyShares(gates, b, state(500));
  CHECK_FALSE(dispatchToNew(gates, b));
  const ShareChoice open = chooseVersion(gates, b, Pool);
  REQUIRE(open.Choice == VersionChoice::PreferNew);
  applyShares(gates, b, state(100));
  CHECK_FALSE(startDispatch(gates, open, New));
}

TEST_CASE("the share bound holds in every order of events", "[share]") {
  CHECK(rc::check([] {
    RandomRun r;
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t ev : events) {
      const std::uint32_t kind = ev % 100;
      if (kind < 2)
        setShare(r, (ev / 100) % 4 * 250, kind == 1 && ev % 700 < 100);
      else if (kind < 50 || r.Open.empty())
        r.Open.push_back(chooseVersion(r.Gates, r.ActiveBundle, Pool));
      else
        completeChoice(r, ev / 100, static_cast<int>(ev / 7 % 4));
      RC_ASSERT(r.ToNew * FullSharePermille <= r.Share * r.All);
      RC_ASSERT(!r.Bad || r.ToNew == 0);
    }
  }));
}

TEST_CASE("the share bound holds across threads", "[share]") {
  constexpr int Threads = 4;
  constexpr std::uint32_t EachDispatches = 20000;
  ShareGates gates;
  const Bundle b = bundle();
  applyShares(gates, b, state(100));
  std::atomic<std::uint32_t> tonew{0};
  std::vector<std::thread> workers;
  for (int n = 0; n < Threads; ++n)
    workers.emplace_back([&] { tonew += countNew(gates, b, EachDispatches); });
  for (std::thread &t : workers)
    t.join();
  constexpr std::uint32_t Bound = Threads * EachDispatches / 10;
  CHECK(tonew <= Bound);
  CHECK(tonew + 10 >= Bound);
}
