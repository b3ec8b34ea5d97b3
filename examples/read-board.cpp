// Reads a board while another thread replaces its bundle. Usage: read-board

#include "zinniagauge/board/board.h"

#include <cstdio>
#include <thread>

using namespace zinniagauge;

namespace {

constexpr std::uint64_t LastVersion = 1000;
constexpr int Reads = 100'000;

/// Publishes all versions. A section of the board has only one writer.
void publishAll(Board &b) {
  for (std::uint64_t n = 1; n <= LastVersion; ++n) {
    Bundle next;
    next.Version = n;
    next.Tiers.resize(1);
    next.Tiers[0].Name = "tier of version " + std::to_string(n);
    b.ActiveBundle.publish(std::move(next));
  }
}

/// Reads the bundle many times. Returns how often its version was higher than
/// at the read before.
int readAll(const Board &b) {
  int rises = 0;
  std::uint64_t last = 0;
  for (int i = 0; i < Reads; ++i) {
    // A reference that was read stays valid as long as its guard exists.
    const ReadGuard guard;
    const Bundle &now = b.ActiveBundle.read(guard);
    rises += now.Version > last ? 1 : 0;
    last = now.Version;
  }
  return rises;
}

} // namespace

int main() {
  Board board;
  int rises = 0;
  std::thread reader([&] { rises = readAll(board); });
  publishAll(board);
  reader.join();
  const ReadGuard guard;
  std::printf("%d reads saw %d new versions, never waiting; at the end: %s\n",
              Reads, rises,
              board.ActiveBundle.read(guard).Tiers[0].Name.c_str());
  return 0;
}
