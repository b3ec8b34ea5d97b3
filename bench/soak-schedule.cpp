// Runs random histories of the scheduler for a given number of steps.
// Usage: soak-schedule --seed=1 --steps=1000000
#include "support/schedule_history.h"

#include <popt.h>

#include <array>
#include <cstdio>
#include <memory>
#include <type_traits>

using namespace zinniagauge;

namespace {

constexpr std::uint64_t EventsPerHistory = 2000;

struct Options {
  long Seed = 1;
  long Steps = 1'000'000;
};

bool readOptions(int argc, const char **argv, Options &opts) {
  const std::array<poptOption, 4> table = {
      {{"seed", 's', POPT_ARG_LONG, &opts.Seed, 0, "first seed", "N"},
       {"steps", 'n', POPT_ARG_LONG, &opts.Steps, 0, "scheduler steps", "N"},
       POPT_AUTOHELP POPT_TABLEEND}};
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        decltype(&poptFreeContext)>
      ctx(poptGetContext(nullptr, argc, argv, table.data(), 0),
          &poptFreeContext);
  return poptGetNextOpt(ctx.get()) == -1 && opts.Steps > 0;
}

void add(support::HistoryResult &sum, const support::HistoryResult &res) {
  sum.Steps += res.Steps;
  sum.Granted += res.Granted;
  sum.Refused += res.Refused;
  sum.Shed += res.Shed;
  sum.Expired += res.Expired;
  sum.Restarts += res.Restarts;
}

void print(const support::HistoryResult &sum, std::uint64_t histories) {
  const auto show = [](const char *what, std::uint64_t n) {
    std::printf(" %llu %s", static_cast<unsigned long long>(n), what);
  };
  std::printf("scheduler:");
  show("histories,", histories);
  show("steps,", sum.Steps);
  show("granted,", sum.Granted);
  show("refused,", sum.Refused);
  show("shed,", sum.Shed);
  show("expired,", sum.Expired);
  show("restarts: nothing broken\n", sum.Restarts);
}

} // namespace

int main(int argc, const char **argv) {
  Options opts;
  if (!readOptions(argc, argv, opts)) {
    std::fputs("usage: soak-schedule --seed=N --steps=N\n", stderr);
    return 2;
  }
  support::HistoryResult sum;
  auto seed = static_cast<std::uint64_t>(opts.Seed);
  std::uint64_t histories = 0;
  for (; sum.Steps < static_cast<std::uint64_t>(opts.Steps); ++histories) {
    const auto res = support::runHistory(seed + histories, EventsPerHistory);
    if (!res.Violation.empty()) {
      std::printf("seed %llu, history %llu: %s\n",
                  static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(histories),
                  res.Violation.c_str());
      return 1;
    }
    add(sum, res);
  }
  print(sum, histories);
  return 0;
}
