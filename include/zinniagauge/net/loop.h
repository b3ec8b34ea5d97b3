// A single-threaded event loop: descriptor readiness by epoll, and timers. Its
// callbacks must not block.
#ifndef ZINNIAGAUGE_NET_LOOP_H
#define ZINNIAGAUGE_NET_LOOP_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <boost/intrusive/set.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace zinniagauge {

/// A subscription to the events of a descriptor. It must not be moved in memory
/// while it is subscribed.
struct Watch {
  int Fd = -1;
  std::uint32_t Events = 0; // Subscribed EPOLL... flags; zero: none.
  void (*Fn)(void *ctx, std::uint32_t events) = nullptr;
  void *Ctx = nullptr;
};

/// A one-shot timer. It must not be moved in memory while it is armed.
struct LoopTimer {
  boost::intrusive::set_member_hook<> Hook;
  Time Deadline;
  void (*Fn)(void *ctx, Time now) = nullptr;
  void *Ctx = nullptr;
};

/// Orders timers by deadline.
struct LoopTimerOrder {
  bool operator()(const LoopTimer &a, const LoopTimer &b) const noexcept {
    return a.Deadline < b.Deadline;
  }
};

/// Maximum bytes of one read; all connections of a loop share the buffer.
inline constexpr std::size_t ReadBytes = std::size_t{32} << 10U;

/// The state of an event loop. All members except StopRequested belong to the
/// loop's thread.
struct Loop {
  using Timers = boost::intrusive::multiset<
      LoopTimer,
      boost::intrusive::member_hook<
          LoopTimer, boost::intrusive::set_member_hook<>, &LoopTimer::Hook>,
      boost::intrusive::compare<LoopTimerOrder>>;

  Loop() = default;
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;
  ~Loop();

  int Epoll = -1;
  int WakeFd = -1;
  Watch WakeWatch;
  Timers ArmedTimers;
  Time Now; // Start of the current iteration.
  std::atomic<bool> StopRequested{
      false};                   // Set by any thread, followed by wakeLoop.
  std::function<void()> OnWake; // Called on the loop's thread after wakeLoop.
  /// Deleted after the current iteration.
  std::vector<std::shared_ptr<void>> DeferredDeletes;
  std::array<char, ReadBytes> ReadBuffer{};
};

/// Opens the loop's descriptors. Fails with Unavailable.
[[nodiscard]] Result<void> openLoop(Loop &lp);

/// Subscribes \p w to \p events, or changes its subscription.
void watch(Loop &lp, Watch &w, std::uint32_t events);

/// Ends a subscription; its pending events of the current iteration are
/// dropped.
void unwatch(Loop &lp, Watch &w);

/// Arms \p t for \p deadline; replaces an earlier deadline.
void arm(Loop &lp, LoopTimer &t, Time deadline);

/// Disarms \p t if it is armed.
void disarm(Loop &lp, LoopTimer &t) noexcept;

/// Keeps \p obj alive until the end of the current iteration.
void deleteLater(Loop &lp, std::shared_ptr<void> obj);

/// Runs the loop until StopRequested is set.
void run(Loop &lp);

/// Causes OnWake to be called on the loop's thread. Any thread and signal
/// handlers may call it.
void wakeLoop(Loop &lp) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_LOOP_H
