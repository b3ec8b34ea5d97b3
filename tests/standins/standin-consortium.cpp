// Stand-in for the users' platform in tests: its store and some engines in one
// process, which speak their published protocol. POST /stand-in on the store's
// port takes {"engine": N, "mode": MODE}, {"store": MODE} or {"row": ROW}; GET
// /stand-in returns how many calls arrived at each engine and ran there.

#include "support/consortium.h"

#include "zinniagauge/adapt/command_line.h"

#include <cstdio>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

Result<void> serve(Consortium &st, const std::string &store,
                   const std::vector<std::string> &engines,
                   const std::string &narrowstore) {
  BOOST_LEAF_CHECK(openLoop(st.Lp));
  BOOST_LEAF_CHECK(startConsortium(st, store, engines, narrowstore));
  std::puts("serves");
  std::fflush(stdout);
  run(st.Lp);
  return {};
}

} // namespace

int main(int argc, char **argv) {
  std::string store;
  std::string narrowstore;
  std::vector<std::string> engines;
  CommandLine line;
  line.Program = "standin-consortium";
  line.Summary = "Stands in for the users' platform: its store and engines.";
  line.Options = {
      {"store", "IP:PORT", "Where the store listens", OptionTarget(&store)},
      {"engine", "IP:PORT", "Where an engine listens; may be repeated",
       OptionTarget(&engines)},
      {"narrow-store", "IP:PORT",
       "Where the store listens as behind a narrow link",
       OptionTarget(&narrowstore)}};
  line.ExitCodes = {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage};
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  Consortium st;
  return toInt(
      handleResult([&] { return serve(st, store, engines, narrowstore); },
                   [] { return ExitCode::Ok; },
                   [](const Error &err) {
                     std::fprintf(stderr, "%s\n", describe(err).c_str());
                     return ExitCode::Failed;
                   }));
}
