// The language of scenario files. Each line is an event or an expectation at a
// point of simulated time, which advances only as the lines say.
// docs/SCENARIOS.md describes the language.
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

/// The state that the verbs of one run act on: a blackboard with one entry for
/// each type that a verb uses.
struct World {
  Time Now{std::chrono::hours(1)};
  bool Paused = false; // Time advances, but no clock hook runs.
  std::map<std::type_index, std::any> States;
};

/// The T of \p w; it is created on first use.
template <typename T> T &stateOf(World &w) {
  std::any &slot = w.States[typeid(T)];
  if (!slot.has_value())
    slot.emplace<T>();
  return std::any_cast<T &>(slot);
}

/// Carries out one line. Fails with the reason if an expectation isn't met.
using VerbFn = std::function<Result<void>(World &, const ScenarioLine &)>;

/// An action that is triggered by the time alone.
struct ClockHook {
  std::function<Time(World &)> Due; // Time::max() if nothing is due.
  std::function<void(World &)> Act; // Called with World::Now at the due time.
};

/// The verbs that a scenario may use, and the hooks of their simulated time.
struct VerbTable {
  std::map<std::string, VerbFn, std::less<>> Verbs;
  std::vector<ClockHook> Hooks;
};

/// Adds the verbs of every part of the project by calling each part's own
/// function.
void addAllVerbs(VerbTable &t);

/// Adds the verbs "pause", "wake" and "wait".
void addClockVerbs(VerbTable &t);

/// Parses a duration such as "250ms", "2s", "30us", "1m" or "0".
[[nodiscard]] Result<Duration> readDuration(std::string_view text);

/// Parses the lines of a scenario and skips empty lines and comments
/// ("# ..."). Fails with the number of the first invalid line.
[[nodiscard]] Result<std::vector<ScenarioLine>>
readScenario(std::string_view text);

/// Runs a scenario in a new World. Fails with the number of the line that
/// failed and the reason.
[[nodiscard]] Result<void> runScenario(const VerbTable &t,
                                       std::string_view text);

/// The word at index \p n, from 0, of a line. Fails if there are fewer words.
[[nodiscard]] Result<std::string> wordAt(const ScenarioLine &line,
                                         std::size_t n);

/// The value named \p name; \p fallback if it isn't given.
[[nodiscard]] std::string valueOf(const ScenarioLine &line,
                                  const std::string &name,
                                  std::string_view fallback = {});

/// Whether the value named \p name is "yes"; \p fallback if it isn't given.
[[nodiscard]] bool isYes(const ScenarioLine &line, const std::string &name,
                         bool fallback = false);

/// The value named \p name as an integer; \p fallback if it isn't given or
/// isn't an integer.
[[nodiscard]] std::uint64_t numberOf(const ScenarioLine &line,
                                     const std::string &name,
                                     std::uint64_t fallback = 0);

/// The value named \p name as a duration; \p fallback if it isn't given or
/// isn't a duration.
[[nodiscard]] Duration durationOf(const ScenarioLine &line,
                                  const std::string &name, Duration fallback);

/// Fails with \p detail unless \p holds.
[[nodiscard]] Result<void> expect(bool holds, std::string detail);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SCENARIO_H
