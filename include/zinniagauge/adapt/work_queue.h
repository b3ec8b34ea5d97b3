// A thread that does tasks one after another, for work off the request path
// that may block.
#ifndef ZINNIAGAUGE_ADAPT_WORK_QUEUE_H
#define ZINNIAGAUGE_ADAPT_WORK_QUEUE_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace zinniagauge {

/// Does tasks in the order in which they were posted, on one thread that sleeps
/// while there are none.
class WorkQueue {
public:
  using Task = std::function<void()>;

  WorkQueue();
  WorkQueue(const WorkQueue &) = delete;
  WorkQueue &operator=(const WorkQueue &) = delete;
  ~WorkQueue();

  /// Does \p fn after all that was posted before.
  void post(Task fn);

  /// Does \p fn unless something waits or runs already; for work that a timer
  /// repeats.
  void postIfIdle(Task fn);

  /// Finishes the task in progress and drops all others, now and later.
  void stop();

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Task> Tasks;
  bool Busy = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_WORK_QUEUE_H
