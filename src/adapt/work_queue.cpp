#include "zinniagauge/adapt/work_queue.h"

#include <utility>

namespace zinniagauge {

WorkQueue::WorkQueue() : Thread([this] { run(); }) {}

WorkQueue::~WorkQueue() { stop(); }

void WorkQueue::stop() {
  std::deque<Task> dropped;
  {
    const std::lock_guard lk(Mutex);
    Stopping = true;
    dropped.swap(Tasks);
  }
  Changed.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void WorkQueue::post(Task fn) {
  {
    const std::lock_guard lk(Mutex);
    if (Stopping)
      return;
    Tasks.push_back(std::move(fn));
  }
  Changed.notify_one();
}

void WorkQueue::postIfIdle(Task fn) {
  {
    const std::lock_guard lk(Mutex);
    if (Stopping || Running || !Tasks.empty())
      return;
    Tasks.push_back(std::move(fn));
  }
  Changed.notify_one();
}

void WorkQueue::run() {
  std::unique_lock lk(Mutex);
  while (true) {
    Changed.wait(lk, [this] { return Stopping || !Tasks.empty(); });
    if (Stopping)
      return;
    const Task fn = std::move(Tasks.front());
    Tasks.pop_front();
    Running = true;
    lk.unlock();
    fn();
    lk.lock();
    Running = false;
  }
}

} // namespace zinniagauge
