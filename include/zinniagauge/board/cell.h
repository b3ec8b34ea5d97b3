// A cell that readers read without waiting while one writer replaces its
// value: read-copy-update by liburcu, memb flavour.
#ifndef ZINNIAGAUGE_BOARD_CELL_H
#define ZINNIAGAUGE_BOARD_CELL_H

#include <atomic>
#include <memory>
#include <utility>

namespace zinniagauge {

namespace impl {

/// Something that is deleted after every reader of now has finished.
struct Retired {
  Retired() = default;
  Retired(const Retired &) = delete;
  Retired &operator=(const Retired &) = delete;
  virtual ~Retired() = default;
};

/// Registers the calling thread as a reader (once; undone when it ends).
void registerReader() noexcept;
void readLock() noexcept;
void readUnlock() noexcept;

/// Deletes \p old after a grace period, on liburcu's own worker thread.
void retire(std::unique_ptr<Retired> old);

/// A cell's value on the heap.
template <typename T> struct Node final : Retired {
  explicit Node(T val) : Value(std::move(val)) {}
  T Value;
};

} // namespace impl

/// Keeps what was read from cells alive while it lives. Never blocks, may be
/// nested, and must end on the thread that made it. Hold it briefly: memory of
/// replaced values is kept as long as any guard of their time lives.
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

/// A value that many threads read and one controller at a time replaces.
template <typename T> class Cell {
public:
  Cell() : Ptr(new impl::Node<T>(T{})) {}
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;
  ~Cell() { delete Ptr.load(std::memory_order_acquire); }

  /// The current value, valid as long as \p guard lives.
  [[nodiscard]] const T &
  read([[maybe_unused]] const ReadGuard &guard) const noexcept {
    return Ptr.load(std::memory_order_acquire)->Value;
  }

  /// A copy of the current value, for code off the request path.
  [[nodiscard]] T copy() const {
    const ReadGuard guard;
    return read(guard);
  }

  /// Replaces the value. Readers see the old one or the new one, whole.
  void publish(T val) {
    auto next = std::make_unique<impl::Node<T>>(std::move(val));
    impl::Node<T> *old =
        Ptr.exchange(next.release(), std::memory_order_acq_rel);
    impl::retire(std::unique_ptr<impl::Retired>(old));
  }

private:
  std::atomic<impl::Node<T> *> Ptr;
};

/// Waits until all values replaced so far are deleted; for orderly exits and
/// tests, never on a request's thread.
void drainRetired() noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_CELL_H
