// The timer service: one thread that calls subscribers at their due times.
#ifndef ZINNIAGAUGE_TIME_TIMER_SERVICE_H
#define ZINNIAGAUGE_TIME_TIMER_SERVICE_H

#include "zinniagauge/time/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace zinniagauge {

/// Identifies a subscription of a TimerService.
struct TimerId {
  std::uint64_t Value = 0;
  auto operator<=>(const TimerId &) const = default;
};

/// Calls subscribers once or periodically, on a thread of its own.
///
/// Callbacks must be short: they hand work to another thread (a queue and a
/// wake-up) rather than do it. An overdue callback is called once, not once for
/// each missed period, so that a process that was paused doesn't resume with a
/// burst of calls.
class TimerService {
public:
  /// A subscriber's function. Its argument is the time of the call.
  using Callback = std::function<void(Time)>;

  TimerService();
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;
  ~TimerService();

  /// Calls \p fn every \p period, first one period from now. \p period must be
  /// positive.
  TimerId every(Duration period, Callback fn);

  /// Calls \p fn once, \p delay from now.
  TimerId after(Duration delay, Callback fn);

  /// Cancels a subscription. Once this returns, its callback isn't running and
  /// won't be called again; a callback may cancel itself while it runs. Unknown
  /// ids are ignored.
  void cancel(TimerId id);

private:
  struct Subscription {
    Duration Period; // Zero: called only once.
    Time NextCallAt;
    Callback Fn;
  };

  TimerId add(Duration period, Duration delay, Callback fn);
  void run();
  void runOne(std::unique_lock<std::mutex> &lk, TimerId id, Time now);
  [[nodiscard]] std::map<TimerId, Subscription>::iterator findNextDue();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable CallDone;
  std::map<TimerId, Subscription> Subscriptions;
  TimerId RunningId;
  std::uint64_t NextId = 1;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_TIME_TIMER_SERVICE_H
