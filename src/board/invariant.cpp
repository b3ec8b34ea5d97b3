// The failure counts of invariants.
#include "zinniagauge/board/invariant.h"

#include "zinniagauge/config.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace zinniagauge {

namespace {

constexpr std::array<std::string_view, InvariantCount> Names = {
    "one_dispatch_per_attempt",
    "not_run_is_true",
    "tier_order",
    "grant_in_time",
    "slots_balance",
    "version_rises",
    "share_bound",
    "move_ends_once",
    "leaving_gets_none"};

std::array<std::atomic<std::uint64_t>, InvariantCount> Failures{};
std::atomic<bool> Fatal{ZINNIAGAUGE_FATAL_INVARIANTS != 0};

std::size_t indexOf(Invariant inv) noexcept {
  return static_cast<std::size_t>(inv);
}

} // namespace

std::string_view toString(Invariant inv) noexcept {
  return Names[indexOf(inv)];
}

bool check(Invariant inv, bool holds) noexcept {
  if (holds)
    return true;
  Failures[indexOf(inv)].fetch_add(1, std::memory_order_relaxed);
  if (Fatal.load(std::memory_order_relaxed)) {
    std::fprintf(stderr, "invariant broken: %s\n", Names[indexOf(inv)].data());
    std::abort();
  }
  return false;
}

std::uint64_t failures(Invariant inv) noexcept {
  return Failures[indexOf(inv)].load(std::memory_order_relaxed);
}

void setInvariantsFatal(bool fatal) noexcept {
  Fatal.store(fatal, std::memory_order_relaxed);
}

} // namespace zinniagauge
