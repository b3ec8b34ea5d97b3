// The language of scenario files: one event or expectation a line, each at a
// point of a time that only the file moves. docs/SCENARIOS.md describes it.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SCENARIO_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SCENARIO_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <any>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <typeindex>
#include <vector>

namespace zinniagauge::testing {

/// One line of a scenario: "TIME VERB WORD... NAME=VALUE...".
struct ScenarioLine {
  std::size_t Number = 0; // From 1.
  Duration At = Duration::zero();
  std::string Verb;
  std::vector<std::string> Words;
  std::map<std::string, std::string> Named;
};

/// What the verbs of one run act on: a blackboard with one entry for each type
/// that some verb asks for.
struct World {
  Time Now{std::chrono::hours(1)};
  bool Paused = false; // The processes are frozen; only the time moves.
  std::map<std::type_index, std::any> States;
};

/// The world's T, made on its first use.
template <typename T> T &stateOf(World &w) {
  std::any &slot = w.States[typeid(T)];
  if (!slot.has_value())
    slot.emplace<T>();
  return std::any_cast<T &>(slot);
}

/// Does what a line says. Fails with the reason if an expectation isn't met.
using VerbFn = std::function<Result<void>(World &, const ScenarioLine &)>;

/// Something that happens by itself as time passes.
struct ClockHook {
  std::function<Time(World &)> Due; // The far future if nothing is due.
  std::function<void(World &)> Act; // At World::Now.
};

/// The verbs that a run knows.
struct VerbTable {
  std::map<std::string, VerbFn, std::less<>> Verbs;
  std::vector<ClockHook> Hooks;
};

/// Adds the verbs of every part of the project; each part has a function of
/// its own, which is called here.
void addAllVerbs(VerbTable &t);

/// Adds "pause", "wake" and "wait", which every scenario may use.
void addClockVerbs(VerbTable &t);

/// Reads "250ms", "2s", "30us" or "1m".
[[nodiscard]] Result<Duration> readDuration(std::string_view text);

/// Reads the lines of a scenario. Empty ones and comments ("# ...") are left
/// out. Fails with the number of the line at fault.
[[nodiscard]] Result<std::vector<ScenarioLine>>
readScenario(std::string_view text);

/// Runs a scenario from a new world. Fails with the number of the line at
/// which it failed and the reason.
[[nodiscard]] Result<void> runScenario(const VerbTable &t,
                                       std::string_view text);

/// The word at \p n of a line. Fails if there are fewer.
[[nodiscard]] Result<std::string> wordAt(const ScenarioLine &line,
                                         std::size_t n);

/// The named value, or \p fallback.
[[nodiscard]] std::string valueOf(const ScenarioLine &line,
                                  const std::string &name,
                                  std::string_view fallback = {});

/// Whether the named value is "yes"; \p fallback if it isn't given.
[[nodiscard]] bool isYes(const ScenarioLine &line, const std::string &name,
                         bool fallback = false);

/// The named value as a whole number; \p fallback if it isn't given or is none.
[[nodiscard]] std::uint64_t numberOf(const ScenarioLine &line,
                                     const std::string &name,
                                     std::uint64_t fallback = 0);

/// The named value as a span of time; \p fallback if it isn't given or is none.
[[nodiscard]] Duration durationOf(const ScenarioLine &line,
                                  const std::string &name, Duration fallback);

/// Fails with \p detail unless \p holds.
[[nodiscard]] Result<void> expect(bool holds, std::string detail);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SCENARIO_H
