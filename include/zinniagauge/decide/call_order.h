// The order in which waiting calls are served.
#ifndef ZINNIAGAUGE_DECIDE_CALL_ORDER_H
#define ZINNIAGAUGE_DECIDE_CALL_ORDER_H

#include "zinniagauge/time/clock.h"

#include <compare>
#include <cstdint>

namespace zinniagauge {

/// The rank of a call among those that wait for the same pool; the smallest is
/// served next.
struct CallRank {
  /// The workspace's if it has one, else the route's.
  std::uint32_t Priority = 0;
  /// The route's, if Priority is the workspace's.
  std::uint32_t RoutePriority = 0;
  std::uint32_t TargetMissed = 0; // 1: the call has missed its target.
  Time WaitingSince;
  std::uint64_t SequenceNumber = 0; // Makes ranks distinct.

  auto operator<=>(const CallRank &) const = default;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CALL_ORDER_H
