// What a scheduler takes from the board: its endpoints, their versions, and
// which of them may get work.
#ifndef ZINNIAGAUGE_DECIDE_BOARD_SNAPSHOT_H
#define ZINNIAGAUGE_DECIDE_BOARD_SNAPSHOT_H

#include "zinniagauge/decide/schedule.h"

namespace zinniagauge {

/// The version that \p ep runs: what it reports, or else what the bundle says.
[[nodiscard]] VersionId versionOf(const EndpointSpec &ep,
                                  const EndpointState *st) noexcept;

/// Whether a move to \p version in \p pool was taken back, or is to be.
[[nodiscard]] bool isExcludedVersion(const ScheduleView &view, PoolId pool,
                                     VersionId version) noexcept;

/// Whether \p acc may get a grant under \p view, read afresh.
[[nodiscard]] bool mayServe(const Scheduler &s, const ScheduleView &view,
                            const EndpointAccount &acc) noexcept;

/// Reads the board if it has changed or the last reading is too old.
void refreshSnapshot(Scheduler &s, const ScheduleView &view, Time now);

/// The index of the account of \p id, made if there is none.
[[nodiscard]] std::uint32_t findOrCreateAccount(Scheduler &s, EndpointId id);

/// Puts account \p idx on the list of those with room, or takes it off.
void updateAvailability(Scheduler &s, std::uint32_t idx, Time now);

/// Whether \p acc has been given nothing for so long that its learnt speed may
/// no longer be true.
[[nodiscard]] bool isProbeDue(const SchedulePolicy &policy,
                              const EndpointAccount &acc, Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BOARD_SNAPSHOT_H
