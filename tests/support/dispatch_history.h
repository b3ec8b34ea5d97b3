// Random histories of requests over several processes, a table that fails and
// endpoints that count what they run. Time, faults and order are all chosen by
// the numbers that a history is made from, so each history repeats exactly.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_HISTORY_H
#define ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_HISTORY_H

#include <cstdint>
#include <functional>
#include <string>

namespace zinniagauge::testing {

/// The next choice; any number.
using ChoiceFn = std::function<std::uint64_t()>;

/// What a run of histories has seen, to show that it reaches its cases.
struct HistoryCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Completed = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t Lapses = 0; // Sends that a lapsed grant held back.
  std::uint64_t Kills = 0;
  std::uint64_t ClaimsLost = 0; // Transactions whose answer was lost.
};

/// The counts on one line.
[[nodiscard]] std::string describe(const HistoryCounts &counts);

/// Makes \p steps choices of what happens next, then lets everything come to
/// rest. Returns what was broken, or nothing.
[[nodiscard]] std::string runDispatchHistory(const ChoiceFn &choose,
                                             std::uint64_t steps,
                                             HistoryCounts &counts);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_HISTORY_H
