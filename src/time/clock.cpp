// The clocks of the operating system.
#include "zinniagauge/time/clock.h"

#include <ctime>

namespace zinniagauge {

Time monotonicNow() noexcept { return std::chrono::steady_clock::now(); }

Time bootNow() noexcept {
  std::timespec ts{};
  ::clock_gettime(CLOCK_BOOTTIME, &ts);
  return Time(std::chrono::seconds(ts.tv_sec) + Duration(ts.tv_nsec));
}

WallTime wallNow() noexcept {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace zinniagauge
