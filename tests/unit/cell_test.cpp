// Tests of Cell: whole values for readers and deferred deletion.
#include "zinniagauge/board/cell.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

using namespace zinniagauge;

namespace {

struct Pair {
  int A = 0;
  int B = 0;
};

std::atomic<int> Live{0};

struct Counted {
  Counted() { ++Live; }
  Counted(const Counted &) { ++Live; }
  Counted &operator=(const Counted &) = default;
  ~Counted() { --Live; }
};

} // namespace

TEST_CASE("a reader never sees a partly replaced value", "[cell]") {
  constexpr int Rounds = 20000;
  Cell<Pair> cell;
  std::atomic<bool> done{false};
  std::atomic<int> torn{0};
  std::vector<std::thread> readers;
  for (int n = 0; n < 3; ++n)
    readers.emplace_back([&] {
      while (!done) {
        const ReadGuard guard;
        const Pair &p = cell.read(guard);
        if (p.A != p.B)
          ++torn;
      }
    });
  for (int n = 1; n <= Rounds; ++n)
    cell.publish({n, n});
  done = true;
  for (std::thread &t : readers)
    t.join();
  CHECK(torn == 0);
  CHECK(cell.copy().A == Rounds);
}

TEST_CASE("replaced values are deleted", "[cell]") {
  {
    Cell<Counted> cell;
    for (int n = 0; n < 100; ++n)
      cell.publish({});
    drainRetired();
    CHECK(Live == 1);
  }
  CHECK(Live == 0);
}

TEST_CASE("a replaced value stays valid while a guard exists", "[cell]") {
  Cell<std::array<int, 64>> cell;
  const ReadGuard guard;
  const auto &old = cell.read(guard);
  std::thread writer([&] { cell.publish({1}); });
  writer.join();
  CHECK(old[0] == 0);
  CHECK(cell.read(guard)[0] == 1);
}
