// A thread with a queue of tasks, for blocking work outside the request path.
#ifndef ZINNIAGAUGE_ADAPT_WORK_QUEUE_H
#define ZINNIAGAUGE_ADAPT_WORK_QUEUE_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace zinniagauge {

/// Runs tasks one at a time, in the order in which they were posted, on its own
/// thread, which sleeps while the queue is empty. Any thread may post.
class WorkQueue {
public:
  using Task = std::function<void()>;

  WorkQueue();
  WorkQueue(const WorkQueue &) = delete;
  WorkQueue &operator=(const WorkQueue &) = delete;
  ~WorkQueue();

  /// Appends \p fn to the queue.
  void post(Task fn);

  /// Appends \p fn unless a task is queued or running; for periodic work.
  void postIfIdle(Task fn);

  /// Waits for the running task to finish. Drops the queued tasks and all that
  /// are posted later.
  void stop();

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Task> Tasks;
  bool Running = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_WORK_QUEUE_H
