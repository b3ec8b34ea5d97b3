// The settings of a scheduler's policy. Parts of it can be switched off, so
// that a measurement shows what each brings.
#ifndef ZINNIAGAUGE_DECIDE_POLICY_H
#define ZINNIAGAUGE_DECIDE_POLICY_H

#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// How a scheduler decides.
struct SchedulePolicy {
  bool Affinity = true;        // Prefer endpoints that hold the prefix.
  bool ReserveForSmall = true; // Keep room for small tickets.
  bool EarlyRefusal = true;    // Refuse what can't meet its deadline.

  std::uint32_t MaxSmallTokens = 512;  // A small ticket has at most so many.
  std::uint32_t ReservePermille = 125; // Of slots and tokens, for small ones.
  std::size_t MaxQueued = 10'000;      // Tickets; more are shed.

  Duration GrantTtl = std::chrono::seconds(2);
  Duration ExpiryMargin = std::chrono::seconds(1); // After Ttl, unreported.
  Duration AnnouncedTtl = std::chrono::seconds(6); // After an announcement.

  Duration ProbeInterval =
      std::chrono::seconds(2); // Of giving a slow one none.
  Duration MinBackoff = std::chrono::milliseconds(200); // After a failure.
  Duration MaxBackoff = std::chrono::seconds(5);
  Duration LoadMaxAge = std::chrono::seconds(2);   // Older reports: ignored.
  Duration PrefixMaxAge = std::chrono::minutes(2); // Unused for longer: lost.
  Duration RefreshPeriod = std::chrono::milliseconds(5); // Reading the board.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_POLICY_H
