// Compact identifiers. Names from the bundle are represented by 64-bit hashes,
// equal on every VM, so that tickets and counters are small and compare fast.
#ifndef ZINNIAGAUGE_BOARD_IDS_H
#define ZINNIAGAUGE_BOARD_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace zinniagauge {

/// The 64-bit hash of a name (XXH3, seed 0): the same on every VM. A bundle in
/// which two names of one kind share a hash is refused when it is checked.
[[nodiscard]] std::uint64_t nameHash(std::string_view name) noexcept;

/// A hashed name. \p Tag makes the ids of each kind a type of their own at no
/// run-time cost.
template <typename Tag> struct NameId {
  std::uint64_t Value = 0;

  auto operator<=>(const NameId &) const = default;

  /// The id for \p name.
  [[nodiscard]] static NameId of(std::string_view name) noexcept {
    return NameId{nameHash(name)};
  }
};

/// A back end: an engine or a plain service.
using EndpointId = NameId<struct EndpointTag>;
/// A customer of the platform, to whom requests are accounted.
using WorkspaceId = NameId<struct WorkspaceTag>;
/// A set of endpoints that serve the same work.
using PoolId = NameId<struct PoolTag>;
/// A rule that assigns requests to a pool.
using RouteId = NameId<struct RouteTag>;
/// A release label of what an endpoint runs, such as "dossier-7".
using VersionId = NameId<struct VersionTag>;
/// An availability zone.
using ZoneId = NameId<struct ZoneTag>;
/// A VM of the system, the same for all its incarnations.
using VmId = NameId<struct VmTag>;
/// A version move.
using MoveId = NameId<struct MoveTag>;

/// One request of one caller: unique over all VMs and incarnations.
struct RequestId {
  std::uint64_t High = 0; // Random number chosen by a process at its start.
  std::uint64_t Low = 0;  // Counts the requests of that process.

  auto operator<=>(const RequestId &) const = default;
};

/// Formats \p id as 32 hexadecimal digits.
[[nodiscard]] std::string toString(RequestId id);

/// The inverse of toString; nothing if \p text is not 32 hexadecimal digits.
[[nodiscard]] std::optional<RequestId>
parseRequestId(std::string_view text) noexcept;

} // namespace zinniagauge

template <typename Tag> struct std::hash<zinniagauge::NameId<Tag>> {
  std::size_t operator()(zinniagauge::NameId<Tag> id) const noexcept {
    return id.Value;
  }
};

template <> struct std::hash<zinniagauge::RequestId> {
  std::size_t operator()(zinniagauge::RequestId id) const noexcept {
    return id.High ^ (id.Low * 0x9E3779B97F4A7C15U);
  }
};

#endif // ZINNIAGAUGE_BOARD_IDS_H
