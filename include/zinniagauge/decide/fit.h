// What an endpoint has in flight, and whether one more ticket fits.
#ifndef ZINNIAGAUGE_DECIDE_FIT_H
#define ZINNIAGAUGE_DECIDE_FIT_H

#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/decide/policy.h"
#include "zinniagauge/decide/speed.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// Small tickets have room of their own, so that none waits behind large ones.
enum class SizeClass : std::uint8_t { Small, Large };

/// The number of size classes, for tables indexed by one.
inline constexpr std::size_t SizeClassCount = 2;

/// The class of a ticket of \p tokens tokens.
[[nodiscard]] constexpr SizeClass sizeClass(const SchedulePolicy &policy,
                                            std::uint32_t tokens) noexcept {
  return tokens <= policy.SmallTokens ? SizeClass::Small : SizeClass::Large;
}

/// Slots and tokens that are taken.
struct Usage {
  std::uint32_t Slots = 0;
  std::uint64_t Tokens = 0;
};

/// What was in flight at a past moment, to compare a load report with.
struct UsageSample {
  Time At;
  Usage Used;
};

/// One endpoint as its scheduler sees it. Own grants are counted exactly.
struct EndpointAccount {
  EndpointId Id;

  // As of the last reading of the board.
  VersionId Version;
  std::uint32_t Slots = 0;      // That it batches well.
  std::uint32_t TokenLimit = 0; // That it batches well; zero: no limit.
  bool Usable = false;          // May get new work.
  Usage Foreign;                // Reported beyond the own grants.

  std::array<Usage, SizeClassCount> Own; // By size class.
  Speed Learnt;
  Time LastGrant;
  Time LastSample;            // Of its speed.
  Time NotBefore;             // After a failure it gets nothing until then.
  std::uint32_t Failures = 0; // In a row.

  std::array<UsageSample, 32> Past; // A ring, for load reports.
  std::size_t NextPast = 0;

  std::uint32_t RoomIndex = 0;      // In the scheduler's list, plus one.
  std::uint64_t ClaimedBySmall = 0; // The step in which a ticket that
  std::uint64_t ClaimedByLarge = 0; // didn't fit has claimed its room.
  Tier LargeClaimant;               // The tier of the latter.
};

/// All own grants at \p acc.
[[nodiscard]] Usage ownUsage(const EndpointAccount &acc) noexcept;

/// What a ticket may do with the reserve of small ones.
enum class ReserveUse : std::uint8_t {
  Free, ///< Takes any room.
  Keep, ///< Leaves what small tickets don't use of the reserve now.
  Only, ///< Takes nothing else: a large ticket waits for the rest.
};

/// What a ticket asks of an endpoint.
struct RoomWanted {
  std::uint32_t Tokens = 0;
  ReserveUse Use = ReserveUse::Free;
  double Reserve = 0; // For small tickets, of all slots and tokens.
};

/// Whether a ticket fits.
[[nodiscard]] bool fits(const EndpointAccount &acc,
                        const RoomWanted &want) noexcept;

/// Counts a grant of \p tokens as in flight.
void take(EndpointAccount &acc, SizeClass cls, std::uint32_t tokens) noexcept;

/// The inverse of take; asserts Invariant::SlotsBalance.
void release(EndpointAccount &acc, SizeClass cls,
             std::uint32_t tokens) noexcept;

/// Remembers the own usage now, if the last sample is old enough.
void sampleUsage(EndpointAccount &acc, Time now) noexcept;

/// Sets Foreign from \p report, discounted by its age: what the endpoint
/// reported beyond the own grants of that time. A report that is too old
/// leaves the own counts alone to speak.
void correctByReport(EndpointAccount &acc, const LoadReport &report,
                     Duration maxage, Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_FIT_H
