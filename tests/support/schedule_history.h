// Random histories of schedulers in simulated time, checked against a simple
// model after each step.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SCHEDULE_HISTORY_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SCHEDULE_HISTORY_H

#include <cstdint>
#include <string>

namespace zinniagauge::support {

/// Counts of one history, and the first violation.
struct HistoryResult {
  std::uint64_t Steps = 0;
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Restarts = 0;
  std::uint64_t UsesPrevented = 0; // Grants that mayUse rejected.
  std::string Violation;           // Empty: no violation.
};

/// Runs \p events random events from \p seed: tickets, cancels, returns,
/// announcements, expiries, duplicated messages, endpoints that leave or change
/// version, versions that turn bad, restarts, and two schedulers at once. At
/// the end, waits until no ticket or grant is left.
[[nodiscard]] HistoryResult runHistory(std::uint64_t seed,
                                       std::uint64_t events);

} // namespace zinniagauge::support

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SCHEDULE_HISTORY_H
