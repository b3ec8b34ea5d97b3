// Tracks which back ends may be used, from readings of the discovery list.
#ifndef ZINNIAGAUGE_DECIDE_BACKEND_TRACKER_H
#define ZINNIAGAUGE_DECIDE_BACKEND_TRACKER_H

#include "zinniagauge/board/backend.h"
#include "zinniagauge/time/clock.h"

#include <compare>
#include <map>
#include <span>
#include <string>

namespace zinniagauge {

/// How long an entry may be missing after an outage of the list, during which
/// its back end couldn't renew it. The platform specifies two seconds.
inline constexpr Duration RenewalGrace = std::chrono::milliseconds(2200);

/// A longer gap between two readings counts as an outage of the list.
inline constexpr Duration MinListOutage = std::chrono::milliseconds(2500);

/// Identifies one run of a back end's process.
struct BackendIncarnation {
  std::string Name;
  std::uint64_t StartedAtMs = 0;

  auto operator<=>(const BackendIncarnation &) const = default;
};

/// The latest entry of one incarnation.
struct TrackedBackend {
  Backend LastEntry;
  bool Listed = true; // Whether the latest reading has it.
  Time ColdUntil;     // By bootNow; in the past if its row says it is warm.
};

/// The back ends known to one process. An incarnation that was once marked as
/// leaving stays leaving.
struct BackendTracker {
  std::map<BackendIncarnation, TrackedBackend> Incarnations;
  /// Since it is known to leave.
  std::map<BackendIncarnation, Time> LeavingSince;
  Time LastReadAt;    // When the latest reading was requested.
  Time GraceDeadline; // Missing entries are kept until then.
  /// Since then no gap between two readings was an outage.
  Time ReadableSince;
  bool HasReading = false;
};

/// Applies a complete reading of the list that was requested at \p requested
/// and arrived at \p now, which is \p boot by bootNow. Returns true if the
/// usable back ends may have changed.
[[nodiscard]] bool applyReading(BackendTracker &tracker,
                                std::span<const Backend> listed, Time requested,
                                Time now, Time boot);

/// Records, at \p now, that a reading requested at \p requested would have
/// returned the same list. Returns true if the usable back ends may have
/// changed: entries still missing after an outage are dropped at GraceDeadline.
[[nodiscard]] bool confirmUnchanged(BackendTracker &tracker, Time requested,
                                    Time now);

/// Records, at \p now, that the list was restored from a copy. Entries that it
/// lacks are kept for RenewalGrace, until their back ends have written them
/// again.
void keepMissing(BackendTracker &tracker, Time now) noexcept;

/// Whether missing entries are kept at \p now.
[[nodiscard]] bool isInGrace(const BackendTracker &tracker, Time now) noexcept;

/// Records that another process has read the list without an outage since \p
/// since. The list was then readable while this process couldn't read it, so
/// entries that are missing from its latest reading didn't lapse in an outage
/// unless that ended after \p since. Returns true if the usable back ends may
/// have changed.
[[nodiscard]] bool shortenGrace(BackendTracker &tracker, Time since, Time now);

/// A digest of a list, the same in every process that read the same entries in
/// any order.
[[nodiscard]] std::uint64_t digestOf(std::span<const Backend> listed);

/// The tracked back ends, sorted by id. Those that were replaced by a later
/// incarnation are marked as leaving.
[[nodiscard]] BackendList usableBackends(const BackendTracker &tracker);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BACKEND_TRACKER_H
