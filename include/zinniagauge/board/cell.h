// A value that can be read without blocking while a writer replaces it:
// read-copy-update, by the memb flavour of liburcu.
#ifndef ZINNIAGAUGE_BOARD_CELL_H
#define ZINNIAGAUGE_BOARD_CELL_H

#include <atomic>
#include <memory>
#include <utility>

namespace zinniagauge {

namespace impl {

/// Base of objects whose deletion is deferred until all readers that may still
/// use them have finished.
struct Retired {
  Retired() = default;
  Retired(const Retired &) = delete;
  Retired &operator=(const Retired &) = delete;
  virtual ~Retired() = default;
};

/// Registers the calling thread with liburcu on its first call. The thread is
/// unregistered when it ends.
void registerReader() noexcept;
/// Begin and end a read-side critical section of the calling thread.
void readLock() noexcept;
void readUnlock() noexcept;

/// Deletes \p old after a grace period, on liburcu's own worker thread.
void retire(std::unique_ptr<Retired> old);

/// The heap allocation of a cell's value.
template <typename T> struct Node final : Retired {
  explicit Node(T val) : Value(std::move(val)) {}
  T Value;
};

} // namespace impl

/// A read-side critical section: values read from cells under a guard stay
/// valid until the guard is destroyed. A guard never blocks, may be nested, and
/// must be destroyed on the thread that created it. Hold it briefly: the memory
/// of a replaced value is freed only when every guard that existed at the time
/// of its replacement is destroyed.
class ReadGuard {
public:
  ReadGuard() noexcept {
    impl::registerReader();
    impl::readLock();
  }
  ReadGuard(const ReadGuard &) = delete;
  ReadGuard &operator=(const ReadGuard &) = delete;
  ~ReadGuard() { impl::readUnlock(); }
};

/// A value that any thread may read, and that one controller at a time may
/// replace.
template <typename T> class Cell {
public:
  Cell() : Ptr(new impl::Node<T>(T{})) {}
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;
  ~Cell() { delete Ptr.load(std::memory_order_acquire); }

  /// The current value, valid until \p guard is destroyed.
  [[nodiscard]] const T &
  read([[maybe_unused]] const ReadGuard &guard) const noexcept {
    return Ptr.load(std::memory_order_acquire)->Value;
  }

  /// A copy of the current value, for code outside the path of a request.
  [[nodiscard]] T copy() const {
    const ReadGuard guard;
    return read(guard);
  }

  /// Replaces the value atomically: readers see either the old or the new
  /// value.
  void publish(T val) {
    auto next = std::make_unique<impl::Node<T>>(std::move(val));
    impl::Node<T> *old =
        Ptr.exchange(next.release(), std::memory_order_acq_rel);
    impl::retire(std::unique_ptr<impl::Retired>(old));
  }

private:
  std::atomic<impl::Node<T> *> Ptr;
};

/// Blocks until all values replaced so far are deleted. It is meant for orderly
/// shutdown and tests; never call it on a thread that handles requests.
void drainRetired() noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_CELL_H
