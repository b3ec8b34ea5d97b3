// The traffic plan: which calls go to which pools, and within which limits.
// Each plan is built from one version of the operators' configuration and is
// immutable.
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

/// How often a route's calls may run, which decides whether they may be
/// retried.
enum class CallKind : std::uint8_t {
  Safe,   ///< May run any number of times.
  Unsafe, ///< Runs at most once.
  Stream, ///< Responds with events; runs at most once unless it may be resumed.
};

/// A pool and its weight in a route's traffic.
struct PoolWeight {
  PoolId Pool;
  std::uint32_t Weight = 1;
};

/// Identifies the text that something was parsed from.
struct TextDigest {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  bool operator==(const TextDigest &) const = default;
};

/// Assigns calls of one host and path prefix to pools.
struct PlanRoute {
  std::string Name;
  RouteId Id;
  std::string Host;   // Lower case, without a port.
  std::string Prefix; // Begins and ends with '/'.
  CallKind Kind = CallKind::Safe;
  Duration Timeout = Duration::zero(); // Maximum time that a caller waits.
  /// For the response or its first event.
  Duration LatencyTarget = Duration::zero();
  Duration GapTarget = Duration::zero(); // Longest gap between events.
  std::uint32_t Priority = 0;            // Zero is the most urgent.
  std::uint32_t MaxAttempts = 1; // Endpoints that one call may be sent to.
  bool AllowsAnonymous = false;  // Calls need no key.
  bool Resumable = false;        // A stream may be resumed at another endpoint.
  std::vector<PoolWeight> Pools; // At least one; weights are above zero.
  TextDigest Source;             // All zero: unknown.
};

/// A pool of the plan.
struct PlanPool {
  std::string Name;
  PoolId Id;
  std::uint32_t TokensPerEvent = 1; // Tokens in each event of a stream.
  /// How long a back end is cold after its start; zero: it never is.
  Duration ColdStart = Duration::zero();
  double ColdCallsPerSecond = 0; // What a cold back end bears.
};

/// A workspace, with the limits of what it may spend.
struct PlanWorkspace {
  std::string Name;
  WorkspaceId Id;
  std::uint32_t Priority = 0;
  bool HasPriority = false;          // False: the route's priority applies.
  bool CountsTokens = false;         // False: each call costs one.
  std::uint64_t DefaultCallCost = 1; // Cost of a call that states no tokens.
  double RatePerSecond = 0;          // Zero: no limit.
  double Burst = 0;
};

/// Limits on the size of requests and on the time that callers take to send
/// them.
struct CallerLimits {
  std::size_t MaxHeadBytes = 16384;
  std::uint64_t MaxBodyBytes = std::uint64_t{4} << 20U;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// One version of the plan.
struct TrafficPlan {
  std::uint64_t Version = 0; // Zero: no plan yet.
  std::vector<PlanRoute> Routes;
  std::vector<PlanPool> Pools;
  std::vector<PlanWorkspace> Workspaces;
  CallerLimits Limits;
  bool RequiresKeys = false;

  // Indexes into the lists above.
  /// Workspaces, by key.
  std::unordered_map<std::string, std::size_t> WorkspaceByKey;
  /// Routes, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
};

/// Builds RoutesByHost of \p plan. The adapter that reads the keys fills
/// WorkspaceByKey.
void indexPlan(TrafficPlan &plan);

/// The route with the longest prefix of \p path at \p host, or null. \p host
/// may have a port and is compared without regard to case.
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

/// The pool of \p route that the random number \p random selects by weight.
[[nodiscard]] PoolId pickPool(const PlanRoute &route,
                              std::uint64_t random) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_TRAFFIC_PLAN_H
