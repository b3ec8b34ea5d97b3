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
