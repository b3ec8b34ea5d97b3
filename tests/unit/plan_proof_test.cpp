// Tests that a proof counts only for the plan that it proves to be the newest.
#include "zinniagauge/front/admission.h"

#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// A plan of version \p version whose only route is \p prefix, for the key "k".
TrafficPlan planOf(std::uint64_t version, std::string prefix) {
  PlanRoute route;
  route.Name = route.Prefix = std::move(prefix);
  route.Host = "h";
  route.Pools = {{PoolId::of("model"), 1}};
  TrafficPlan plan;
  plan.Version = version;
  plan.Routes = {route};
  plan.RequiresKeys = true;
  plan.Workspaces = {{"w", WorkspaceId::of("w")}};
  plan.WorkspaceByKey = {{"k", 0}};
  indexPlan(plan);
  return plan;
}

} // namespace

// Guards against a call routed by a plan that is too old, with the proof of the
// plan that replaced it in the same moment.
TEST_CASE("the proof of a new plan isn't used with the plan before it",
          "[front][plan]") {
  TestedFrontLoop f(0);
  const TrafficPlan before = planOf(1, "/before/");
  const TrafficPlan after = planOf(2, "/after/");
  const std::int64_t longago = toNanos(bootNow() - std::chrono::minutes(1));
  std::atomic<bool> done{false};
  std::thread controller([&] {
    constexpr int Changes = 200'000;
    for (int n = 0; n < Changes; ++n) {
      f.Board.Proof.publish({1, longago});
      f.Board.Plan.publish(before);
      f.Board.Plan.publish(after);
      f.Board.Proof.publish({2, toNanos(bootNow())});
    }
    done = true;
  });
  Call call;
  call.Head.Target = "/before/x";
  addField(call.Head.Fields, "Host", "h");
  addField(call.Head.Fields, f.Rl->Names.Credential, "k");
  int routed = 0;
  while (!done)
    routed += routeCall(*f.Rl, call) ? 0 : 1;
  controller.join();
  CHECK(routed == 0);
}

// Guards against calls that are served for any time by a plan whose front has
// learnt of a newer one.
TEST_CASE("a plan that is known to be outdated is used for no longer than a "
          "change may take",
          "[front][plan]") {
  TestedFrontLoop f(0);
  const auto served = [&](Duration age, std::uint64_t reportedrow,
                          std::uint64_t readupto = 5) {
    TrafficPlan plan = planOf(1, "/open/");
    plan.Routes[0].AllowsAnonymous = true;
    f.Board.Plan.publish(plan);
    f.Board.Proof.publish({1, toNanos(bootNow() - age)});
    f.Board.OperatorRows.publish(
        {{1, 5}, toNanos(bootNow() - age), 0, {1, readupto}});
    f.Board.ReportedOperatorRows.publish({{1, reportedrow}, 0});
    Call call;
    call.Head.Target = "/open/x";
    addField(call.Head.Fields, "Host", "h");
    return !routeCall(*f.Rl, call);
  };
  const Duration limit = f.Rl->Settings.FreshnessBounds.MaxRejectAge;
  const Duration margin = std::chrono::milliseconds(100);
  CHECK(served(limit - margin, 5));
  CHECK(served(limit - margin, 6));
  CHECK(served(limit + margin, 5));
  CHECK_FALSE(served(limit + margin, 6));
  // Row 6 was deleted before this front's first reading.
  CHECK(served(limit + margin, 6, 6));
}
