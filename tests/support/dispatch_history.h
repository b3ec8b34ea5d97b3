// Random histories of requests over several processes, with a failing table and
// endpoints that count what they run. The sequence of choices determines time,
// faults and order, so a history can be repeated exactly.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_HISTORY_H
#define ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_HISTORY_H

#include <cstdint>
#include <functional>
#include <string>

namespace zinniagauge::testing {

/// Returns the next choice, which may be any number.
using ChoiceFn = std::function<std::uint64_t()>;

/// Counts of what happened in histories; they show whether each case was
/// reached.
struct HistoryCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Completed = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t ExpiredGrants = 0; // Sends prevented by an expired grant.
  std::uint64_t Kills = 0;
  std::uint64_t LostClaimResponses = 0; // Transactions without a response.
};

/// The counts on one line.
[[nodiscard]] std::string describe(const HistoryCounts &counts);

/// Runs \p steps random steps, then lets all requests finish without further
/// faults. Returns the first invariant that was violated, or an empty string.
[[nodiscard]] std::string runDispatchHistory(const ChoiceFn &choose,
                                             std::uint64_t steps,
                                             HistoryCounts &counts);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_HISTORY_H
