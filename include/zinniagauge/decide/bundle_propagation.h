// Spread of accepted bundles: members merge by the highest version, a few of a
// zone read the table, and a new VM recovers before it serves.
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

/// A version with the digest of its text.
struct BundleVersion {
  std::uint64_t Version = 0;
  std::string Digest;
};

/// How another version stands to one's own.
enum class BundleOrder : std::uint8_t {
  Older,    ///< Of no use, but its holder wants one's own.
  Same,     ///< The same text.
  Newer,    ///< To be taken.
  Conflict, ///< One number, two texts: must never happen; the own one is kept.
};

/// How \p other stands to \p mine.
[[nodiscard]] BundleOrder orderOf(const BundleVersion &mine,
                                  const BundleVersion &other) noexcept;

/// The version and digest of \p b.
[[nodiscard]] BundleVersion versionOf(const Bundle &b);

/// Puts \p next in force on the board's section \p in_force if it is newer, and
/// says how it stood to what was. To be called by one thread at a time.
BundleOrder activateIfNewer(Cell<Bundle> &in_force, Bundle next);

/// The members of a zone that read the head in the table; the rest get it by
/// exchange, so that the reads of a large zone stay few.
inline constexpr std::size_t PollersPerZone = 3;

/// Whether \p self reads the head in the table: while it is one of the first
/// PollersPerZone live members of its zone, in the order of ids. A member that
/// is not listed reads it.
[[nodiscard]] bool shouldReadTable(std::span<const Member> members,
                                   VmId self) noexcept;

/// How long a new VM waits for all its peers while the table doesn't answer.
inline constexpr Duration PeerRecoveryTimeout = std::chrono::seconds(2);

/// What a new VM has heard since its start.
struct RecoveryView {
  std::uint64_t ActiveVersion = 0;
  std::optional<std::uint64_t> TableHead; // Absent: the table hasn't answered.
  std::size_t KnownPeers = 0;             // That are known by address.
  std::size_t ReportedPeers = 0;
  std::uint64_t HighestPeerVersion = 0;
  Duration SinceStart = Duration::zero(); // The start.
};

/// What a VM that exchanges state by \p ex has heard; \p table_head is what the
/// table said, if it answered.
[[nodiscard]] RecoveryView recoveryView(const Exchange &ex,
                                        std::optional<std::uint64_t> table_head,
                                        Time now);

/// Whether a new VM may report ready: it has in force the highest version of
/// the table and its peers, and has heard the table, or all peers, or after
/// PeerWait at least one.
[[nodiscard]] bool isRecovered(const RecoveryView &view) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BUNDLE_PROPAGATION_H
