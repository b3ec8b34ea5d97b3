#include "zinniagauge/decide/version_evaluator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace zinniagauge {

namespace {

constexpr std::array<std::string_view, VersionFaultCount> FaultNames = {
    "requests fail", "the first byte is late", "the rest is slow"};
constexpr std::array<std::string_view, 3> LoadNames = {"light", "busy", "full"};

/// The most that one request may speak for slowness, so that a single one that
/// hung doesn't decide.
constexpr double MostPerRequest = 1;

/// One key's counts since the last step.
struct Sample {
  VersionStatsKey Key;
  double Requests = 0;
  double Failures = 0;
  double Good = 0;
  double FirstToken = 0;
  double Rest = 0;
  double Units = 0;
};

StatsGroup groupOf(const VersionStatsKey &key) noexcept {
  return {key.Route, key.Load};
}

bool fellBack(const VersionStatsCounts &now,
              const VersionStatsCounts &last) noexcept {
  return now.Requests < last.Requests || now.Failures < last.Failures ||
         now.TotalNanos < last.TotalNanos;
}

Sample sampleOf(const VersionStatsKey &key, const VersionStatsCounts &now,
                VersionStatsCounts last) {
  if (fellBack(now, last))
    last = {};
  Sample s;
  s.Key = key;
  s.Requests = static_cast<double>(now.Requests - last.Requests);
  s.Failures = static_cast<double>(now.Failures - last.Failures);
  s.Good = s.Requests - s.Failures;
  const auto first = now.FirstTokenNanos - last.FirstTokenNanos;
  const auto total = now.TotalNanos - last.TotalNanos;
  const auto tokens = now.OutputTokens - last.OutputTokens;
  s.FirstToken = static_cast<double>(first);
  s.Rest = static_cast<double>(total - std::min(first, total));
  s.Units = tokens != 0 ? static_cast<double>(tokens) : s.Good;
  return s;
}

/// Adds \p s to \p b and fades what is older than the last \p window requests.
void addTo(Baseline &b, const Sample &s, double window) noexcept {
  const double all = b.Requests + s.Requests;
  const double keep =
      all > window ? std::max(0.0, window - s.Requests) / b.Requests : 1.0;
  const double fade = b.Requests > 0 ? keep : 0;
  b.Requests = b.Requests * fade + s.Requests;
  b.Failures = b.Failures * fade + s.Failures;
  b.FirstTokenNanos = b.FirstTokenNanos * fade + s.FirstToken;
  b.GenerationNanos = b.GenerationNanos * fade + s.Rest;
  b.GenerationUnits = b.GenerationUnits * fade + s.Units;
}

double failureRate(const Baseline &b) noexcept {
  return b.Requests > 0 ? b.Failures / b.Requests : 0;
}

/// The log likelihood ratio of \p s having a noticeable excess of failures
/// over a version that fails in \p rate of its requests, or in \p least if
/// that is more.
double failureScore(const Sample &s, double rate, double least) noexcept {
  const double granted = std::clamp(rate, least, 0.8);
  const double noticed = granted + DetectedFailureExcess;
  return s.Failures * std::log(noticed / granted) +
         s.Good * std::log((1 - noticed) / (1 - granted));
}

/// How much \p time for \p units is over \p base, in \p n requests.
double slowScore(double n, double time, double units, double base) noexcept {
  if (n <= 0 || units <= 0 || time <= 0 || base <= 0)
    return 0;
  const double ratio = time / units / base;
  return n * std::clamp(std::log(ratio), -MostPerRequest, MostPerRequest);
}

double perGood(const Baseline &b, double time) noexcept {
  const double good = b.Requests - b.Failures;
  return good > 0 ? time / good : 0;
}

double perUnit(const Baseline &b) noexcept {
  return b.GenerationUnits > 0 ? b.GenerationNanos / b.GenerationUnits : 0;
}

using Scores = std::array<double, VersionFaultCount>;

/// How \p s speaks against the new version. The old version's recent and
/// present requests both count, and the worse of them: a burst that slows the
/// old version too is no fault of the new one. \p failing is the share of
/// the old version's present requests that fail. With \p lone set, there is
/// nothing present to compare with.
Scores scoresOf(const Sample &s, const Baseline &recent,
                const Baseline &present, double failing, bool lone) noexcept {
  const double rate = std::max(failureRate(recent), failing);
  const double first = std::max(perGood(recent, recent.FirstTokenNanos),
                                perGood(present, present.FirstTokenNanos));
  const double rest = std::max(perUnit(recent), perUnit(present));
  const double most = lone ? ToleratedUnpairedSlowdown : ToleratedSlowdown;
  return {
      failureScore(s, rate,
                   lone ? ToleratedUnpairedFailureRate : ToleratedFailureRate),
      slowScore(s.Good, s.FirstToken, s.Good, first * most),
      slowScore(s.Good, s.Rest, s.Units, rest * most)};
}

double clipped(double score) noexcept { return std::max(0.0, score); }

/// Adds each endpoint's \p parts to the sum over all, and their rest to the
/// sums that leave one endpoint out.
void addTo(FaultScore &f, const std::map<EndpointId, double> &parts) {
  double sum = 0;
  for (const auto &[id, part] : parts) {
    f.WithoutEndpoint.emplace(id, f.Total);
    sum += part;
  }
  f.Total = clipped(f.Total + sum);
  for (auto &[id, score] : f.WithoutEndpoint) {
    const auto it = parts.find(id);
    score = clipped(score + sum - (it == parts.end() ? 0 : it->second));
  }
}

/// What is certain against the version however bad one of its endpoints is;
/// of a version with one endpoint, all of it.
double certain(const FaultScore &f, std::size_t endpoints) noexcept {
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

void takeOld(MoveEvaluation &mj, const Sample &s) {
  mj.UnpairedRequests = 0;
  addTo(mj.RecentBaselines[groupOf(s.Key)], s, RecentWindowRequests);
  addTo(mj.CurrentBaselines[groupOf(s.Key)], s, CurrentWindowRequests);
  addTo(mj.CurrentPoolBaseline, s, CurrentPoolWindowRequests);
}

void takeNew(MoveEvaluation &mj, const Sample &s, StepScores &scores) {
  mj.NewVersionRequests += static_cast<std::uint64_t>(s.Requests);
  mj.UnpairedRequests += static_cast<std::uint64_t>(s.Requests);
  const StatsGroup g = groupOf(s.Key);
  const Baseline &recent = mj.RecentBaselines[g];
  if (recent.Requests < MinBaselineRequests)
    return;
  const Scores parts = scoresOf(s, recent, mj.CurrentBaselines[g],
                                failureRate(mj.CurrentPoolBaseline),
                                mj.UnpairedRequests > MaxUnpairedRequests);
  for (std::size_t n = 0; n < VersionFaultCount; ++n)
    scores[g][n][s.Key.Endpoint] += parts[n];
}

std::size_t endpointsOf(const Bundle &b, const MoveSpec &m) noexcept {
  return static_cast<std::size_t>(
      std::count_if(b.Endpoints.begin(), b.Endpoints.end(), [&](const auto &e) {
        return e.Pool == m.Pool && e.Version == m.NewVersion;
      }));
}

std::string describeFault(std::size_t fault, const StatsGroup *g,
                          const Bundle &b) {
  std::string why(FaultNames[fault]);
  if (!g)
    return why + " on all routes";
  const auto it =
      std::find_if(b.Routes.begin(), b.Routes.end(),
                   [&](const RouteSpec &r) { return r.Id == g->Route; });
  if (it != b.Routes.end())
    why.append(" on route ").append(it->Name);
  return why.append(" under ")
      .append(LoadNames[static_cast<std::size_t>(g->Load)])
      .append(" load");
}

/// Adds a step's scores to \p sums; sets Why if that makes the version bad.
void judgeGroup(
    MoveEvaluation &mj, GroupScores &sums,
    const std::array<std::map<EndpointId, double>, VersionFaultCount> &add,
    const StatsGroup *g, const Bundle &b, const MoveSpec &m) {
  for (std::size_t n = 0; n < VersionFaultCount; ++n) {
    if (add[n].empty())
      continue;
    addTo(sums[n], add[n]);
    if (mj.BadReason.empty() &&
        certain(sums[n], endpointsOf(b, m)) >= BadScoreThreshold)
      mj.BadReason = describeFault(n, g, b);
  }
}

void judgeStep(MoveEvaluation &mj, const StepScores &scores, const Bundle &b,
               const MoveSpec &m) {
  std::array<std::map<EndpointId, double>, VersionFaultCount> pooled;
  for (const auto &[g, add] : scores) {
    judgeGroup(mj, mj.Scores[g], add, &g, b, m);
    for (std::size_t n = 0; n < VersionFaultCount; ++n)
      for (const auto &[id, part] : add[n])
        pooled[n][id] += part;
  }
  judgeGroup(mj, mj.PooledScores, pooled, nullptr, b, m);
}

/// What was added to the rows of one move's pool since the last step: first
/// the old version's, then the new one's, so that both are compared as of now.
std::vector<Sample> samplesOf(MoveEvaluation &mj, const MoveSpec &m,
                              const VersionStatsList &list) {
  std::vector<Sample> samples;
  for (const VersionStats &e : list.Rows) {
    const bool ofmove =
        e.Key.Version == m.OldVersion || e.Key.Version == m.NewVersion;
    if (e.Key.Pool != m.Pool || !ofmove)
      continue;
    VersionStatsCounts &last = mj.LastCounts[e.Key];
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

void evaluateVersions(VersionEvaluator &judge, const VersionEvaluatorView &view,
                      std::vector<BadVersion> &out) {
  for (const MoveSpec &m : view.ActiveBundle.Moves) {
    if (hasEnded(view.Moves, m.Id))
      continue;
    MoveEvaluation &mj = judge.Moves[m.Id];
    const bool before = !mj.BadReason.empty();
    StepScores scores;
    for (const Sample &s : samplesOf(mj, m, view.Stats)) {
      if (s.Key.Version == m.OldVersion)
        takeOld(mj, s);
      else
        takeNew(mj, s, scores);
    }
    judgeStep(mj, scores, view.ActiveBundle, m);
    if (!before && !mj.BadReason.empty())
      out.push_back({m.Id, mj.BadReason});
  }
}

std::uint64_t newVersionRequests(const VersionEvaluator &judge,
                                 MoveId move) noexcept {
  const auto it = judge.Moves.find(move);
  return it == judge.Moves.end() ? 0 : it->second.NewVersionRequests;
}

} // namespace zinniagauge
