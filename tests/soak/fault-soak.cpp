// A randomised fault soak. Fronts run as processes of their own; the store, the
// engines, the callers and the proxies run in this process. Faults are injected
// from outside the fronts, one after another and overlapping. The guarantees
// are checked against what callers and engines recorded. To run it:
// `make soak-faults SEED=1 SECONDS=60`.

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
  line.Summary = "Injects faults into fronts and checks their guarantees.";
  line.Options = {
      {"seed", "N", "Random seed of the faults and the calls",
       OptionTarget(&opt.Seed)},
      {"seconds", "S", "How long faults are injected",
       OptionTarget(&opt.Seconds)},
      {"fronts", "N", "How many fronts run", OptionTarget(&opt.Fronts)},
      {"engines", "N", "How many engines there are",
       OptionTarget(&opt.Engines)},
      {"callers", "N", "How many callers there are",
       OptionTarget(&opt.Callers)},
      {"logs", "FOLDER",
       "Folder for the fronts' logs if a guarantee is violated",
       OptionTarget(&opt.Logs)},
      {"other-front", "FILE",
       "The zinnia-front of another build that half of the starts use",
       OptionTarget(&opt.OtherFront)}};
  line.ExitCodes = {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage};
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  return toInt(handleResult(
      [&]() -> Result<ExitCode> {
        SoakWorld w(opt);
        BOOST_LEAF_CHECK(startWorld(w));
        run(w.Platform.Lp);
        const std::vector<std::string> violations = findViolations(w);
        std::printf("seed %llu: %zu calls, %s\n",
                    static_cast<unsigned long long>(opt.Seed),
                    w.Callers.Calls.size(), describeFaults(w).c_str());
        for (const std::string &b : violations)
          std::printf("VIOLATION: %s\n", b.c_str());
        if (!violations.empty())
          writeLogs(w);
        return violations.empty() ? ExitCode::Ok : ExitCode::Failed;
      },
      [](ExitCode code) { return code; },
      [](const Error &err) {
        std::fprintf(stderr, "%s\n", describe(err).c_str());
        return ExitCode::Failed;
      }));
}
