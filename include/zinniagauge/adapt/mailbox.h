// A queue of objects for a thread that blocks in poll() or epoll: a lock-free
// queue and an eventfd that wakes the thread once for many objects.
#ifndef ZINNIAGAUGE_ADAPT_MAILBOX_H
#define ZINNIAGAUGE_ADAPT_MAILBOX_H

#include <boost/lockfree/queue.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace zinniagauge {

/// A multi-producer, single-consumer queue. Producers and the consumer never
/// block each other.
template <typename T> class Mailbox {
public:
  Mailbox()
      : Queue(InitialNodes), WakeFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;
  ~Mailbox() {
    takeAll([](std::unique_ptr<T>) {});
    ::close(WakeFd);
  }

  /// Appends \p msg and wakes the consumer unless a wakeup is already pending.
  /// Any thread may call this.
  void post(std::unique_ptr<T> msg) {
    // The queue owns the object from here on, which the analyzer doesn't see.
    // NOLINTBEGIN(clang-analyzer-cplusplus.NewDeleteLeaks)
    Queue.push(msg.release());
    if (Signalled.exchange(true, std::memory_order_acq_rel))
      return;
    // NOLINTEND(clang-analyzer-cplusplus.NewDeleteLeaks)
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(WakeFd, &one, sizeof(one));
  }

  /// Removes all queued objects, oldest first, and passes each to \p fn. Only
  /// the consumer may call this, and must do so whenever fd() is readable.
  template <typename Fn> void takeAll(Fn &&fn) {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto n = ::read(WakeFd, &count, sizeof(count));
    // Cleared before the queue is read, so that a later post wakes the consumer
    // again.
    Signalled.store(false, std::memory_order_seq_cst);
    T *msg = nullptr;
    while (Queue.pop(msg))
      fn(std::unique_ptr<T>(msg));
  }

  /// An eventfd that is readable while objects may be queued. The mailbox owns
  /// it.
  [[nodiscard]] int fd() const noexcept { return WakeFd; }

private:
  static constexpr std::size_t InitialNodes = 1024;

  boost::lockfree::queue<T *> Queue;
  std::atomic<bool> Signalled{false};
  int WakeFd;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MAILBOX_H
