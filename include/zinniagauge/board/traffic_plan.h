// The traffic plan: what callers may ask of which pools. It is made whole from
// one version of the operators' configuration and never changed.
#ifndef ZINNIAGAUGE_BOARD_TRAFFIC_PLAN_H
#define ZINNIAGAUGE_BOARD_TRAFFIC_PLAN_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniagauge {

/// What may be done again for a route's calls.
enum class CallKind : std::uint8_t {
  Safe,   ///< May run any number of times.
  Unsafe, ///< Runs at most once.
  Stream, ///< Answers by events; runs at most once unless it may be resumed.
};

/// A pool and its part of a route's traffic.
struct PoolWeight {
  PoolId Pool;
  std::uint32_t Weight = 1;
};

/// Leads calls of one host and path prefix to pools.
struct PlanRoute {
  std::string Name;
  RouteId Id;
  std::string Host;   // Lower case, without a port.
  std::string Prefix; // Begins and ends with '/'.
  CallKind Kind = CallKind::Safe;
  Duration Timeout = Duration::zero(); // The longest that a caller waits.
  Duration LatencyTarget =
      Duration::zero();                  // Of the answer or its first event.
  Duration GapTarget = Duration::zero(); // Longest pause between events.
  std::uint32_t Priority = 0;            // Zero is the most urgent.
  std::uint32_t MaxAttempts = 1;         // Endpoints that one call may reach.
  bool AllowsAnonymous = false;          // Needs no key.
  bool Resumable = false;                // A stream may go on elsewhere.
  std::vector<PoolWeight> Pools;         // At least one, weights above zero.
};

/// A pool as the plan knows it.
struct PlanPool {
  std::string Name;
  PoolId Id;
  std::uint32_t TokensPerEvent = 1; // Of a stream.
};

/// A workspace, with what it may spend.
struct PlanWorkspace {
  std::string Name;
  WorkspaceId Id;
  std::uint32_t Priority = 0;
  bool HasPriority = false;          // Else the route's counts.
  bool CountsTokens = false;         // Else each call costs one.
  std::uint64_t DefaultCallCost = 1; // Of a call that states no tokens.
  double RatePerSecond = 0;          // Zero: without a limit.
  double Burst = 0;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  std::size_t MaxHeadBytes = 16384;
  std::uint64_t MaxBodyBytes = std::uint64_t{4} << 20U;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// One version of the plan.
struct TrafficPlan {
  std::uint64_t Version = 0; // Zero: none yet.
  std::vector<PlanRoute> Routes;
  std::vector<PlanPool> Pools;
  std::vector<PlanWorkspace> Workspaces;
  CallerLimits Limits;
  bool RequiresKeys = false;

  // Made by indexPlan.
  std::unordered_map<std::string, std::size_t>
      WorkspaceByKey; // Key to workspace.
  std::unordered_map<std::string, std::vector<std::size_t>>
      RoutesByHost; // Routes, longest prefix first.
};

/// Fills ByHost of \p plan; ByKey is filled by whoever reads the keys.
void indexPlan(TrafficPlan &plan);

/// The route of a call, or null.
[[nodiscard]] const PlanRoute *findRoute(const TrafficPlan &plan,
                                         std::string_view host,
                                         std::string_view path);

/// The workspace of \p key, or null.
[[nodiscard]] const PlanWorkspace *findWorkspaceByKey(const TrafficPlan &plan,
                                                      std::string_view key);

/// The pool with id \p id, or null.
[[nodiscard]] const PlanPool *findPool(const TrafficPlan &plan,
                                       PoolId id) noexcept;

/// Whether no route to \p pool is more urgent than \p route.
[[nodiscard]] bool isMostUrgent(const TrafficPlan &plan, const PlanRoute &route,
                                PoolId pool) noexcept;

/// The pool of \p route that \p draw, a random number, falls on.
[[nodiscard]] PoolId pickPool(const PlanRoute &route,
                              std::uint64_t draw) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_TRAFFIC_PLAN_H
