// The order in which waiting calls are served.
#ifndef ZINNIAGAUGE_DECIDE_CALL_ORDER_H
#define ZINNIAGAUGE_DECIDE_CALL_ORDER_H

#include "zinniagauge/time/clock.h"

#include <compare>
#include <cstdint>

namespace zinniagauge {

/// A call's place among those that wait for the same pool; the least is next.
struct CallRank {
  std::uint32_t Priority = 0; // Of its workspace, else of its route.
  std::uint32_t RoutePriority =
      0; // Of its route, where a workspace's comes first.
  std::uint32_t TargetMissed = 0; // 1: its target has passed.
  Time WaitingSince;
  std::uint64_t SequenceNumber = 0; // Keeps ranks apart.

  auto operator<=>(const CallRank &) const = default;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CALL_ORDER_H
