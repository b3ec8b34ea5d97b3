#include "zinniagauge/time/clock.h"

namespace zinniagauge {

Time monotonicNow() noexcept { return std::chrono::steady_clock::now(); }

WallTime wallNow() noexcept {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace zinniagauge
