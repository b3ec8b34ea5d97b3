// Hands objects to a thread that sleeps in a poll: a lock-free queue and an
// eventfd that wakes the thread once for many objects.
#ifndef ZINNIAGAUGE_ADAPT_MAILBOX_H
#define ZINNIAGAUGE_ADAPT_MAILBOX_H

#include <boost/lockfree/queue.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace zinniagauge {

/// Many threads post, one thread takes. Neither waits for the other.
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

  /// Hands over \p msg and wakes the taker unless it is being woken already.
  void post(std::unique_ptr<T> msg) {
    // The queue owns it now; the analyzer can not see that.
    // NOLINTBEGIN(clang-analyzer-cplusplus.NewDeleteLeaks)
    Queue.push(msg.release());
    if (Signalled.exchange(true, std::memory_order_acq_rel))
      return;
    // NOLINTEND(clang-analyzer-cplusplus.NewDeleteLeaks)
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(WakeFd, &one, sizeof(one));
  }

  /// Takes what was posted, oldest first, and gives each to \p fn. Only the
  /// taking thread may call this, and must whenever fd() is readable.
  template <typename Fn> void takeAll(Fn &&fn) {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto n = ::read(WakeFd, &count, sizeof(count));
    // Cleared before the queue is read: a later post wakes us again.
    Signalled.store(false, std::memory_order_seq_cst);
    T *msg = nullptr;
    while (Queue.pop(msg))
      fn(std::unique_ptr<T>(msg));
  }

  /// Readable while something may wait to be taken.
  [[nodiscard]] int fd() const noexcept { return WakeFd; }

private:
  static constexpr std::size_t InitialNodes = 1024;

  boost::lockfree::queue<T *> Queue;
  std::atomic<bool> Signalled{false};
  int WakeFd;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MAILBOX_H
