// What a scheduler tracks of one endpoint: the capacity in use, the learnt
// speed and the failures; and whether another ticket fits.
#ifndef ZINNIAGAUGE_DECIDE_ENDPOINT_ACCOUNT_H
#define ZINNIAGAUGE_DECIDE_ENDPOINT_ACCOUNT_H

#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/decide/policy.h"
#include "zinniagauge/decide/speed.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// Size classes of tickets. Capacity is reserved for small tickets so that they
/// don't wait behind large ones.
enum class SizeClass : std::uint8_t { Small, Large };

/// The number of size classes, for tables indexed by one.
inline constexpr std::size_t SizeClassCount = 2;

/// The class of a ticket of \p tokens tokens.
[[nodiscard]] constexpr SizeClass sizeClass(const SchedulePolicy &policy,
                                            std::uint32_t tokens) noexcept {
  return tokens <= policy.MaxSmallTokens ? SizeClass::Small : SizeClass::Large;
}

/// Slots and tokens in use.
struct Usage {
  std::uint32_t Slots = 0;
  std::uint64_t Tokens = 0;
};

/// The usage at a past moment, for comparison with a load report.
struct UsageSample {
  Time SampledAt;
  Usage InUse;
};

/// One endpoint as its scheduler sees it. The scheduler's own grants are
/// counted exactly.
struct EndpointAccount {
  EndpointId Id;

  // As of the last read of the board.
  VersionId Version;
  std::uint32_t Slots = 0; // Requests that it batches efficiently.
  /// Tokens that it batches efficiently; zero: no limit.
  std::uint32_t TokenLimit = 0;
  bool Usable = false; // May receive new work.
  Usage ExternalUsage; // Reported load beyond the scheduler's own grants.

  /// Usage of the scheduler's own grants, by size class.
  std::array<Usage, SizeClassCount> OwnByClass;
  Speed LearntSpeed;
  Time LastGrantAt;
  Time LastSampleAt;          // When LearntSpeed was last updated.
  Time BackoffUntil;          // After a failure: no grants before then.
  std::uint32_t Failures = 0; // Consecutive failures.

  /// Ring buffer, for comparison with load reports.
  std::array<UsageSample, 32> UsageSamples;
  std::size_t NextSample = 0;

  /// Position in Scheduler::AvailableAccounts plus one; zero: not in it.
  std::uint32_t AvailableIndex = 0;
  /// The step in which a small ticket that didn't fit claimed the capacity.
  std::uint64_t SmallClaimStep = 0;
  /// The step in which a large ticket that didn't fit claimed the capacity.
  std::uint64_t LargeClaimStep = 0;
  /// The tier of the ticket that claimed at LargeClaimStep.
  Tier LargeClaimTier;
};

/// The usage of all own grants at \p acc.
[[nodiscard]] Usage ownUsage(const EndpointAccount &acc) noexcept;

/// How a ticket treats the capacity that is reserved for small tickets.
enum class ReserveUse : std::uint8_t {
  Ignore,      ///< Uses any capacity.
  Preserve,    ///< Leaves free what small tickets don't use of the reserve.
  OnlyReserve, ///< Uses nothing beyond the reserve, because a large ticket
               ///< waits for the rest.
};

/// The capacity that a ticket needs at an endpoint.
struct CapacityRequest {
  std::uint32_t Tokens = 0;
  ReserveUse Use = ReserveUse::Ignore;
  /// Share of slots and tokens that is reserved for small tickets.
  double ReserveShare = 0;
};

/// Whether \p acc has the capacity for a ticket.
[[nodiscard]] bool hasCapacity(const EndpointAccount &acc,
                               const CapacityRequest &want) noexcept;

/// Counts a grant of \p tokens tokens as in flight.
void addUsage(EndpointAccount &acc, SizeClass cls,
              std::uint32_t tokens) noexcept;

/// The inverse of addUsage; asserts Invariant::SlotsBalance.
void removeUsage(EndpointAccount &acc, SizeClass cls,
                 std::uint32_t tokens) noexcept;

/// Records the current own usage if the last sample is old enough.
void sampleUsage(EndpointAccount &acc, Time now) noexcept;

/// Sets ExternalUsage from \p report: the reported load beyond the own grants
/// at that time, weighted down by the report's age. A report that is older than
/// \p maxage is ignored, so that only the own grants count.
void updateExternalUsage(EndpointAccount &acc, const LoadReport &report,
                         Duration maxage, Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ENDPOINT_ACCOUNT_H
