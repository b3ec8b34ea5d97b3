// Random histories of schedulers on a time of their own, checked against a
// plain model after each step.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SCHEDULE_HISTORY_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SCHEDULE_HISTORY_H

#include <cstdint>
#include <string>

namespace zinniagauge::support {

/// What a history came to.
struct HistoryResult {
  std::uint64_t Steps = 0;
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Restarts = 0;
  std::uint64_t UsesPrevented = 0; // Grants that mayUse held back.
  std::string Violation;           // Empty: everything held.
};

/// Runs \p events random events from \p seed: tickets, cancels, returns,
/// announcements, lapses, repeated messages, endpoints that leave or change
/// version, versions that turn bad, restarts, and two schedulers at once. Ends
/// by letting everything come to rest.
[[nodiscard]] HistoryResult runHistory(std::uint64_t seed,
                                       std::uint64_t events);

} // namespace zinniagauge::support

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SCHEDULE_HISTORY_H
