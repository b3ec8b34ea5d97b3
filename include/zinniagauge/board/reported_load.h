// What a back end says of its own load in its responses.
#ifndef ZINNIAGAUGE_BOARD_REPORTED_LOAD_H
#define ZINNIAGAUGE_BOARD_REPORTED_LOAD_H

#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// The load of one back end in its own words, with the calls of all fronts.
struct ReportedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0; // Inside the back end, for one of its slots.
  std::uint32_t Slots = 0;   // Zero: unknown.
  /// How long work takes there at present, in percent of the usual time. Zero:
  /// the back end doesn't state it, and its load isn't used for decisions.
  std::uint32_t Pace = 0;
  Time At; // When this was received, or as much earlier as it was forwarded.

  bool operator==(const ReportedLoad &) const = default;
};

/// Larger figures are taken for nonsense.
inline constexpr std::uint32_t MaxReportedCalls = 100'000;
inline constexpr std::uint32_t MaxReportedSlots = 65'535;
inline constexpr std::uint32_t MaxReportedPace = 100'000;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_REPORTED_LOAD_H
