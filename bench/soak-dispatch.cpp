// A long randomised run over dispatch, claims and issued tickets.
// Usage: soak-dispatch [--seed N] [--steps N]. Exits with 1 at the first
// violated guarantee and prints the seed of that history.

#include "support/dispatch_history.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/retry.h"

#include <popt.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>

using namespace zinniagauge;

namespace {

/// Steps of one history; each history starts from a new simulated system.
constexpr std::uint64_t StepsPerHistory = 2000;

int soak(std::uint64_t seed, std::uint64_t steps) {
  testing::HistoryCounts counts;
  std::uint64_t done = 0;
  for (std::uint64_t n = 0; done < steps; ++n) {
    const std::uint64_t first = seed + n;
    std::uint64_t state = first;
    const testing::ChoiceFn choose = [&] { return nextRandom(state) >> 8U; };
    const std::uint64_t length = std::min(StepsPerHistory, steps - done);
    const std::string violation =
        testing::runDispatchHistory(choose, length, counts);
    done += length;
    if (!violation.empty()) {
      std::printf("broken: %s (--seed %llu --steps %llu)\n", violation.c_str(),
                  static_cast<unsigned long long>(first),
                  static_cast<unsigned long long>(length));
      return 1;
    }
  }
  std::printf("%llu steps, nothing broken: %s\n",
              static_cast<unsigned long long>(done),
              testing::describe(counts).c_str());
  return 0;
}

} // namespace

int main(int argc, const char **argv) {
  long long seed = 1;
  long long steps = 1000000;
  const poptOption options[] = {
      {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "of the first history", "N"},
      {"steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "to make in all", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext ctx = poptGetContext("soak-dispatch", argc, argv, options, 0);
  const int rc = poptGetNextOpt(ctx);
  poptFreeContext(ctx);
  if (rc < -1)
    return 2;
  setInvariantsFatal(true);
  return soak(static_cast<std::uint64_t>(seed),
              static_cast<std::uint64_t>(steps));
}
