#include "support/soak_checks.h"

#include <algorithm>
#include <array>

namespace zinniagauge::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bounds of the users' pages; the first is that of a larger site.
constexpr Duration DrainBound = milliseconds(3000);
constexpr Duration BudgetWindow = seconds(10);
constexpr double BudgetRatio = 0.2;
constexpr double BudgetSlack = 20;

struct Check {
  const SoakWorld &World;
  Time Start;
  std::vector<std::string> Broken;
};

std::string secondsAt(const Check &ck, Time t) {
  const double s = std::chrono::duration<double>(t - ck.Start).count();
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f s", s);
  return buf.data();
}

void tell(Check &ck, const std::string &id, const SoakCall &call,
          const std::string &what) {
  ck.Broken.push_back(id + " at " + ck.World.Fronts[call.Front]->Name +
                      ", sent " + secondsAt(ck, call.Sent) + ", status " +
                      std::to_string(call.Status) + ", ended " +
                      secondsAt(ck, call.Ended) + ": " + what);
}

/// Statuses that say that a call hasn't run.
bool saysNotRun(int status) {
  constexpr std::array<int, 10> List = {400, 401, 403, 404, 408,
                                        413, 421, 429, 431, 503};
  return std::find(List.begin(), List.end(), status) != List.end();
}

void checkAnswer(Check &ck, const std::string &id, const SoakCall &call) {
  const bool once = call.Kind == SoakKind::Unsafe;
  if (once && call.Runs.size() > 1)
    tell(ck, id, call, "ran " + std::to_string(call.Runs.size()) + " times");
  if (saysNotRun(call.Status) && !call.Runs.empty())
    tell(ck, id, call, "was refused, and ran");
  if (call.OtherId)
    tell(ck, id, call, "got the answer of another call");
  if (call.Status == 200 && call.Whole) {
    if (call.Runs.empty())
      tell(ck, id, call, "succeeded, and no engine ran it");
    if (!call.Sealed)
      tell(ck, id, call, "succeeded without an engine's seal");
  }
}

void checkStream(Check &ck, const std::string &id, const SoakCall &call) {
  if (call.Kind != SoakKind::Stream || call.Status != 200)
    return;
  for (std::size_t n = 0; n < call.EventIds.size(); ++n)
    if (call.EventIds[n] != static_cast<int>(n) + 1) {
      tell(ck, id, call,
           "has event " + std::to_string(call.EventIds[n]) + " in place " +
               std::to_string(n + 1));
      return;
    }
  if (call.EventsBroken)
    tell(ck, id, call, "has a broken event");
  if (call.Whole && call.EventIds.size() != StreamEvents)
    tell(ck, id, call,
         "looks whole with " + std::to_string(call.EventIds.size()) +
             " events");
}

/// An answer or an end comes in time while its front is left alone.
void checkTime(Check &ck, const std::string &id, const SoakCall &call) {
  if (call.Ended == Time() || call.Ended - call.Sent < CallTime + CallPatience)
    return;
  const SoakFront &f = *ck.World.Fronts[call.Front];
  if (!overlaps(f.Disturbed, call.Sent, call.Ended))
    tell(ck, id, call, "had no answer in its time");
}

/// A withdrawn key does nothing, whatever its front knew.
void checkKey(Check &ck, const std::string &id, const SoakCall &call) {
  const auto it = ck.World.Withdrawn.find(call.Key);
  if (it == ck.World.Withdrawn.end())
    return;
  for (const Span &s : it->second)
    for (const Time t : call.Runs)
      if (call.Sent > s.From + KeyTime && t < s.To)
        tell(ck, id, call,
             "ran with " + call.Key + ", withdrawn at " +
                 secondsAt(ck, s.From));
}

void checkDrain(Check &ck, const std::string &id, const SoakCall &call) {
  const SoakFront &f = *ck.World.Fronts[call.Front];
  for (std::size_t n = 0; n < call.Arrivals.size(); ++n) {
    const Time t = call.Arrivals[n];
    const auto &engine =
        *ck.World.Engines[static_cast<std::size_t>(call.Engines[n])];
    for (const Span &s : engine.Leaving) {
      const bool late = t > s.From + DrainBound && t < s.To;
      const Time before = s.From - seconds(1);
      if (late && !overlaps(f.Disturbed, before, t) &&
          !overlaps(f.CutOff, before, t) &&
          !overlaps(ck.World.StoreOut, before, t))
        tell(ck, id, call,
             "reached an engine at " + secondsAt(ck, t) + " that had said at " +
                 secondsAt(ck, s.From) + " that it leaves");
    }
  }
}

struct Repeats {
  std::vector<Time> Calls;
  std::vector<Time> Again;
};

std::size_t countIn(const std::vector<Time> &sorted, Time from, Time to) {
  return static_cast<std::size_t>(
      std::lower_bound(sorted.begin(), sorted.end(), to) -
      std::lower_bound(sorted.begin(), sorted.end(), from));
}

void checkBudget(Check &ck) {
  Repeats r;
  for (const auto &[id, call] : ck.World.Callers.Calls) {
    r.Calls.push_back(call.Sent);
    for (std::size_t n = 1; n < call.Arrivals.size(); ++n)
      r.Again.push_back(call.Arrivals[n]);
  }
  std::sort(r.Calls.begin(), r.Calls.end());
  std::sort(r.Again.begin(), r.Again.end());
  for (Time from = ck.Start; from < ck.World.QuietEnd; from += seconds(1)) {
    const Time to = from + BudgetWindow;
    const std::size_t again = countIn(r.Again, from, to);
    const std::size_t calls = std::max(
        {countIn(r.Calls, from, to),
         countIn(r.Calls, from - BudgetWindow / 2, to - BudgetWindow / 2),
         countIn(r.Calls, from - BudgetWindow, from)});
    if (static_cast<double>(again) >
        BudgetRatio * static_cast<double>(calls) + BudgetSlack)
      ck.Broken.push_back(std::to_string(again) + " repeats for " +
                          std::to_string(calls) + " calls in the window at " +
                          secondsAt(ck, from));
  }
}

/// Once the faults are over, each call is served.
void checkRecovery(Check &ck, const std::string &id, const SoakCall &call) {
  if (call.Sent < ck.World.FaultsEnd + RecoveryTime || call.Ended == Time())
    return;
  if (call.Status != 200 || !call.Whole)
    tell(ck, id, call, "failed after the faults");
}

} // namespace

std::vector<std::string> brokenPromises(const SoakWorld &w) {
  Check ck{w, w.FaultsEnd - seconds(w.Options.Seconds), w.Broken};
  for (const auto &[id, call] : w.Callers.Calls) {
    checkAnswer(ck, id, call);
    checkStream(ck, id, call);
    checkTime(ck, id, call);
    checkKey(ck, id, call);
    checkDrain(ck, id, call);
    checkRecovery(ck, id, call);
  }
  checkBudget(ck);
  const bool any =
      std::any_of(w.Callers.Calls.begin(), w.Callers.Calls.end(),
                  [](const auto &it) { return it.second.Status == 200; });
  if (!any)
    ck.Broken.emplace_back("no call was served at all");
  return ck.Broken;
}

} // namespace zinniagauge::testing
