// Implements the evaluation of new versions.
#include "zinniagauge/decide/version_evaluator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <string_view>

namespace zinniagauge {

namespace {

constexpr std::array<std::string_view, VersionFaultCount> FaultNames = {
    "requests fail", "the first byte is late", "the rest is slow",
    "some responses are slow"};
constexpr std::array<std::string_view, 3> LoadNames = {"light", "busy", "full"};

/// Bound on the slowness score of one request, so that a single request that
/// hung can't decide the evaluation.
constexpr double MaxScorePerRequest = 1;

/// The highest shares of bad responses that are expected of a version: beyond
/// them an excess couldn't show.
constexpr double MaxExpectedFailureRate = 0.8;
constexpr double MaxExpectedSlowShare = 0.7;

/// The number of requests of an endpoint after which the weight of older ones
/// in its evidence has fallen to about a third.
constexpr double EvidenceRequests = 40;

/// The counts of one key since the last step.
struct Sample {
  VersionStatsKey Key;
  double Requests = 0;
  double Failures = 0;
  double Good = 0;
  double Slow = 0; // Of the good ones.
  double FirstTokenNanos = 0;
  double GenerationNanos = 0;
  double GenerationUnits = 0;
};

StatsGroup groupOf(const VersionStatsKey &key) noexcept {
  return {key.Route, key.Load};
}

/// Returns whether a count fell, which shows that its process has restarted.
bool hasReset(const VersionStatsCounts &now,
              const VersionStatsCounts &last) noexcept {
  return now.Requests < last.Requests || now.Failures < last.Failures ||
         now.TotalNanos < last.TotalNanos ||
         now.SlowResponses < last.SlowResponses;
}

Sample sampleOf(const VersionStatsKey &key, const VersionStatsCounts &now,
                VersionStatsCounts last) {
  if (hasReset(now, last))
    last = {};
  Sample s;
  s.Key = key;
  s.Requests = static_cast<double>(now.Requests - last.Requests);
  s.Failures = static_cast<double>(now.Failures - last.Failures);
  s.Good = s.Requests - s.Failures;
  s.Slow = static_cast<double>(now.SlowResponses - last.SlowResponses);
  const auto first = now.FirstTokenNanos - last.FirstTokenNanos;
  const auto total = now.TotalNanos - last.TotalNanos;
  const auto tokens = now.OutputTokens - last.OutputTokens;
  s.FirstTokenNanos = static_cast<double>(first);
  s.GenerationNanos = static_cast<double>(total - std::min(first, total));
  s.GenerationUnits = tokens != 0 ? static_cast<double>(tokens) : s.Good;
  return s;
}

/// Adds \p s to \p b and scales down older requests so that \p b weighs at
/// most \p window requests.
void addSample(Baseline &b, const Sample &s, double window) noexcept {
  const double all = b.Requests + s.Requests;
  const double kept =
      all > window ? std::max(0.0, window - s.Requests) / b.Requests : 1.0;
  const double scale = b.Requests > 0 ? kept : 0;
  b.Requests = b.Requests * scale + s.Requests;
  b.Failures = b.Failures * scale + s.Failures;
  b.Slow = b.Slow * scale + s.Slow;
  b.FirstTokenNanos = b.FirstTokenNanos * scale + s.FirstTokenNanos;
  b.GenerationNanos = b.GenerationNanos * scale + s.GenerationNanos;
  b.GenerationUnits = b.GenerationUnits * scale + s.GenerationUnits;
}

void addBaseline(Baseline &sum, const Baseline &b) noexcept {
  sum.Requests += b.Requests;
  sum.Failures += b.Failures;
  sum.Slow += b.Slow;
  sum.FirstTokenNanos += b.FirstTokenNanos;
  sum.GenerationNanos += b.GenerationNanos;
  sum.GenerationUnits += b.GenerationUnits;
}

double failureRate(const Baseline &b) noexcept {
  return b.Requests > 0 ? b.Failures / b.Requests : 0;
}

double slowShare(const Baseline &b) noexcept {
  const double good = b.Requests - b.Failures;
  return good > 0 ? b.Slow / good : 0;
}

/// Returns the log-likelihood ratio of \p bad and \p good requests between a
/// version with \p excess more bad ones and one with the share \p tolerated of
/// bad ones.
double shareScore(double bad, double good, double tolerated,
                  double excess) noexcept {
  const double detected = tolerated + excess;
  return bad * std::log(detected / tolerated) +
         good * std::log((1 - detected) / (1 - tolerated));
}

/// Returns the log of the ratio of \p time per unit to \p base, clamped to
/// MaxScorePerRequest, times \p n requests.
double slownessScore(double n, double time, double units,
                     double base) noexcept {
  if (n <= 0 || units <= 0 || time <= 0 || base <= 0)
    return 0;
  const double ratio = time / units / base;
  return n *
         std::clamp(std::log(ratio), -MaxScorePerRequest, MaxScorePerRequest);
}

double perGood(const Baseline &b, double time) noexcept {
  const double good = b.Requests - b.Failures;
  return good > 0 ? time / good : 0;
}

double perUnit(const Baseline &b) noexcept {
  return b.GenerationUnits > 0 ? b.GenerationNanos / b.GenerationUnits : 0;
}

using Scores = std::array<double, VersionFaultCount>;

/// Returns by how much the share of bad responses currently exceeds the
/// expected one, beyond what may be chance.
double surgeExcess(const SurgeWindow &w) noexcept {
  if (w.Requests <= 0)
    return 0;
  const double chance = SurgeDeviations * std::sqrt(w.Expected + 1);
  return std::max(0.0, (w.Bad - w.Expected - chance) / w.Requests);
}

/// What a sample of the new version is compared with.
struct Reference {
  Baseline Failures;       // Without endpoints that fail too often.
  Baseline Times;          // Without endpoints that are slow too often.
  Baseline CurrentTimes;   // Of the latest requests.
  double FailureSurge = 0; // Added to the failure rate.
  double SlowSurge = 0;    // Added to the share of slow responses.
  bool Unpaired = false;   // There are no latest requests.
};

/// The share of failures, and of slow responses, expected of the new version.
double expectedFailures(const Reference &ref) noexcept {
  return std::clamp(failureRate(ref.Failures) + ref.FailureSurge,
                    ref.Unpaired ? ToleratedUnpairedFailureRate
                                 : ToleratedFailureRate,
                    MaxExpectedFailureRate);
}

double expectedSlow(const Reference &ref) noexcept {
  return std::clamp(slowShare(ref.Times) + ref.SlowSurge,
                    ref.Unpaired ? ToleratedUnpairedSlowShare
                                 : ToleratedSlowShare,
                    MaxExpectedSlowShare);
}

/// Returns the scores of \p s for each fault. A burst that slows down the old
/// version too is no fault of the new one, so of the recent and the current
/// times the longer ones count.
Scores scoresOf(const Sample &s, const Reference &ref) noexcept {
  const double first =
      std::max(perGood(ref.Times, ref.Times.FirstTokenNanos),
               perGood(ref.CurrentTimes, ref.CurrentTimes.FirstTokenNanos));
  const double rest = std::max(perUnit(ref.Times), perUnit(ref.CurrentTimes));
  const double maxslowdown =
      ref.Unpaired ? ToleratedUnpairedSlowdown : ToleratedSlowdown;
  return {shareScore(s.Failures, s.Good, expectedFailures(ref),
                     DetectedFailureExcess),
          slownessScore(s.Good, s.FirstTokenNanos, s.Good, first * maxslowdown),
          slownessScore(s.Good, s.GenerationNanos, s.GenerationUnits,
                        rest * maxslowdown),
          shareScore(s.Slow, s.Good - s.Slow, expectedSlow(ref),
                     DetectedSlowExcess)};
}

double nonNegative(double score) noexcept { return std::max(0.0, score); }

/// Adds the \p parts of all endpoints to the total, and for each endpoint the
/// parts of all others to the sum that leaves it out.
void addParts(FaultScore &f, const std::map<EndpointId, double> &parts) {
  double sum = 0;
  for (const auto &[id, part] : parts) {
    f.WithoutEndpoint.emplace(id, f.Total);
    sum += part;
  }
  f.Total = nonNegative(f.Total + sum);
  for (auto &[id, score] : f.WithoutEndpoint) {
    const auto it = parts.find(id);
    score = nonNegative(score + sum - (it == parts.end() ? 0 : it->second));
  }
}

/// Returns the score that remains however bad any single endpoint is: the least
/// of the sums that leave one out. For a version with a single endpoint it is
/// the total.
double leaveOneOutScore(const FaultScore &f, std::size_t endpoints) noexcept {
  if (endpoints < 2)
    return f.Total;
  if (f.WithoutEndpoint.size() < 2)
    return 0;
  const auto least = std::min_element(
      f.WithoutEndpoint.begin(), f.WithoutEndpoint.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return least->second;
}

/// The scores of one step, by group, fault and endpoint.
using StepScores =
    std::map<StatsGroup,
             std::array<std::map<EndpointId, double>, VersionFaultCount>>;

/// Requests of one endpoint and how many of them were bad in one way, by group.
struct BadCounts {
  double Requests = 0;
  double Bad = 0;
};
using EndpointBadCounts = std::map<EndpointId, std::map<StatsGroup, BadCounts>>;

/// The requests of the old version that failed, or that were slow.
EndpointBadCounts failuresOf(const MoveEvaluation &ev) {
  EndpointBadCounts out;
  for (const auto &[g, endpoints] : ev.RecentBaselines)
    for (const auto &[id, b] : endpoints)
      out[id][g] = {b.Requests, b.Failures};
  return out;
}

EndpointBadCounts slowOf(const MoveEvaluation &ev) {
  EndpointBadCounts out;
  for (const auto &[g, endpoints] : ev.RecentBaselines)
    for (const auto &[id, b] : endpoints)
      out[id][g] = {b.Requests - b.Failures, b.Slow};
  return out;
}

/// How many requests of one endpoint were bad, and how many would have been at
/// the rates of its groups.
struct BadRatio {
  EndpointId Id;
  double Requests = 0;
  double Bad = 0;
  double Expected = 0;
};

/// Compares each endpoint with \p reference; a group in which the reference has
/// no requests is left out. The expected share is at least \p tolerated.
std::vector<BadRatio> badRatios(const EndpointBadCounts &counts,
                                const std::set<EndpointId> &reference,
                                double tolerated) {
  std::map<StatsGroup, BadCounts> sums;
  for (const EndpointId id : reference)
    for (const auto &[g, c] : counts.at(id)) {
      sums[g].Requests += c.Requests;
      sums[g].Bad += c.Bad;
    }
  std::vector<BadRatio> out;
  for (const auto &[id, groups] : counts) {
    BadRatio r;
    r.Id = id;
    for (const auto &[g, c] : groups) {
      const BadCounts &sum = sums[g];
      if (sum.Requests <= 0)
        continue;
      r.Requests += c.Requests;
      r.Bad += c.Bad;
      r.Expected += c.Requests * std::max(sum.Bad / sum.Requests, tolerated);
    }
    out.push_back(r);
  }
  return out;
}

/// Returns the endpoints that are bad more often than the best third of them,
/// by more than chance and by half of what must be detected at least.
std::set<EndpointId> disturbedEndpoints(const EndpointBadCounts &counts,
                                        double tolerated, double detected) {
  std::set<EndpointId> all;
  for (const auto &[id, groups] : counts)
    all.insert(id);
  std::vector<BadRatio> ratios = badRatios(counts, all, tolerated);
  std::sort(
      ratios.begin(), ratios.end(), [](const BadRatio &a, const BadRatio &b) {
        return (a.Bad + 1) / (a.Expected + 1) < (b.Bad + 1) / (b.Expected + 1);
      });
  std::set<EndpointId> best;
  for (std::size_t n = 0; n < (ratios.size() + 2) / 3; ++n)
    best.insert(ratios[n].Id);
  std::set<EndpointId> out;
  for (const BadRatio &r : badRatios(counts, best, tolerated)) {
    const double excess =
        std::max(DisturbedDeviations * std::sqrt(r.Expected + 1),
                 r.Requests * detected / 2);
    if (!best.contains(r.Id) && r.Bad > r.Expected + excess)
      out.insert(r.Id);
  }
  return out;
}

/// When to compare the endpoints again after \p requests of the old version.
/// The work of a comparison grows with the number of endpoints, and so do the
/// requests.
std::uint64_t nextComparisonAt(std::uint64_t requests) noexcept {
  constexpr std::uint64_t Fraction = 50;
  return requests + 1 + requests / Fraction;
}

void updateDisturbed(MoveEvaluation &ev) {
  ev.FailingEndpoints = disturbedEndpoints(failuresOf(ev), ToleratedFailureRate,
                                           DetectedFailureExcess);
  ev.SlowEndpoints =
      disturbedEndpoints(slowOf(ev), ToleratedSlowShare, DetectedSlowExcess);
}

/// Returns the log-likelihood ratio of a bad version to a good one, each
/// endpoint of which may be disturbed.
double versionEvidence(const EvidenceMap &endpoints,
                       std::size_t fault) noexcept {
  constexpr double MaxExponent = 500; // exp() of more would overflow.
  double best = std::numeric_limits<double>::lowest();
  for (std::size_t k = 0; k < ExcessCount; ++k) {
    double sum = 0;
    for (const auto &[id, e] : endpoints)
      sum += e.BadVersion[fault][k] -
             std::log(1 - DisturbedLikelihood +
                      DisturbedLikelihood *
                          std::exp(std::min(e.Disturbed[fault], MaxExponent)));
    best = std::max(best, sum);
  }
  return best;
}

/// The recent baseline of a group without the endpoints in \p except.
Baseline baselineWithout(const MoveEvaluation &ev, const StatsGroup &g,
                         const std::set<EndpointId> &except) {
  Baseline sum;
  const auto it = ev.RecentBaselines.find(g);
  if (it == ev.RecentBaselines.end())
    return sum;
  for (const auto &[id, b] : it->second)
    if (!except.contains(id))
      addBaseline(sum, b);
  return sum;
}

/// Adds the log-likelihood ratios of \p bad and \p good responses for fault \p
/// n.
void addShareEvidence(EndpointEvidence &e, std::size_t n, double bad,
                      double good, double expected, double excess) noexcept {
  constexpr double MaxShare = 0.98;
  for (std::size_t k = 0; k < ExcessCount; ++k) {
    const double more =
        std::min(excess * static_cast<double>(k + 1), MaxShare - expected);
    e.BadVersion[n][k] += shareScore(bad, good, expected, more);
  }
  e.Disturbed[n] += shareScore(bad, good, expected,
                               std::max(DisturbedShare - expected, excess));
}

void addEvidence(EndpointEvidence &e, const Sample &s, const Reference &ref) {
  const double kept = std::exp(-s.Requests / EvidenceRequests);
  for (std::size_t n = 0; n < ShareFaultCount; ++n) {
    for (double &score : e.BadVersion[n])
      score *= kept;
    e.Disturbed[n] *= kept;
  }
  addShareEvidence(e, 0, s.Failures, s.Good, expectedFailures(ref),
                   DetectedFailureExcess);
  addShareEvidence(e, 1, s.Slow, s.Good - s.Slow, expectedSlow(ref),
                   DetectedSlowExcess);
}

/// Adds \p requests, of which \p bad were bad, to a window.
void addToWindow(SurgeWindow &w, double requests, double bad,
                 double rate) noexcept {
  const double all = w.Requests + requests;
  const double kept =
      all > SurgeWindowRequests && w.Requests > 0
          ? std::max(0.0, SurgeWindowRequests - requests) / w.Requests
          : 1.0;
  w.Requests = w.Requests * kept + requests;
  w.Bad = w.Bad * kept + bad;
  w.Expected = w.Expected * kept + requests * rate;
}

void addBaselineSample(MoveEvaluation &ev, const Sample &s) {
  const StatsGroup g = groupOf(s.Key);
  ev.UnpairedRequests = 0;
  ev.OldVersionRequests += static_cast<std::uint64_t>(s.Requests);
  ev.OldVersionFailures += static_cast<std::uint64_t>(s.Failures);
  ev.OldVersionSlow += static_cast<std::uint64_t>(s.Slow);
  if (!ev.FailingEndpoints.contains(s.Key.Endpoint))
    addToWindow(ev.FailureSurge, s.Requests, s.Failures,
                failureRate(baselineWithout(ev, g, ev.FailingEndpoints)));
  if (!ev.SlowEndpoints.contains(s.Key.Endpoint)) {
    addToWindow(ev.SlowSurge, s.Good, s.Slow,
                slowShare(baselineWithout(ev, g, ev.SlowEndpoints)));
    addSample(ev.CurrentBaselines[g], s, CurrentWindowRequests);
  }
  addSample(ev.RecentBaselines[g][s.Key.Endpoint], s, RecentWindowRequests);
}

void scoreNewSample(MoveEvaluation &ev, const Sample &s, StepScores &scores) {
  ev.NewVersionRequests += static_cast<std::uint64_t>(s.Requests);
  ev.NewVersionFailures += static_cast<std::uint64_t>(s.Failures);
  ev.NewVersionSlow += static_cast<std::uint64_t>(s.Slow);
  ev.UnpairedRequests += static_cast<std::uint64_t>(s.Requests);
  const StatsGroup g = groupOf(s.Key);
  Reference ref;
  ref.Failures = baselineWithout(ev, g, ev.FailingEndpoints);
  ref.Times = baselineWithout(ev, g, ev.SlowEndpoints);
  if (std::min(ref.Failures.Requests, ref.Times.Requests) < MinBaselineRequests)
    return;
  ref.CurrentTimes = ev.CurrentBaselines[g];
  ref.FailureSurge = surgeExcess(ev.FailureSurge);
  ref.SlowSurge = surgeExcess(ev.SlowSurge);
  ref.Unpaired = ev.UnpairedRequests > MaxUnpairedRequests;
  ev.ScoredRequests += static_cast<std::uint64_t>(s.Requests);
  const Scores parts = scoresOf(s, ref);
  for (std::size_t n = 0; n < VersionFaultCount; ++n)
    scores[g][n][s.Key.Endpoint] += parts[n];
  addEvidence(ev.Evidence[s.Key.Endpoint], s, ref);
}

std::size_t endpointsOf(const Bundle &b, const MoveSpec &m) noexcept {
  return static_cast<std::size_t>(
      std::count_if(b.Endpoints.begin(), b.Endpoints.end(), [&](const auto &e) {
        return e.Pool == m.Pool && e.Version == m.NewVersion;
      }));
}

std::string describeFault(std::size_t fault, const StatsGroup *g,
                          const Bundle &b) {
  std::string reason(FaultNames[fault]);
  if (!g)
    return reason + " on all routes";
  const auto it =
      std::find_if(b.Routes.begin(), b.Routes.end(),
                   [&](const RouteSpec &r) { return r.Id == g->Route; });
  if (it != b.Routes.end())
    reason.append(" on route ").append(it->Name);
  return reason.append(" under ")
      .append(LoadNames[static_cast<std::size_t>(g->Load)])
      .append(" load");
}

/// Adds the scores of a step to \p sums and sets BadReason if they make the
/// version bad.
void updateGroup(
    MoveEvaluation &ev, GroupScores &sums,
    const std::array<std::map<EndpointId, double>, VersionFaultCount> &add,
    const StatsGroup *g, const Bundle &b, const MoveSpec &m) {
  for (std::size_t n = 0; n < VersionFaultCount; ++n) {
    if (add[n].empty())
      continue;
    addParts(sums[n], add[n]);
    if (ev.BadReason.empty() &&
        leaveOneOutScore(sums[n], endpointsOf(b, m)) >= BadScoreThreshold)
      ev.BadReason = describeFault(n, g, b);
  }
}

void updateScores(MoveEvaluation &ev, const StepScores &scores, const Bundle &b,
                  const MoveSpec &m) {
  std::array<std::map<EndpointId, double>, VersionFaultCount> pooled;
  for (const auto &[g, add] : scores) {
    updateGroup(ev, ev.Scores[g], add, &g, b, m);
    for (std::size_t n = 0; n < VersionFaultCount; ++n)
      for (const auto &[id, part] : add[n])
        pooled[n][id] += part;
  }
  updateGroup(ev, ev.PooledScores, pooled, nullptr, b, m);
}

/// Returns the counts that one move's pool gained since the last step. Samples
/// of the old version come first, so that the new version is compared with an
/// up-to-date baseline.
std::vector<Sample> samplesOf(MoveEvaluation &ev, const MoveSpec &m,
                              const VersionStatsList &list) {
  std::vector<Sample> samples;
  for (const VersionStats &e : list.Rows) {
    const bool ofmove =
        e.Key.Version == m.OldVersion || e.Key.Version == m.NewVersion;
    if (e.Key.Pool != m.Pool || !ofmove)
      continue;
    VersionStatsCounts &last = ev.LastCounts[e.Key];
    const Sample s = sampleOf(e.Key, e.Counts, last);
    last = e.Counts;
    if (s.Requests > 0)
      samples.push_back(s);
  }
  std::stable_partition(samples.begin(), samples.end(), [&](const Sample &s) {
    return s.Key.Version == m.OldVersion;
  });
  return samples;
}

bool hasEnded(const MoveList &list, MoveId id) noexcept {
  return std::any_of(
      list.Moves.begin(), list.Moves.end(),
      [&](const MoveState &st) { return st.Id == id && isFinal(st.Stage); });
}

} // namespace

void evaluateVersions(VersionEvaluator &eval, const VersionEvaluatorView &view,
                      std::vector<BadVersion> &out) {
  for (const MoveSpec &m : view.ActiveBundle.Moves) {
    if (hasEnded(view.Moves, m.Id))
      continue;
    MoveEvaluation &ev = eval.Moves[m.Id];
    const bool wasbad = !ev.BadReason.empty();
    StepScores scores;
    const std::vector<Sample> samples = samplesOf(ev, m, view.Stats);
    const auto firstnew =
        std::find_if(samples.begin(), samples.end(), [&](const Sample &s) {
          return s.Key.Version != m.OldVersion;
        });
    std::for_each(samples.begin(), firstnew,
                  [&](const Sample &s) { addBaselineSample(ev, s); });
    if (ev.OldVersionRequests >= ev.NextComparisonAt) {
      updateDisturbed(ev);
      ev.NextComparisonAt = nextComparisonAt(ev.OldVersionRequests);
    }
    std::for_each(firstnew, samples.end(),
                  [&](const Sample &s) { scoreNewSample(ev, s, scores); });
    updateScores(ev, scores, view.ActiveBundle, m);
    if (!wasbad && !ev.BadReason.empty())
      out.push_back({m.Id, ev.BadReason});
  }
}

EvaluationState evaluationState(const VersionEvaluator &eval, MoveId move,
                                std::size_t endpoints) {
  EvaluationState out;
  const auto it = eval.Moves.find(move);
  if (it == eval.Moves.end())
    return out;
  const MoveEvaluation &ev = it->second;
  out.OldRequests = ev.OldVersionRequests;
  out.ScoredRequests = ev.ScoredRequests;
  out.OldFailures = ev.OldVersionFailures;
  out.NewFailures = ev.NewVersionFailures;
  out.OldSlow = ev.OldVersionSlow;
  out.NewSlow = ev.NewVersionSlow;
  out.FailingEndpoints = ev.FailingEndpoints.size();
  out.SlowEndpoints = ev.SlowEndpoints.size();
  if (!ev.Evidence.empty())
    out.Evidence = std::max(versionEvidence(ev.Evidence, 0),
                            versionEvidence(ev.Evidence, 1));
  const auto add = [&](const GroupScores &scores) {
    for (const FaultScore &f : scores) {
      const double confirmed = leaveOneOutScore(f, endpoints);
      out.WorstScore = std::max(out.WorstScore, confirmed);
      if (confirmed >= ConfirmingScore)
        out.WorstTotal = std::max(out.WorstTotal, f.Total);
    }
  };
  add(ev.PooledScores);
  for (const auto &[group, scores] : ev.Scores)
    add(scores);
  return out;
}

bool isTrusted(const EvaluationState &state) noexcept {
  const double needed =
      std::clamp(MinTrustedFraction * static_cast<double>(state.OldRequests),
                 1.0, MinTrustedRequests);
  return static_cast<double>(state.ScoredRequests) >= needed &&
         state.Evidence <= TrustedEvidence * needed / MinTrustedRequests &&
         std::max(state.WorstScore, state.WorstTotal) <
             SuspicionFraction * BadScoreThreshold;
}

std::uint64_t newVersionRequests(const VersionEvaluator &eval,
                                 MoveId move) noexcept {
  const auto it = eval.Moves.find(move);
  return it == eval.Moves.end() ? 0 : it->second.NewVersionRequests;
}

} // namespace zinniagauge
