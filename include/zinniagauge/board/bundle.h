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
  double Objective = 0; // Share of requests that must do well, such as 0.99.
};

/// A customer and the digests of the keys that act for it.
struct WorkspaceSpec {
  std::string Name;
  WorkspaceId Id;
  std::vector<std::string> KeyDigests; // SHA-256, lower-case hexadecimal.
  std::uint32_t Weight = 1;            // Share of a busy pool, in its tier.
  Tier HighestTier;                    // May not ask for a higher one.
};

/// What kind of back end a pool has.
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

/// Leads a model's name or a path prefix to a pool.
struct RouteSpec {
  std::string Name;
  RouteId Id;
  std::string Model;      // Either this,
  std::string PathPrefix; // or this is set.
  PoolId Pool;
  Tier DefaultTier;
  bool Idempotent = true; // False: may run at most once, such as a permit.
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
  std::uint32_t Slots = 1;           // Requests that it batches well.
  std::uint32_t TokenLimit = 0;      // Tokens in flight that it batches well.
  std::uint32_t TokensPerSecond = 0; // Stated speed, until it is learnt.
  std::uint32_t HardwareGeneration = 0; // Of its hardware.
  bool ChecksFencingToken = false;      // Refuses orders with an old number.
};

/// A version move: traffic of a pool goes from one version to another by a
/// deadline, or comes back.
struct MoveSpec {
  std::string Name;
  MoveId Id;
  PoolId Pool;
  VersionId OldVersion;
  VersionId NewVersion;
  std::string OldVersionLabel;
  std::string NewVersionLabel;
  std::vector<std::uint32_t> SharesPermille;   // Rising, the last one 1000.
  Duration MinStepInterval = Duration::zero(); // The least time at each share.
  WallTime Deadline;
};

/// A whole bundle, as it was approved. Never changed once made.
struct Bundle {
  std::uint64_t Version = 0; // Zero: no bundle yet.
  std::string Digest;        // SHA-256 of Text, lower-case hexadecimal.
  std::string Text;          // The approved JSON text itself.
  std::vector<TierSpec> Tiers;
  std::vector<WorkspaceSpec> Workspaces;
  std::vector<PoolSpec> Pools;
  std::vector<RouteSpec> Routes;
  std::vector<EndpointSpec> Endpoints;
  std::vector<MoveSpec> Moves;

  // Indexes into the lists above, made by indexBundle.
  std::unordered_map<std::string, std::size_t> ByKeyDigest;
  std::unordered_map<EndpointId, std::size_t> ByEndpoint;
  std::unordered_map<PoolId, std::size_t> ByPool;
  std::unordered_map<PoolId, std::vector<ZoneId>> ZonesByPool; // Sorted.
};

/// Fills the indexes of \p b from its lists.
void indexBundle(Bundle &b);

/// The workspace of a key's digest, or null.
[[nodiscard]] const WorkspaceSpec *
findWorkspace(const Bundle &b, std::string_view digest) noexcept;

/// The route of \p model, or null.
[[nodiscard]] const RouteSpec *
findRouteByModel(const Bundle &b, std::string_view model) noexcept;

/// The route with the longest prefix of \p path that ends at a '/' or at the
/// path's end, or null.
[[nodiscard]] const RouteSpec *findRouteByPath(const Bundle &b,
                                               std::string_view path) noexcept;

/// The tier called \p name, or null.
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
