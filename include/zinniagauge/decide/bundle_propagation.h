// Propagation of accepted bundles: members adopt the highest version, a few
// members of each zone read the table, and a new VM recovers the highest
// version before it serves.
#ifndef ZINNIAGAUGE_DECIDE_BUNDLE_PROPAGATION_H
#define ZINNIAGAUGE_DECIDE_BUNDLE_PROPAGATION_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/cell.h"
#include "zinniagauge/board/member.h"
#include "zinniagauge/decide/exchange.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace zinniagauge {

/// A version number with the digest of the bundle text.
struct BundleVersion {
  std::uint64_t Version = 0;
  std::string Digest;
};

/// How another version compares with this VM's.
enum class BundleOrder : std::uint8_t {
  Older,    ///< Not adopted; its holder needs this VM's.
  Same,     ///< The same text.
  Newer,    ///< To be adopted.
  Conflict, ///< One number, two texts; must never happen. This VM's is kept.
};

/// How \p other compares with \p mine.
[[nodiscard]] BundleOrder orderOf(const BundleVersion &mine,
                                  const BundleVersion &other) noexcept;

/// The version and digest of \p b.
[[nodiscard]] BundleVersion versionOf(const Bundle &b);

/// Publishes \p next in the section \p active of the board if it is newer.
/// Returns how it compares with the bundle that was active before. Only one
/// thread at a time may call this.
BundleOrder activateIfNewer(Cell<Bundle> &active, Bundle next);

/// How many members of a zone read the head in the table; the others receive it
/// by exchange, which keeps the reads of a large zone few.
inline constexpr std::size_t PollersPerZone = 3;

/// Whether \p self reads the head in the table: while it is one of the first
/// PollersPerZone live members of its zone, in the order of ids. A member that
/// is not in the list reads it.
[[nodiscard]] bool shouldReadTable(std::span<const Member> members,
                                   VmId self) noexcept;

/// How long a new VM waits for all its peers while the table does not respond.
inline constexpr Duration PeerRecoveryTimeout = std::chrono::seconds(2);

/// What a new VM has received since its start.
struct RecoveryView {
  std::uint64_t ActiveVersion = 0;
  std::optional<std::uint64_t> TableHead; // Absent: no response from the table.
  std::size_t KnownPeers = 0;             // Peers with a known address.
  std::size_t ReportedPeers = 0;          // Peers that have reported.
  std::uint64_t HighestPeerVersion = 0;
  Duration SinceStart = Duration::zero(); // Time since the start.
};

/// The recovery view of a VM whose exchange is \p ex. \p table_head is the
/// version that was read in the table, if it responded.
[[nodiscard]] RecoveryView recoveryView(const Exchange &ex,
                                        std::optional<std::uint64_t> table_head,
                                        Time now);

/// Whether a new VM may report ready: its active bundle has at least the
/// highest version of the table and its peers, and the table or all peers have
/// reported, or at least one peer after PeerRecoveryTimeout.
[[nodiscard]] bool isRecovered(const RecoveryView &view) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BUNDLE_PROPAGATION_H
