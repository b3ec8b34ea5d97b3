// The thread of the timer service and its list of subscriptions.
#include "zinniagauge/time/timer_service.h"

#include <algorithm>
#include <utility>

namespace zinniagauge {

TimerService::TimerService() : Thread([this] { run(); }) {}

TimerService::~TimerService() {
  {
    const std::lock_guard lk(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
}

TimerId TimerService::every(Duration period, Callback fn) {
  return add(period, period, std::move(fn));
}

TimerId TimerService::after(Duration delay, Callback fn) {
  return add(Duration::zero(), delay, std::move(fn));
}

TimerId TimerService::add(Duration period, Duration delay, Callback fn) {
  const std::lock_guard lk(Mutex);
  const TimerId id{NextId++};
  Subscriptions.emplace(
      id, Subscription{period, monotonicNow() + delay, std::move(fn)});
  Changed.notify_all();
  return id;
}

void TimerService::cancel(TimerId id) {
  std::unique_lock lk(Mutex);
  Subscriptions.erase(id);
  if (std::this_thread::get_id() == Thread.get_id())
    return;
  CallDone.wait(lk, [&] { return RunningId != id; });
}

std::map<TimerId, TimerService::Subscription>::iterator
TimerService::findNextDue() {
  return std::min_element(Subscriptions.begin(), Subscriptions.end(),
                          [](const auto &a, const auto &b) {
                            return a.second.NextCallAt < b.second.NextCallAt;
                          });
}

void TimerService::run() {
  std::unique_lock lk(Mutex);
  while (!Stopping) {
    const auto it = findNextDue();
    if (it == Subscriptions.end()) {
      Changed.wait(lk);
      continue;
    }
    const Time now = monotonicNow();
    if (it->second.NextCallAt > now) {
      Changed.wait_for(lk, it->second.NextCallAt - now);
      continue;
    }
    runOne(lk, it->first, now);
  }
}

void TimerService::runOne(std::unique_lock<std::mutex> &lk, TimerId id,
                          Time now) {
  auto it = Subscriptions.find(id);
  const Callback fn = it->second.Fn;
  if (it->second.Period == Duration::zero())
    Subscriptions.erase(it);
  else
    it->second.NextCallAt = now + it->second.Period;
  RunningId = id;
  lk.unlock();
  fn(now);
  lk.lock();
  RunningId = TimerId{};
  CallDone.notify_all();
}

} // namespace zinniagauge
