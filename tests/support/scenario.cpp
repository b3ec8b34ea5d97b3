// Implements the scenario language.
#include "support/scenario.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

namespace zinniagauge::testing {

namespace {

boost::leaf::error_id malformed(std::string detail) {
  return fail({ErrorCode::Invalid, Step::Settings, {}, std::move(detail)});
}

char unescaped(char c) noexcept { return c == 'n' ? '\n' : c; }

/// Splits \p text at spaces. A quoted string ("...") may hold spaces and the
/// escapes \n and \"; an unquoted # starts a comment.
Result<std::vector<std::string>> splitWords(std::string_view text) {
  std::vector<std::string> words;
  std::string word;
  bool inword = false;
  bool quoted = false;
  for (std::size_t n = 0; n < text.size(); ++n) {
    const char c = text[n];
    if (quoted && c == '\\' && n + 1 < text.size()) {
      word.push_back(unescaped(text[++n]));
    } else if (c == '"') {
      quoted = !quoted;
      inword = true;
    } else if (c == '#' && !quoted && !inword) {
      break;
    } else if (c != ' ' || quoted) {
      word.push_back(c);
      inword = true;
    } else if (inword) {
      words.push_back(std::exchange(word, {}));
      inword = false;
    }
  }
  if (quoted)
    return malformed("unterminated quote");
  if (inword)
    words.push_back(std::move(word));
  return words;
}

Result<void> addLine(std::vector<ScenarioLine> &lines,
                     std::span<const std::string> words, std::size_t number) {
  if (words.empty())
    return {};
  if (words.size() < 2)
    return malformed("a line needs a time and a verb");
  ScenarioLine &line = lines.emplace_back();
  line.Number = number;
  BOOST_LEAF_ASSIGN(line.At, readDuration(words[0]));
  line.Verb = words[1];
  for (const std::string &word : words.subspan(2)) {
    const auto at = word.find('=');
    if (at == std::string::npos)
      line.Words.push_back(word);
    else
      line.Named[word.substr(0, at)] = word.substr(at + 1);
  }
  return {};
}

/// The hook that is due first and its time; null and Time::max() if none is.
std::pair<const ClockHook *, Time> firstDue(const VerbTable &t, World &w) {
  std::pair<const ClockHook *, Time> best{nullptr, Time::max()};
  for (const ClockHook &hook : t.Hooks) {
    const Time due = hook.Due(w);
    if (due < best.second)
      best = {&hook, due};
  }
  return best;
}

/// Advances the time to \p until and runs the hooks that come due before it.
Result<void> runUntil(const VerbTable &t, World &w, Time until) {
  constexpr int MaxSteps = 100000;
  for (int n = 0; n < MaxSteps; ++n) {
    const auto [hook, due] = firstDue(t, w);
    if (w.Paused || !hook || due > until) {
      w.Now = until;
      return {};
    }
    w.Now = std::max(w.Now, due);
    hook->Act(w);
  }
  return malformed("a clock hook stays due without end");
}

Result<void> runLine(const VerbTable &t, World &w, Time start,
                     const ScenarioLine &line) {
  const Time at = start + line.At;
  if (at < w.Now)
    return malformed("time runs backwards");
  BOOST_LEAF_CHECK(runUntil(t, w, at));
  const auto it = t.Verbs.find(line.Verb);
  if (it == t.Verbs.end())
    return malformed("unknown verb: " + line.Verb);
  return it->second(w, line);
}

/// Runs \p fn; if it fails, prefixes the error with the line number.
Result<void> atLine(std::size_t number,
                    const std::function<Result<void>()> &fn) {
  std::optional<Error> err = handleResult(
      fn, [] { return std::optional<Error>(); },
      [](const Error &e) { return std::optional<Error>(e); });
  if (!err)
    return {};
  err->Detail = "line " + std::to_string(number) + ": " + err->Detail;
  return fail(std::move(*err));
}

} // namespace

Result<Duration> readDuration(std::string_view text) {
  using namespace std::chrono;
  const std::array<std::pair<std::string_view, Duration>, 4> units = {
      {{"ms", milliseconds(1)},
       {"us", microseconds(1)},
       {"s", seconds(1)},
       {"m", minutes(1)}}};
  std::int64_t n = 0;
  const auto *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, n);
  if (res.ec != std::errc())
    return malformed("not a duration: " + std::string(text));
  const std::string_view unit(res.ptr, static_cast<std::size_t>(end - res.ptr));
  for (const auto &it : units)
    if (unit == it.first)
      return it.second * n;
  if (text == "0")
    return Duration::zero();
  return malformed("not a duration: " + std::string(text));
}

Result<std::vector<ScenarioLine>> readScenario(std::string_view text) {
  std::vector<ScenarioLine> lines;
  for (std::size_t number = 1; !text.empty(); ++number) {
    const auto end = std::min(text.find('\n'), text.size());
    const std::string_view one = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    BOOST_LEAF_CHECK(atLine(number, [&]() -> Result<void> {
      BOOST_LEAF_AUTO(words, splitWords(one));
      return addLine(lines, words, number);
    }));
  }
  return lines;
}

Result<void> runScenario(const VerbTable &t, std::string_view text) {
  BOOST_LEAF_AUTO(lines, readScenario(text));
  World w;
  const Time start = w.Now;
  for (const ScenarioLine &line : lines)
    BOOST_LEAF_CHECK(
        atLine(line.Number, [&] { return runLine(t, w, start, line); }));
  return {};
}

Result<std::string> wordAt(const ScenarioLine &line, std::size_t n) {
  if (n >= line.Words.size())
    return malformed(line.Verb + " needs more words");
  return line.Words[n];
}

std::string valueOf(const ScenarioLine &line, const std::string &name,
                    std::string_view fallback) {
  const auto it = line.Named.find(name);
  return it == line.Named.end() ? std::string(fallback) : it->second;
}

bool isYes(const ScenarioLine &line, const std::string &name, bool fallback) {
  return valueOf(line, name, fallback ? "yes" : "no") == "yes";
}

std::uint64_t numberOf(const ScenarioLine &line, const std::string &name,
                       std::uint64_t fallback) {
  const std::string text = valueOf(line, name);
  std::uint64_t n = fallback;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

Duration durationOf(const ScenarioLine &line, const std::string &name,
                    Duration fallback) {
  const std::string text = valueOf(line, name);
  if (text.empty())
    return fallback;
  return handleResult([&] { return readDuration(text); },
                      [](Duration d) { return d; },
                      [&](const Error &) { return fallback; });
}

Result<void> expect(bool holds, std::string detail) {
  if (!holds)
    return malformed(std::move(detail));
  return {};
}

void addClockVerbs(VerbTable &t) {
  t.Verbs["pause"] = [](World &w, const ScenarioLine &) -> Result<void> {
    w.Paused = true;
    return {};
  };
  t.Verbs["wake"] = [](World &w, const ScenarioLine &) -> Result<void> {
    w.Paused = false;
    return {};
  };
  t.Verbs["wait"] = [](World &, const ScenarioLine &) -> Result<void> {
    return {};
  };
}

} // namespace zinniagauge::testing
