// The scheduler's snapshot of the board: its endpoints, their versions, and
// which of them may receive work.
#ifndef ZINNIAGAUGE_DECIDE_BOARD_SNAPSHOT_H
#define ZINNIAGAUGE_DECIDE_BOARD_SNAPSHOT_H

#include "zinniagauge/decide/schedule.h"

namespace zinniagauge {

/// The version that \p ep runs: the reported one, or else the one in the
/// bundle.
[[nodiscard]] VersionId versionOf(const EndpointSpec &ep,
                                  const EndpointState *st) noexcept;

/// Whether a move to \p version in \p pool was rolled back or its version was
/// found bad.
[[nodiscard]] bool isExcludedVersion(const ScheduleView &view, PoolId pool,
                                     VersionId version) noexcept;

/// Whether \p acc may receive a grant according to \p view, without using the
/// snapshot.
[[nodiscard]] bool mayServe(const Scheduler &s, const ScheduleView &view,
                            const EndpointAccount &acc) noexcept;

/// Updates the snapshot if the board has changed or the last read is too old.
void refreshSnapshot(Scheduler &s, const ScheduleView &view, Time now);

/// The index of the account of \p id; creates the account if there is none.
[[nodiscard]] std::uint32_t findOrCreateAccount(Scheduler &s, EndpointId id);

/// Adds account \p idx to Scheduler::AvailableAccounts or removes it, according
/// to its capacity.
void updateAvailability(Scheduler &s, std::uint32_t idx, Time now);

/// Whether \p acc has been idle for so long that its learnt speed may be
/// outdated.
[[nodiscard]] bool isProbeDue(const SchedulePolicy &policy,
                              const EndpointAccount &acc, Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BOARD_SNAPSHOT_H
