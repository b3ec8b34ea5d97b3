// What an endpoint has in flight, and whether one more ticket fits.
#ifndef ZINNIAGAUGE_DECIDE_ENDPOINT_ACCOUNT_H
#define ZINNIAGAUGE_DECIDE_ENDPOINT_ACCOUNT_H

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
  return tokens <= policy.MaxSmallTokens ? SizeClass::Small : SizeClass::Large;
}

/// Slots and tokens that are taken.
struct Usage {
  std::uint32_t Slots = 0;
  std::uint64_t Tokens = 0;
};

/// What was in flight at a past moment, to compare a load report with.
struct UsageSample {
  Time SampledAt;
  Usage InUse;
};

/// One endpoint as its scheduler sees it. Own grants are counted exactly.
struct EndpointAccount {
  EndpointId Id;

  // As of the last reading of the board.
  VersionId Version;
  std::uint32_t Slots = 0;      // That it batches well.
  std::uint32_t TokenLimit = 0; // That it batches well; zero: no limit.
  bool Usable = false;          // May get new work.
  Usage ExternalUsage;          // Reported beyond the own grants.

  std::array<Usage, SizeClassCount> OwnByClass; // By size class.
  Speed LearntSpeed;
  Time LastGrantAt;
  Time LastSampleAt;          // Of its speed.
  Time BackoffUntil;          // After a failure it gets nothing until then.
  std::uint32_t Failures = 0; // In a row.

  std::array<UsageSample, 32> UsageSamples; // A ring, for load reports.
  std::size_t NextSample = 0;

  std::uint32_t AvailableIndex = 0; // In the scheduler's list, plus one.
  std::uint64_t SmallClaimStep = 0; // The step in which a ticket that
  std::uint64_t LargeClaimStep = 0; // didn't fit has claimed its room.
  Tier LargeClaimTier;              // The tier of the latter.
};

/// All own grants at \p acc.
[[nodiscard]] Usage ownUsage(const EndpointAccount &acc) noexcept;

/// What a ticket may do with the reserve of small ones.
enum class ReserveUse : std::uint8_t {
  Ignore,      ///< Takes any room.
  Preserve,    ///< Leaves what small tickets don't use of the reserve now.
  OnlyReserve, ///< Takes nothing else: a large ticket waits for the rest.
};

/// What a ticket asks of an endpoint.
struct CapacityRequest {
  std::uint32_t Tokens = 0;
  ReserveUse Use = ReserveUse::Ignore;
  double ReserveShare = 0; // For small tickets, of all slots and tokens.
};

/// Whether a ticket fits.
[[nodiscard]] bool hasCapacity(const EndpointAccount &acc,
                               const CapacityRequest &want) noexcept;

/// Counts a grant of \p tokens as in flight.
void addUsage(EndpointAccount &acc, SizeClass cls,
              std::uint32_t tokens) noexcept;

/// The inverse of take; asserts Invariant::SlotsBalance.
void removeUsage(EndpointAccount &acc, SizeClass cls,
                 std::uint32_t tokens) noexcept;

/// Remembers the own usage now, if the last sample is old enough.
void sampleUsage(EndpointAccount &acc, Time now) noexcept;

/// Sets Foreign from \p report, discounted by its age: what the endpoint
/// reported beyond the own grants of that time. A report that is too old
/// leaves the own counts alone to speak.
void updateExternalUsage(EndpointAccount &acc, const LoadReport &report,
                         Duration maxage, Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ENDPOINT_ACCOUNT_H
