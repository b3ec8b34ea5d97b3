// Estimates the present load of a back end from what it said of itself, what
// the fronts know of their calls there, and the age of both.
#ifndef ZINNIAGAUGE_DECIDE_REPORTED_LOAD_H
#define ZINNIAGAUGE_DECIDE_REPORTED_LOAD_H

#include "zinniagauge/board/reported_load.h"
#include "zinniagauge/decide/backend_choice.h"
#include "zinniagauge/time/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace zinniagauge {

/// The age at which the reported calls no longer count: reports of other fronts
/// are 10 to 60 ms old, and calls of some 100 ms end meanwhile.
inline constexpr Duration ReportedRunningLifetime =
    std::chrono::milliseconds(150);

/// The age at which a reported pace no longer counts.
inline constexpr Duration ReportedPaceLifetime = std::chrono::milliseconds(500);

/// The age at which calls that were said to wait no longer keep others away,
/// however few ends are known: ends at fronts that aren't heard aren't counted,
/// and a back end that is sent nothing reports nothing new.
inline constexpr Duration ReportedWaitingLifetime = std::chrono::seconds(3);

/// A back end counts as at most this much faster than usual, as a fraction of
/// its usual time; otherwise one that is briefly idle attracts all fronts.
inline constexpr double MinPaceScale = 0.25;

/// A report of another front that equals the newest one within this time is
/// taken for the same report, which came back.
inline constexpr Duration ReportEchoSpan = std::chrono::milliseconds(20);

/// What is assumed of one back end.
struct LoadEstimate {
  double Running = 0;      // Calls of all fronts, running or waiting there.
  double EventMs = 0;      // Time per event; zero: unknown.
  bool HasWaiting = false; // Calls wait inside it for a slot.
};

/// What happened at a back end after its report.
struct CallsSince {
  std::uint32_t Sent = 0;       // By this front.
  std::uint32_t Ended = 0;      // Of this front.
  std::uint32_t PeersEnded = 0; // Of other fronts, as far as they reported.
};

/// The latest calls of this front that started or ended at one back end. It is
/// sent a few a second, so these cover the time for which a report counts.
struct CallHistory {
  struct Change {
    Time At;
    std::int8_t Delta = 0; // 1: sent, -1: ended.
  };
  std::array<Change, 16> Latest;
  std::size_t Next = 0; // Index in Latest.
};

/// The paces that a back end reported last.
struct PaceHistory {
  struct Entry {
    Time At;
    std::uint32_t Pace = 0;
  };
  std::array<Entry, 16> Latest; // In order of time, from Next on.
  std::size_t Next = 0;
};

/// What one front knows of one back end's reports.
struct LoadReports {
  ReportedLoad Own;    // The newest in a response to this front.
  ReportedLoad Newest; // Of all that are known.
  /// Calls of other fronts, as known when Newest arrived.
  std::uint32_t PeersRunning = 0;
  CallHistory Calls;
  PaceHistory Paces;
};

/// Adds a call of this front that was sent at \p now (\p delta 1) or ended
/// (-1).
void recordChange(CallHistory &calls, std::int8_t delta, Time now) noexcept;

/// Adds a report that a response to this front had. \p peersrunning: calls of
/// other fronts, as far as they are known now.
void addOwnReport(LoadReports &reports, const ReportedLoad &said,
                  std::uint32_t peersrunning) noexcept;

/// Adds a report that another front had if it is newer than those known.
/// Returns whether it is.
bool addPeerReport(LoadReports &reports, const ReportedLoad &said,
                   std::uint32_t peersrunning) noexcept;

/// What happened since the newest report. \p peersrunning: as above.
[[nodiscard]] CallsSince callsSince(const LoadReports &reports,
                                    std::uint32_t peersrunning) noexcept;

/// The load at \p now of a back end with \p slots slots that said \p said.
/// \p learnt is what the fronts measured; it is returned if the back end states
/// no pace or the report is old.
[[nodiscard]] LoadEstimate estimateLoad(const ReportedLoad &said,
                                        const LoadEstimate &learnt,
                                        double slots, const CallsSince &since,
                                        Time now) noexcept;

/// The time that what was done from \p from to \p to takes at the usual pace.
[[nodiscard]] Duration usualSpan(const PaceHistory &paces, Time from,
                                 Time to) noexcept;

/// If the only usable candidate has waiting calls, lets it take calls as far as
/// its learned load says.
void allowOnlyCandidate(std::span<Candidate> list) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_REPORTED_LOAD_H
