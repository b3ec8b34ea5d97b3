// The settings of a scheduler. Some features can be disabled to measure the
// effect of each.
#ifndef ZINNIAGAUGE_DECIDE_POLICY_H
#define ZINNIAGAUGE_DECIDE_POLICY_H

#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// The limits and time spans that a scheduler decides by.
struct SchedulePolicy {
  bool Affinity = true;        // Prefer endpoints that hold the prefix.
  bool ReserveForSmall = true; // Reserve capacity for small tickets.
  bool EarlyRefusal = true;    // Refuse tickets that can't meet their deadline.

  /// Tickets of up to this many tokens are small.
  std::uint32_t MaxSmallTokens = 512;
  /// The minimum share of slots and tokens that is reserved for small tickets.
  std::uint32_t ReservePermille = 125;
  std::size_t MaxQueued = 10'000; // Tickets beyond this number are shed.

  Duration GrantTtl = std::chrono::seconds(2);
  /// Added to GrantTtl for grants that are neither returned nor announced.
  Duration ExpiryMargin = std::chrono::seconds(1);
  /// How long an announcement keeps a slot.
  Duration AnnouncedTtl = std::chrono::seconds(6);

  /// Idle time after which a slow endpoint is probed.
  Duration ProbeInterval = std::chrono::seconds(2);
  /// Backoff after the first failure; doubles with each further one.
  Duration MinBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(5);
  Duration LoadMaxAge = std::chrono::seconds(2); // Older reports are ignored.
  /// Prefixes unused for longer count as evicted.
  Duration PrefixMaxAge = std::chrono::minutes(2);
  /// Between reads of an unchanged board.
  Duration RefreshPeriod = std::chrono::milliseconds(5);
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_POLICY_H
