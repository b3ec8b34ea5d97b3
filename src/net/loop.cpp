// The event loop on epoll and eventfd.
#include "zinniagauge/net/loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace zinniagauge {

namespace {

/// Maximum number of epoll events per iteration.
constexpr int MaxEventsPerIteration = 64;

void onWakeFd(void *ctx, std::uint32_t /*events*/) {
  Loop &lp = *static_cast<Loop *>(ctx);
  std::uint64_t count = 0;
  if (::read(lp.WakeFd, &count, sizeof count) > 0 && lp.OnWake)
    lp.OnWake();
}

/// Milliseconds until the next timer, rounded up and bounded; -1 without a
/// timer.
int waitMillis(const Loop &lp) {
  if (lp.ArmedTimers.empty())
    return -1;
  const Duration left = lp.ArmedTimers.begin()->Deadline - monotonicNow();
  if (left <= Duration::zero())
    return 0;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  constexpr std::int64_t MaxWaitMillis = 60'000;
  return static_cast<int>(std::min<std::int64_t>(ms, MaxWaitMillis));
}

void runTimers(Loop &lp) {
  while (!lp.ArmedTimers.empty() &&
         lp.ArmedTimers.begin()->Deadline <= lp.Now) {
    LoopTimer &t = *lp.ArmedTimers.begin();
    lp.ArmedTimers.erase(lp.ArmedTimers.begin());
    t.Fn(t.Ctx, lp.Now);
  }
}

} // namespace

Loop::~Loop() {
  DeferredDeletes.clear();
  ArmedTimers.clear();
  if (WakeFd >= 0)
    ::close(WakeFd);
  if (Epoll >= 0)
    ::close(Epoll);
}

Result<void> openLoop(Loop &lp) {
  lp.Epoll = ::epoll_create1(EPOLL_CLOEXEC);
  lp.WakeFd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (lp.Epoll < 0 || lp.WakeFd < 0)
    return fail({ErrorCode::Unavailable, Step::Receive, "event loop",
                 std::strerror(errno)});
  lp.WakeWatch.Fd = lp.WakeFd;
  lp.WakeWatch.Fn = onWakeFd;
  lp.WakeWatch.Ctx = &lp;
  watch(lp, lp.WakeWatch, EPOLLIN);
  lp.Now = monotonicNow();
  return {};
}

void watch(Loop &lp, Watch &w, std::uint32_t events) {
  if (w.Events == events)
    return;
  epoll_event ev{};
  ev.events = events;
  ev.data.ptr = &w;
  ::epoll_ctl(lp.Epoll, w.Events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, w.Fd,
              &ev);
  w.Events = events;
}

void unwatch(Loop &lp, Watch &w) {
  if (w.Events != 0)
    ::epoll_ctl(lp.Epoll, EPOLL_CTL_DEL, w.Fd, nullptr);
  w.Events = 0;
  w.Fn = nullptr;
}

void arm(Loop &lp, LoopTimer &t, Time deadline) {
  disarm(lp, t);
  t.Deadline = deadline;
  lp.ArmedTimers.insert(t);
}

void disarm(Loop &lp, LoopTimer &t) noexcept {
  if (t.Hook.is_linked())
    lp.ArmedTimers.erase(lp.ArmedTimers.iterator_to(t));
}

void deleteLater(Loop &lp, std::shared_ptr<void> obj) {
  lp.DeferredDeletes.push_back(std::move(obj));
}

void run(Loop &lp) {
  std::array<epoll_event, MaxEventsPerIteration> ready{};
  while (!lp.StopRequested) {
    const int n = ::epoll_wait(lp.Epoll, ready.data(), MaxEventsPerIteration,
                               waitMillis(lp));
    lp.Now = monotonicNow();
    for (int i = 0; i < n; ++i) {
      const epoll_event &ev = ready.at(static_cast<std::size_t>(i));
      const Watch &w = *static_cast<Watch *>(ev.data.ptr);
      if (w.Fn)
        w.Fn(w.Ctx, ev.events);
    }
    runTimers(lp);
    lp.DeferredDeletes.clear();
  }
}

void wakeLoop(Loop &lp) noexcept {
  const std::uint64_t increment = 1;
  // A full counter means that a wake-up is already pending.
  [[maybe_unused]] const ssize_t n =
      ::write(lp.WakeFd, &increment, sizeof increment);
}

} // namespace zinniagauge
