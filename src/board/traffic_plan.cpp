// The indexes of a plan and the look-ups in them.
#include "zinniagauge/board/traffic_plan.h"

#include <algorithm>
#include <cctype>

namespace zinniagauge {

namespace {

/// \p host without its port, in lower case.
std::string normalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

} // namespace

void indexPlan(TrafficPlan &plan) {
  plan.RoutesByHost.clear();
  for (std::size_t n = 0; n < plan.Routes.size(); ++n)
    plan.RoutesByHost[normalizeHost(plan.Routes[n].Host)].push_back(n);
  for (auto &[host, list] : plan.RoutesByHost)
    std::stable_sort(
        list.begin(), list.end(), [&](std::size_t a, std::size_t b) {
          return plan.Routes[a].Prefix.size() > plan.Routes[b].Prefix.size();
        });
}

const PlanRoute *findRoute(const TrafficPlan &plan, std::string_view host,
                           std::string_view path) {
  const auto it = plan.RoutesByHost.find(normalizeHost(host));
  if (it == plan.RoutesByHost.end())
    return nullptr;
  for (const std::size_t n : it->second)
    if (path.starts_with(plan.Routes[n].Prefix))
      return &plan.Routes[n];
  return nullptr;
}

const PlanWorkspace *findWorkspaceByKey(const TrafficPlan &plan,
                                        std::string_view key) {
  const auto it = plan.WorkspaceByKey.find(std::string(key));
  return it == plan.WorkspaceByKey.end() ? nullptr
                                         : &plan.Workspaces[it->second];
}

const PlanPool *findPool(const TrafficPlan &plan, PoolId id) noexcept {
  const auto it = std::find_if(plan.Pools.begin(), plan.Pools.end(),
                               [&](const PlanPool &p) { return p.Id == id; });
  return it == plan.Pools.end() ? nullptr : &*it;
}

bool isMostUrgent(const TrafficPlan &plan, const PlanRoute &route,
                  PoolId pool) noexcept {
  const auto servespool = [&](const PlanRoute &r) {
    return std::any_of(r.Pools.begin(), r.Pools.end(),
                       [&](const PoolWeight &w) { return w.Pool == pool; });
  };
  return std::none_of(plan.Routes.begin(), plan.Routes.end(),
                      [&](const PlanRoute &r) {
                        return r.Priority < route.Priority && servespool(r);
                      });
}

PoolId pickPool(const PlanRoute &route, std::uint64_t random) noexcept {
  std::uint64_t sum = 0;
  for (const PoolWeight &w : route.Pools)
    sum += w.Weight;
  if (sum == 0)
    return route.Pools.empty() ? PoolId{} : route.Pools.front().Pool;
  std::uint64_t offset = random % sum;
  for (const PoolWeight &w : route.Pools) {
    if (offset < w.Weight)
      return w.Pool;
    offset -= w.Weight;
  }
  return route.Pools.back().Pool;
}

} // namespace zinniagauge
