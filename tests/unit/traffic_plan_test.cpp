// Tests of the look-ups in a traffic plan.
#include "zinniagauge/board/traffic_plan.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

TrafficPlan
planWith(std::initializer_list<std::pair<const char *, const char *>> routes) {
  TrafficPlan plan;
  for (const auto &[host, prefix] : routes) {
    PlanRoute r;
    r.Name = std::string(host) + prefix;
    r.Host = host;
    r.Prefix = prefix;
    plan.Routes.push_back(std::move(r));
  }
  indexPlan(plan);
  return plan;
}

} // namespace

TEST_CASE("the longest prefix of the host wins", "[plan]") {
  const TrafficPlan plan = planWith(
      {{"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/"}});
  CHECK(findRoute(plan, "a.example", "/x/y/z")->Prefix == "/x/y/");
  CHECK(findRoute(plan, "A.example:80", "/x/z")->Prefix == "/x/");
  CHECK(findRoute(plan, "b.example", "/x/z")->Host == "b.example");
}

TEST_CASE("a path without a matching prefix has no route", "[plan]") {
  const TrafficPlan plan = planWith({{"a.example", "/x/"}});
  CHECK(findRoute(plan, "a.example", "/x") == nullptr);
  CHECK(findRoute(plan, "a.example", "/xy/") == nullptr);
  CHECK(findRoute(plan, "c.example", "/x/") == nullptr);
}

TEST_CASE("random numbers select pools in exact proportion to weights",
          "[plan]") {
  PlanRoute r;
  r.Pools = {{PoolId{1}, 90}, {PoolId{2}, 10}};
  int second = 0;
  for (std::uint64_t random = 0; random < 1000; ++random)
    second += pickPool(r, random) == PoolId{2} ? 1 : 0;
  CHECK(second == 100);
}

TEST_CASE("routes are compared by priority only within one pool", "[plan]") {
  TrafficPlan plan = planWith({{"a", "/1/"}, {"a", "/2/"}, {"a", "/3/"}});
  plan.Routes[0].Priority = 0;
  plan.Routes[0].Pools = {{PoolId{1}, 1}};
  plan.Routes[1].Priority = 1;
  plan.Routes[1].Pools = {{PoolId{1}, 1}};
  plan.Routes[2].Priority = 2;
  plan.Routes[2].Pools = {{PoolId{2}, 1}};
  CHECK(isMostUrgent(plan, plan.Routes[0], PoolId{1}));
  CHECK_FALSE(isMostUrgent(plan, plan.Routes[1], PoolId{1}));
  CHECK(isMostUrgent(plan, plan.Routes[2], PoolId{2}));
}
