// An event loop of one thread: readiness of descriptors by epoll, and timers
// that parts subscribe to. Nothing in it waits for anything else.
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

/// A descriptor's subscription. It stays where it is while it is subscribed.
struct Watch {
  int Fd = -1;
  std::uint32_t Events = 0; // As epoll has them.
  void (*Fn)(void *ctx, std::uint32_t events) = nullptr;
  void *Ctx = nullptr;
};

/// A timer that calls its owner once. It stays where it is while it is armed.
struct LoopTimer {
  boost::intrusive::set_member_hook<> Hook;
  Time Deadline;
  void (*Fn)(void *ctx, Time now) = nullptr;
  void *Ctx = nullptr;
};

/// Orders timers by when they are due.
struct LoopTimerOrder {
  bool operator()(const LoopTimer &a, const LoopTimer &b) const noexcept {
    return a.Deadline < b.Deadline;
  }
};

/// Bytes that one read takes at most; all channels of a loop share the buffer.
inline constexpr std::size_t ReadBytes = std::size_t{32} << 10U;

/// The loop of one thread. All members but Ended belong to that thread.
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
  Time Now; // Of the turn that runs.
  std::atomic<bool> StopRequested{
      false};                   // Any thread may set it, and wake the loop.
  std::function<void()> OnWake; // Called in the loop after wakeLoop.
  std::vector<std::shared_ptr<void>>
      DeferredDeletes; // Deleted after this turn.
  std::array<char, ReadBytes> ReadBuffer{};
};

/// Opens the loop's descriptors. Fails with Unavailable.
[[nodiscard]] Result<void> openLoop(Loop &lp);

/// Subscribes \p w with its Events, or changes them.
void watch(Loop &lp, Watch &w, std::uint32_t events);

/// Ends a subscription; events of this turn that are left are dropped.
void unwatch(Loop &lp, Watch &w);

/// Calls \p t at \p due, instead of when it was armed before.
void arm(Loop &lp, LoopTimer &t, Time due);

/// Ends a timer that may be armed.
void disarm(Loop &lp, LoopTimer &t) noexcept;

/// Keeps \p obj until this turn's events are through.
void deleteLater(Loop &lp, std::shared_ptr<void> obj);

/// Runs until Ended is set.
void run(Loop &lp);

/// Has OnWake called in the loop. Any thread may call it.
void wakeLoop(Loop &lp) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_LOOP_H
