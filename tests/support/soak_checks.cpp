// Implements the checks of a fault soak.
#include "support/soak_checks.h"

#include <algorithm>
#include <array>
#include <map>

namespace zinniagauge::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bounds that the users specify; DrainTimeout is the one for a larger
/// site.
constexpr Duration DrainTimeout = milliseconds(3000);
constexpr Duration RetryWindow = seconds(10);
constexpr double RetryRatio = 0.2;
constexpr double RetrySlack = 20;

struct Check {
  const SoakWorld &World;
  Time Start;
  std::vector<std::string> Violations;
};

std::string secondsAt(const Check &ck, Time t) {
  const double s = std::chrono::duration<double>(t - ck.Start).count();
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f s", s);
  return buf.data();
}

void report(Check &ck, const std::string &id, const SoakCall &call,
            const std::string &what) {
  ck.Violations.push_back(id + " at " + ck.World.Fronts[call.Front]->Name +
                          ", sent " + secondsAt(ck, call.SentAt) + ", status " +
                          std::to_string(call.Status) + ", ended " +
                          secondsAt(ck, call.EndedAt) + ": " + what);
}

/// Whether \p status states that the call hasn't run.
bool isNotRunStatus(int status) {
  constexpr std::array<int, 10> List = {400, 401, 403, 404, 408,
                                        413, 421, 429, 431, 503};
  return std::find(List.begin(), List.end(), status) != List.end();
}

void checkResponse(Check &ck, const std::string &id, const SoakCall &call) {
  const bool unsafe = call.Kind == SoakKind::Unsafe;
  if (unsafe && call.Runs.size() > 1)
    report(ck, id, call, "ran " + std::to_string(call.Runs.size()) + " times");
  if (isNotRunStatus(call.Status) && !call.Runs.empty())
    report(ck, id, call, "was refused but ran");
  if (call.MismatchedId)
    report(ck, id, call, "received the response of another call");
  if (call.Status == 200 && call.Complete) {
    if (call.Runs.empty())
      report(ck, id, call, "succeeded, but no engine ran it");
    if (!call.Sealed)
      report(ck, id, call, "succeeded without an engine's seal");
  }
}

void checkStream(Check &ck, const std::string &id, const SoakCall &call) {
  if (call.Kind != SoakKind::Stream || call.Status != 200)
    return;
  for (std::size_t n = 0; n < call.EventIds.size(); ++n)
    if (call.EventIds[n] != static_cast<int>(n) + 1) {
      report(ck, id, call,
             "has event " + std::to_string(call.EventIds[n]) + " at position " +
                 std::to_string(n + 1));
      return;
    }
  if (call.EventsBroken)
    report(ck, id, call, "has an invalid event");
  if (call.Complete && call.EventIds.size() != StreamEvents)
    report(ck, id, call,
           "is complete with " + std::to_string(call.EventIds.size()) +
               " events");
}

/// A call ends within its timeout unless its front was disturbed meanwhile.
void checkTime(Check &ck, const std::string &id, const SoakCall &call) {
  if (call.EndedAt == Time() ||
      call.EndedAt - call.SentAt < CallTimeout + CallTimeoutMargin)
    return;
  const SoakFront &f = *ck.World.Fronts[call.Front];
  if (!overlaps(f.Disturbed, call.SentAt, call.EndedAt))
    report(ck, id, call, "got no response within its timeout");
}

/// No call runs with an API key that was withdrawn KeyWithdrawalTimeout before
/// the call was sent, even if its front has not read the withdrawal yet.
void checkKey(Check &ck, const std::string &id, const SoakCall &call) {
  const auto it = ck.World.WithdrawnKeys.find(call.Key);
  if (it == ck.World.WithdrawnKeys.end())
    return;
  for (const TimeRange &s : it->second)
    for (const Time t : call.Runs)
      if (call.SentAt > s.Begin + KeyWithdrawalTimeout && t < s.End)
        report(ck, id, call,
               "ran with " + call.Key + ", withdrawn at " +
                   secondsAt(ck, s.Begin));
}

/// A key that has been valid for some time isn't rejected, whatever its front
/// knows: one that isn't sure of its plan doesn't reject any.
void checkValidKey(Check &ck, const std::string &id, const SoakCall &call) {
  constexpr Duration ApplyTimeout = seconds(3);
  const auto it = ck.World.WithdrawnKeys.find(call.Key);
  if (call.Status == 401 &&
      (it == ck.World.WithdrawnKeys.end() ||
       !overlaps(it->second, call.SentAt - ApplyTimeout, call.EndedAt)))
    report(ck, id, call, "was rejected with " + call.Key + ", a valid key");
}

/// Whether \p call was sent to a front of the other build.
const char *buildOf(const Check &ck, const SoakCall &call) {
  return overlaps(ck.World.Fronts[call.Front]->OtherBuild, call.SentAt,
                  call.SentAt)
             ? " (other build)"
             : "";
}

/// A change of the configuration is in force after PlanApplyTimeout, whatever
/// its front knows: one that isn't sure of its plan refuses the call with 503.
/// A call of a route that was added isn't rejected, and one of a route that was
/// removed isn't run.
void checkPlan(Check &ck, const std::string &id, const SoakCall &call) {
  for (const auto &[version, added] : ck.World.WrittenAt) {
    if (call.Path != probePath(version) + "s")
      continue;
    const auto next = ck.World.WrittenAt.find(version + 2);
    const Time removed =
        next == ck.World.WrittenAt.end() ? Time::max() : next->second;
    if (call.Status == 404 && call.SentAt > added + PlanApplyTimeout &&
        call.EndedAt < removed)
      report(ck, id, call,
             "was rejected on a route that was added at " +
                 secondsAt(ck, added) + buildOf(ck, call));
    if (!call.Runs.empty() && removed != Time::max() &&
        call.SentAt > removed + PlanApplyTimeout)
      report(ck, id, call,
             "ran on a route that was removed at " + secondsAt(ck, removed) +
                 buildOf(ck, call));
  }
}

/// No front has routed a call by a plan whose proof was older than a change of
/// the configuration may take, as its metrics say.
void checkProofAges(Check &ck) {
  const std::string name = "plan_proof_age_max_seconds\"} ";
  for (const auto &f : ck.World.Fronts) {
    if (!f->Proc ||
        (!f->OtherBuild.empty() && f->OtherBuild.back().End == Time::max()))
      continue;
    const std::string text =
        callHttp("GET",
                 "http://" + loopbackAddress(f->Ports.Metrics) + "/metrics")
            .Body;
    const std::size_t at = text.find(name);
    if (at == std::string::npos)
      ck.Violations.push_back(f->Name + " has no metric of its proof's age");
    else if (const double age = std::stod(text.substr(at + name.size()));
             age > std::chrono::duration<double>(PlanApplyTimeout).count())
      ck.Violations.push_back(f->Name + " routed a call with a proof of " +
                              std::to_string(age) + " s");
  }
}

/// An engine that is draining receives no new calls after DrainTimeout, unless
/// the front or its path to the store was disturbed.
void checkDrain(Check &ck, const std::string &id, const SoakCall &call) {
  const SoakFront &f = *ck.World.Fronts[call.Front];
  for (std::size_t n = 0; n < call.Arrivals.size(); ++n) {
    const Time t = call.Arrivals[n];
    const auto &engine =
        *ck.World.Engines[static_cast<std::size_t>(call.Engines[n])];
    for (const TimeRange &s : engine.Draining) {
      const bool late = t > s.Begin + DrainTimeout && t < s.End;
      const Time before = s.Begin - seconds(1);
      if (late && !overlaps(f.Disturbed, before, t) &&
          !overlaps(f.StoreFaults, before, t) &&
          !overlaps(ck.World.StoreOutages, before, t) &&
          !overlaps(ck.World.StoreRestores, before, t))
        report(ck, id, call,
               "reached an engine at " + secondsAt(ck, t) +
                   " that was set to draining at " + secondsAt(ck, s.Begin) +
                   ", beyond the timeout");
    }
  }
}

/// A call doesn't reach an engine of an evacuated zone after the timeout,
/// unless the front, its path to the store or the store was disturbed in the
/// contact window before.
void checkEvacuation(Check &ck, const std::string &id, const SoakCall &call) {
  constexpr Duration ContactWindow = seconds(3);
  const SoakFront &f = *ck.World.Fronts[call.Front];
  for (std::size_t n = 0; n < call.Arrivals.size(); ++n) {
    const Time t = call.Arrivals[n];
    const auto it = ck.World.Evacuations.find(
        zoneOfEngine(static_cast<std::size_t>(call.Engines[n])));
    if (it == ck.World.Evacuations.end())
      continue;
    for (const TimeRange &s : it->second) {
      const bool late = t > s.Begin + EvacuationTimeout && t < s.End;
      const Time before = t - ContactWindow;
      if (late && !overlaps(f.Disturbed, before, t) &&
          !overlaps(f.StoreFaults, before, t) &&
          !overlaps(ck.World.StoreOutages, before, t) &&
          !overlaps(ck.World.StoreRestores, before, t))
        report(ck, id, call,
               "reached an engine at " + secondsAt(ck, t) +
                   " in a zone that was evacuated at " +
                   secondsAt(ck, s.Begin));
    }
  }
}

struct RetryTimes {
  std::vector<Time> Calls;
  std::vector<Time> Retries;
};

std::size_t countIn(const std::vector<Time> &sorted, Time from, Time to) {
  return static_cast<std::size_t>(
      std::lower_bound(sorted.begin(), sorted.end(), to) -
      std::lower_bound(sorted.begin(), sorted.end(), from));
}

/// Checks the retry budget: in each window, retries are at most a share of the
/// calls plus a constant. The calls are the most of this window, the one before
/// it and the one that overlaps half of it.
void checkRetryBudget(Check &ck) {
  RetryTimes r;
  for (const auto &[id, call] : ck.World.Callers.Calls) {
    r.Calls.push_back(call.SentAt);
    for (std::size_t n = 1; n < call.Arrivals.size(); ++n)
      r.Retries.push_back(call.Arrivals[n]);
  }
  std::sort(r.Calls.begin(), r.Calls.end());
  std::sort(r.Retries.begin(), r.Retries.end());
  for (Time from = ck.Start; from < ck.World.QuietEnd; from += seconds(1)) {
    const Time to = from + RetryWindow;
    const std::size_t retries = countIn(r.Retries, from, to);
    const std::size_t calls = std::max(
        {countIn(r.Calls, from, to),
         countIn(r.Calls, from - RetryWindow / 2, to - RetryWindow / 2),
         countIn(r.Calls, from - RetryWindow, from)});
    if (static_cast<double>(retries) >
        RetryRatio * static_cast<double>(calls) + RetrySlack)
      ck.Violations.push_back(std::to_string(retries) + " retries for " +
                              std::to_string(calls) +
                              " calls in the window at " + secondsAt(ck, from));
  }
}

/// Each call that was sent RecoveryTimeout or more after the last fault
/// succeeds.
void checkRecovery(Check &ck, const std::string &id, const SoakCall &call) {
  if (call.SentAt < ck.World.FaultsEnd + RecoveryTimeout ||
      call.EndedAt == Time())
    return;
  if (call.Status != 200 || !call.Complete)
    report(ck, id, call, "failed after the faults");
}

/// An arrival at one engine.
struct EngineArrival {
  Time At;
  Time CallSentAt;
  std::size_t Front = 0;
  std::string Asked;

  bool operator<(const EngineArrival &other) const { return At < other.At; }
};

/// Whether \p front and its path to \p e worked normally from \p from to \p to.
bool wasCalm(const Check &ck, const SoakEngine &e, std::size_t front, Time from,
             Time to) {
  return !overlaps(ck.World.Fronts[front]->Disturbed, from - seconds(1), to) &&
         !overlaps(e.PathFaults, from, to);
}

/// In a span of 4 s an engine that names a limit gets one and a half times what
/// that allows, and five calls more, from the fronts that it told.
void checkLimit(Check &ck, const SoakEngine &e, const TimeRange &asking,
                const std::vector<EngineArrival> &arrivals) {
  constexpr Duration Window = seconds(4);
  constexpr Duration ContactWindow = seconds(3);
  constexpr double Most = AskedLimit * 4 * 1.5 + 5;
  std::map<std::size_t, Time> told;
  std::vector<Time> counted;
  Time named;
  for (const EngineArrival &a : arrivals) {
    if (a.At < asking.Begin || a.At > asking.End)
      continue;
    const auto it = told.find(a.Front);
    if (named != Time() && a.At > named + ContactWindow && it != told.end() &&
        a.At > it->second + milliseconds(500) &&
        wasCalm(ck, e, a.Front, it->second, a.At))
      counted.push_back(a.At);
    if (a.Asked != LimitLine)
      continue;
    told.emplace(a.Front, a.At);
    named = named == Time() ? a.At : named;
  }
  for (const Time from : counted)
    if (const std::size_t n = countIn(counted, from, from + Window);
        static_cast<double>(n) > Most)
      ck.Violations.push_back("an engine with a limit got " +
                              std::to_string(n) + " calls in 4 s from " +
                              secondsAt(ck, from));
}

/// A front that an engine told of its leaving sends it no call that arrived at
/// the front two seconds later; one that was told when to come back sends at
/// most two calls before.
void checkLeavingAndRetry(Check &ck, const SoakEngine &e,
                          const TimeRange &asking,
                          const std::vector<EngineArrival> &arrivals) {
  constexpr Duration LeaveTimeout = seconds(2);
  std::map<std::size_t, Time> left;
  std::map<std::size_t, std::pair<Time, int>> refused;
  for (const EngineArrival &a : arrivals) {
    if (a.At < asking.Begin || a.At > asking.End)
      continue;
    const auto gone = left.find(a.Front);
    if (gone != left.end() && a.CallSentAt > gone->second + LeaveTimeout &&
        wasCalm(ck, e, a.Front, gone->second, a.At))
      ck.Violations.push_back("an engine that said it leaves got a call at " +
                              secondsAt(ck, a.At));
    if (a.Asked == LeavingLine)
      left.emplace(a.Front, a.At);
    auto &[at, early] = refused[a.Front];
    if (at != Time() && a.At > at + milliseconds(500) &&
        a.At < at + AskedRetryAfter && wasCalm(ck, e, a.Front, at, a.At) &&
        ++early > 2)
      ck.Violations.push_back(
          "an engine got a call before its Retry-After at " +
          secondsAt(ck, a.At));
    if (a.Asked == RetryAfterLine) {
      at = a.At;
      early = 0;
    }
  }
}

/// Checks that fronts do as engines ask in their responses.
void checkAsked(Check &ck) {
  std::vector<std::vector<EngineArrival>> arrivals(ck.World.Engines.size());
  for (const auto &[id, call] : ck.World.Callers.Calls)
    for (std::size_t n = 0; n < call.Arrivals.size(); ++n)
      arrivals[static_cast<std::size_t>(call.Engines[n])].push_back(
          {call.Arrivals[n], call.SentAt, call.Front, call.Asked[n]});
  for (std::size_t n = 0; n < arrivals.size(); ++n) {
    std::sort(arrivals[n].begin(), arrivals[n].end());
    const SoakEngine &e = *ck.World.Engines[n];
    for (const TimeRange &asking : e.Asking) {
      checkLimit(ck, e, asking, arrivals[n]);
      checkLeavingAndRetry(ck, e, asking, arrivals[n]);
    }
  }
}

} // namespace

std::vector<std::string> findViolations(const SoakWorld &w) {
  Check ck{w, w.FaultsEnd - seconds(w.Options.Seconds), w.Violations};
  for (const auto &[id, call] : w.Callers.Calls) {
    checkResponse(ck, id, call);
    checkStream(ck, id, call);
    checkTime(ck, id, call);
    checkKey(ck, id, call);
    checkValidKey(ck, id, call);
    checkDrain(ck, id, call);
    checkEvacuation(ck, id, call);
    checkRecovery(ck, id, call);
  }
  for (const auto &[id, call] : w.Probes.Calls) {
    checkResponse(ck, id, call);
    checkPlan(ck, id, call);
  }
  checkRetryBudget(ck);
  checkAsked(ck);
  checkProofAges(ck);
  const bool any =
      std::any_of(w.Callers.Calls.begin(), w.Callers.Calls.end(),
                  [](const auto &it) { return it.second.Status == 200; });
  if (!any)
    ck.Violations.emplace_back("no call was served");
  return ck.Violations;
}

} // namespace zinniagauge::testing
