// The timer service: one thread that calls subscribers when their time comes.
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

/// Names one subscription of a TimerService.
struct TimerId {
  std::uint64_t Value = 0;
  auto operator<=>(const TimerId &) const = default;
};

/// Calls subscribers at a fixed period on a thread of its own.
///
/// Subscribers must be short: they hand work to another thread (a queue and a
/// wake-up) rather than do it. A subscriber that is late is called once, not
/// once for each period missed, so a paused process does not wake to a burst.
class TimerService {
public:
  /// What a subscriber is called with: the time at which it was called.
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

  /// Ends a subscription. Once this returns, no call of it is running or to
  /// come, unless the subscriber itself calls this. Unknown ids are ignored.
  void cancel(TimerId id);

private:
  struct Subscription {
    Duration Period; // Zero for a call that happens once.
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
