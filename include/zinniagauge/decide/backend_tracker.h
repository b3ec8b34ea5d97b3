// Which back ends may be used, from readings of the discovery list.
#ifndef ZINNIAGAUGE_DECIDE_BACKEND_TRACKER_H
#define ZINNIAGAUGE_DECIDE_BACKEND_TRACKER_H

#include "zinniagauge/board/backend.h"
#include "zinniagauge/time/clock.h"

#include <compare>
#include <map>
#include <span>
#include <string>

namespace zinniagauge {

/// How long an entry may be missing after the list could be read again: its
/// owner had no way to renew it meanwhile. The platform states two seconds.
inline constexpr Duration RenewalGrace = std::chrono::milliseconds(2200);

/// A gap between two readings that counts as an outage of the list.
inline constexpr Duration MinListOutage = std::chrono::milliseconds(2500);

/// One life of a back end.
struct BackendIncarnation {
  std::string Name;
  std::uint64_t StartedAtMs = 0;

  auto operator<=>(const BackendIncarnation &) const = default;
};

/// What is remembered of a life.
struct TrackedBackend {
  Backend LastEntry;
  bool Listed = true; // In the latest reading.
};

/// The back ends of one process. A life that was once seen to leave stays so.
struct BackendTracker {
  std::map<BackendIncarnation, TrackedBackend> Incarnations;
  std::map<BackendIncarnation, Time>
      LeavingSince;   // Since when a life is known to leave.
  Time LastReadAt;    // When the latest reading was asked for.
  Time GraceDeadline; // Until then missing entries aren't taken as gone.
  bool HasReading = false;
};

/// Takes in a whole reading of the list that was asked for at \p asked and
/// arrived at \p now. True if the usable back ends may have changed.
[[nodiscard]] bool applyReading(BackendTracker &track,
                                std::span<const Backend> listed, Time asked,
                                Time now);

/// A reading that was asked for at \p asked would have given the same list, as
/// is known at \p now. True if the usable back ends may have changed: entries
/// that were missing after an outage go in their time.
[[nodiscard]] bool confirmUnchanged(BackendTracker &track, Time asked,
                                    Time now);

/// A digest of a list, equal wherever the same was read.
[[nodiscard]] std::uint64_t digestOf(std::span<const Backend> listed);

/// The back ends as of the latest reading, sorted by id.
[[nodiscard]] BackendList usableBackends(const BackendTracker &track);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BACKEND_TRACKER_H
