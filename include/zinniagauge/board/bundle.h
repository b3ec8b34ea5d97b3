// The bundle: the versioned configuration that operators approve.
#ifndef ZINNIAGAUGE_BOARD_BUNDLE_H
#define ZINNIAGAUGE_BOARD_BUNDLE_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/tier.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinniagauge {

/// One priority class and its service-level objective.
struct TierSpec {
  std::string Name;
  Tier Rank;
  Duration DefaultTimeout = Duration::zero();
  Duration FirstTokenTarget = Duration::zero();
  /// Share of requests that must meet the target, such as 0.99.
  double Objective = 0;
};

/// A customer, with the digests of its API keys.
struct WorkspaceSpec {
  std::string Name;
  WorkspaceId Id;
  std::vector<std::string> KeyDigests; // SHA-256, lower-case hexadecimal.
  std::uint32_t Weight = 1; // Relative share of a busy pool within its tier.
  Tier HighestTier;         // Its requests may not use a higher one.
};

/// The kind of back end in a pool.
enum class PoolKind : std::uint8_t {
  Engine,  ///< Runs a model.
  Service, ///< A plain HTTP service.
};

/// A set of endpoints that serve the same work.
struct PoolSpec {
  std::string Name;
  PoolId Id;
  PoolKind Kind = PoolKind::Engine;
};

/// Assigns requests for a model or a path prefix to a pool. Either Model or
/// PathPrefix is set.
struct RouteSpec {
  std::string Name;
  RouteId Id;
  std::string Model;
  std::string PathPrefix;
  PoolId Pool;
  Tier DefaultTier;
  bool Idempotent = true; // False: runs at most once, such as issuing a permit.
};

/// One back end.
struct EndpointSpec {
  std::string Name;
  EndpointId Id;
  PoolId Pool;
  ZoneId Zone;
  std::string ZoneName;
  std::string Host; // An IP address.
  std::uint16_t Port = 0;
  VersionId Version;
  std::string VersionLabel;
  std::uint32_t Slots = 1;      // Requests that it batches efficiently.
  std::uint32_t TokenLimit = 0; // Tokens in flight that it batches efficiently.
  /// Configured speed, used until one is measured.
  std::uint32_t TokensPerSecond = 0;
  std::uint32_t HardwareGeneration = 0;
  bool ChecksFencingToken = false; // Refuses orders with an outdated token.
};

/// A version move: the traffic of a pool is shifted from one version to another
/// by a deadline, or rolled back.
struct MoveSpec {
  std::string Name;
  MoveId Id;
  PoolId Pool;
  VersionId OldVersion;
  VersionId NewVersion;
  std::string OldVersionLabel;
  std::string NewVersionLabel;
  std::vector<std::uint32_t> SharesPermille; // Ascending; the last is 1000.
  /// The minimum time at each share.
  Duration MinStepInterval = Duration::zero();
  WallTime Deadline;
};

/// A complete bundle as it was approved. It is immutable once built.
struct Bundle {
  std::uint64_t Version = 0; // Zero: no bundle yet.
  std::string Digest;        // SHA-256 of Text, lower-case hexadecimal.
  std::string Text;          // The approved JSON text, unchanged.
  std::vector<TierSpec> Tiers;
  std::vector<WorkspaceSpec> Workspaces;
  std::vector<PoolSpec> Pools;
  std::vector<RouteSpec> Routes;
  std::vector<EndpointSpec> Endpoints;
  std::vector<MoveSpec> Moves;

  // Indexes into the lists above, built by indexBundle.
  std::unordered_map<std::string, std::size_t> ByKeyDigest;
  std::unordered_map<EndpointId, std::size_t> ByEndpoint;
  std::unordered_map<PoolId, std::size_t> ByPool;
  std::unordered_map<PoolId, std::vector<ZoneId>> ZonesByPool; // Sorted.
};

/// Rebuilds the indexes of \p b from its lists.
void indexBundle(Bundle &b);

/// The workspace that has a key with \p digest, or null.
[[nodiscard]] const WorkspaceSpec *
findWorkspace(const Bundle &b, std::string_view digest) noexcept;

/// The route for \p model, or null.
[[nodiscard]] const RouteSpec *
findRouteByModel(const Bundle &b, std::string_view model) noexcept;

/// The route with the longest prefix that matches whole segments of \p path, or
/// null. A query after '?' isn't part of a segment.
[[nodiscard]] const RouteSpec *findRouteByPath(const Bundle &b,
                                               std::string_view path) noexcept;

/// The tier named \p name, or null.
[[nodiscard]] const TierSpec *findTier(const Bundle &b,
                                       std::string_view name) noexcept;

/// The endpoint with id \p id, or null.
[[nodiscard]] const EndpointSpec *findEndpoint(const Bundle &b,
                                               EndpointId id) noexcept;

/// The pool with id \p id, or null.
[[nodiscard]] const PoolSpec *findPool(const Bundle &b, PoolId id) noexcept;

/// The zones in which \p pool has endpoints, sorted.
[[nodiscard]] std::span<const ZoneId> zonesOf(const Bundle &b,
                                              PoolId pool) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_BUNDLE_H
