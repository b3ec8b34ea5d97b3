// Tests the parsing of command lines and the text of --help.

#include "zinniagauge/adapt/command_line.h"

#include <catch2/catch.hpp>

#include <array>

using namespace zinniagauge;

namespace {

struct Values {
  bool Json = false;
  std::string Listen = "127.0.0.1:0";
  std::uint64_t Slots = 8;
  std::vector<std::string> Nodes;
};

CommandLine makeCommandLine(Values &vals) {
  return {"probe",
          "NAME",
          "Probes things.",
          {{"json", "", "Print JSON", &vals.Json},
           {"listen", "IP:PORT", "Where to serve", &vals.Listen},
           {"slots", "COUNT", "How many at once", &vals.Slots},
           {"node", "IP:PORT", "A node to ask", &vals.Nodes}},
          {ExitCode::Ok, ExitCode::Usage}};
}

} // namespace

TEST_CASE("options and arguments are parsed", "[command_line]") {
  Values vals;
  const std::array argv = {"probe",  "--slots", "3",      "ana", "--json",
                           "--node", "a:1",     "--node", "b:2"};
  const auto cmd = parseCommandLine(makeCommandLine(vals),
                                    static_cast<int>(argv.size()), argv.data());
  CHECK_FALSE(cmd.Exit);
  CHECK(cmd.Arguments == std::vector<std::string>{"ana"});
  CHECK(vals.Json);
  CHECK(vals.Slots == 3);
  CHECK(vals.Listen == "127.0.0.1:0");
  CHECK(vals.Nodes == std::vector<std::string>{"a:1", "b:2"});
}

TEST_CASE("invalid command lines return the usage exit code",
          "[command_line]") {
  Values vals;
  const CommandLine line = makeCommandLine(vals);
  const std::array number = {"probe", "--slots", "many"};
  CHECK(parseCommandLine(line, 3, number.data()).Exit == ExitCode::Usage);
  const std::array unknown = {"probe", "--colour", "red"};
  CHECK(parseCommandLine(line, 3, unknown.data()).Exit == ExitCode::Usage);
  const std::array missing = {"probe", "--slots"};
  CHECK(parseCommandLine(line, 2, missing.data()).Exit == ExitCode::Usage);
  CommandLine noarguments = line;
  noarguments.Arguments.clear();
  const std::array extra = {"probe", "ana"};
  CHECK(parseCommandLine(noarguments, 2, extra.data()).Exit == ExitCode::Usage);
}

TEST_CASE("help lists every option with unit and default", "[command_line]") {
  Values vals;
  const std::string text = helpText(makeCommandLine(vals));
  CHECK(text.find("--slots COUNT\n      How many at once (default: 8)") !=
        std::string::npos);
  CHECK(text.find("--version") != std::string::npos);
  CHECK(text.find("  2  wrong command line") != std::string::npos);
}
