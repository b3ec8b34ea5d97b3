// Tests of the scenario language, and a run of every file in tests/scenarios.
#include "support/scenario.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// Empty if the scenario passes; otherwise the reason of its failure.
std::string outcomeOf(const VerbTable &t, std::string_view text) {
  return handleResult([&] { return runScenario(t, text); },
                      [] { return std::string(); },
                      [](const Error &err) { return err.Detail; });
}

std::string readFile(const std::filesystem::path &path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<std::filesystem::path> scenarioFiles() {
  std::vector<std::filesystem::path> files;
  const std::filesystem::path dir(ZINNIA_SOURCE_DIR "/tests/scenarios");
  for (const auto &it : std::filesystem::directory_iterator(dir))
    if (it.path().extension() == ".scn")
      files.push_back(it.path());
  std::sort(files.begin(), files.end());
  return files;
}

} // namespace

TEST_CASE("every scenario file passes", "[scenario]") {
  VerbTable t;
  addAllVerbs(t);
  const auto files = scenarioFiles();
  REQUIRE_FALSE(files.empty());
  for (const auto &path : files) {
    INFO(path.filename().string());
    CHECK(outcomeOf(t, readFile(path)) == "");
  }
}

TEST_CASE("a failing scenario reports its line", "[scenario]") {
  VerbTable t;
  addClockVerbs(t);
  t.Verbs["fails"] = [](World &, const ScenarioLine &) {
    return expect(false, "expected failure");
  };
  CHECK(outcomeOf(t, "").empty());
  CHECK(outcomeOf(t, "# only this\n\n0 wait\n").empty());
  CHECK(outcomeOf(t, "0 wait\n1s fails\n") == "line 2: expected failure");
  CHECK(outcomeOf(t, "1s wait\n0 wait") == "line 2: time runs backwards");
  CHECK(outcomeOf(t, "0 dance") == "line 1: unknown verb: dance");
  CHECK(outcomeOf(t, "soon wait") == "line 1: not a duration: soon");
  CHECK(outcomeOf(t, "0 wait \"x") == "line 1: unterminated quote");
  CHECK(outcomeOf(t, "\n0") == "line 2: a line needs a time and a verb");
}

TEST_CASE("clock hooks run when due, but not while paused", "[scenario]") {
  struct Ticks {
    std::vector<Time> At;
  };
  VerbTable t;
  addClockVerbs(t);
  t.Hooks.push_back({[](World &w) {
                       const auto &at = stateOf<Ticks>(w).At;
                       using std::chrono::seconds;
                       return at.empty() ? w.Now + seconds(1)
                                         : at.back() + seconds(1);
                     },
                     [](World &w) { stateOf<Ticks>(w).At.push_back(w.Now); }});
  t.Verbs["expect-ticks"] = [](World &w, const ScenarioLine &line) {
    return expect(stateOf<Ticks>(w).At.size() == numberOf(line, "count"),
                  std::to_string(stateOf<Ticks>(w).At.size()) + " ticks");
  };
  CHECK(outcomeOf(t, "0 wait\n3s expect-ticks count=3\n3s pause\n"
                     "9s expect-ticks count=3\n9s wake\n"
                     "9s expect-ticks count=4\n10s expect-ticks count=5")
            .empty());
}

TEST_CASE("a line is split into words and named values", "[scenario]") {
  const auto lines = readScenario("2m say \"a b\" x=\"1\\n\" n=7 t=5ms y=yes");
  REQUIRE(lines);
  const ScenarioLine &line = lines->front();
  CHECK(line.At == std::chrono::minutes(2));
  CHECK(line.Words == std::vector<std::string>{"a b"});
  CHECK(valueOf(line, "x") == "1\n");
  CHECK(numberOf(line, "n") == 7);
  CHECK(durationOf(line, "t", {}) == std::chrono::milliseconds(5));
  CHECK(isYes(line, "y"));
  CHECK_FALSE(isYes(line, "z"));
}
