#include "zinniagauge/board/cell.h"

#include <urcu/urcu-memb.h>

namespace zinniagauge {
namespace impl {

namespace {

struct Registration {
  Registration() noexcept { urcu_memb_register_thread(); }
  Registration(const Registration &) = delete;
  Registration &operator=(const Registration &) = delete;
  ~Registration() { urcu_memb_unregister_thread(); }
};

/// liburcu links its queue through the head, so it comes first.
struct Pending {
  rcu_head Head{};
  std::unique_ptr<Retired> Old;
};

void deletePending(rcu_head *head) { delete reinterpret_cast<Pending *>(head); }

} // namespace

void registerReader() noexcept {
  thread_local const Registration once;
  static_cast<void>(once);
}

void readLock() noexcept { urcu_memb_read_lock(); }

void readUnlock() noexcept { urcu_memb_read_unlock(); }

void retire(std::unique_ptr<Retired> old) {
  registerReader();
  auto pending = std::make_unique<Pending>();
  pending->Old = std::move(old);
  urcu_memb_call_rcu(&pending.release()->Head, deletePending);
}

} // namespace impl

void drainRetired() noexcept { urcu_memb_barrier(); }

} // namespace zinniagauge
