// Registration of reader threads and deferred deletion, by liburcu.
#include "zinniagauge/board/cell.h"

#include <urcu/urcu-memb.h>

namespace zinniagauge {
namespace impl {

namespace {

/// Keeps a thread registered with liburcu.
struct Registration {
  Registration() noexcept { urcu_memb_register_thread(); }
  Registration(const Registration &) = delete;
  Registration &operator=(const Registration &) = delete;
  ~Registration() { urcu_memb_unregister_thread(); }
};

/// An object queued for deletion. Head is the first member, because liburcu
/// links its queue through it and deletePending casts its address back.
struct Pending {
  rcu_head Head{};
  std::unique_ptr<Retired> Old;
};

void deletePending(rcu_head *head) { delete reinterpret_cast<Pending *>(head); }

} // namespace

void registerReader() noexcept {
  thread_local const Registration registration;
  static_cast<void>(registration);
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
