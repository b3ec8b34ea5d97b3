// A randomised soak: real fronts as processes of their own, a store, engines,
// callers and proxies in this one. Faults come from outside the fronts, in
// series and overlapping; the promises are checked by what callers and engines
// saw. Run it by `make soak-faults SEED=1 SECONDS=60`.

#include "support/soak_checks.h"
#include "support/soak_world.h"

#include "zinniagauge/adapt/command_line.h"

#include <cstdio>

using namespace zinniagauge;
using namespace zinniagauge::testing;

int main(int argc, char **argv) {
  SoakOptions opt;
  CommandLine line;
  line.Program = "fault-soak";
  line.Summary = "Disturbs fronts and checks what they promise.";
  line.Options = {
      {"seed", "N", "Of the faults and the calls", OptionTarget(&opt.Seed)},
      {"seconds", "S", "For which faults come", OptionTarget(&opt.Seconds)},
      {"fronts", "N", "How many fronts run", OptionTarget(&opt.Fronts)},
      {"engines", "N", "How many engines there are",
       OptionTarget(&opt.Engines)},
      {"callers", "N", "How many callers there are",
       OptionTarget(&opt.Callers)},
      {"logs", "FOLDER", "Where the fronts' logs go if a promise is broken",
       OptionTarget(&opt.Logs)}};
  line.ExitCodes = {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage};
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  return toInt(handleResult(
      [&]() -> Result<ExitCode> {
        SoakWorld w(opt);
        BOOST_LEAF_CHECK(startWorld(w));
        run(w.Platform.Lp);
        const std::vector<std::string> broken = brokenPromises(w);
        std::printf("seed %llu: %zu calls, %s\n",
                    static_cast<unsigned long long>(opt.Seed),
                    w.Callers.Calls.size(), describeFaults(w).c_str());
        for (const std::string &b : broken)
          std::printf("BROKEN: %s\n", b.c_str());
        if (!broken.empty())
          keepLogs(w);
        return broken.empty() ? ExitCode::Ok : ExitCode::Failed;
      },
      [](ExitCode code) { return code; },
      [](const Error &err) {
        std::fprintf(stderr, "%s\n", describe(err).c_str());
        return ExitCode::Failed;
      }));
}
