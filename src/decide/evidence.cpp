#include "zinniagauge/decide/evidence.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace zinniagauge {

namespace {

constexpr std::array<std::string_view, FaultCount> FaultNames = {
    "requests fail", "the first byte is late", "the rest is slow"};
constexpr std::array<std::string_view, 3> LoadNames = {"light", "busy", "full"};

/// The most that one request may speak for slowness, so that a single one that
/// hung doesn't decide.
constexpr double MostPerRequest = 1;

/// One key's counts since the last step.
struct Sample {
  EvidenceKey Key;
  double Requests = 0;
  double Failures = 0;
  double Good = 0;
  double FirstToken = 0;
  double Rest = 0;
  double Units = 0;
};

EvidenceGroup groupOf(const EvidenceKey &key) noexcept {
  return {key.Route, key.Load};
}

bool fellBack(const EvidenceCounts &now, const EvidenceCounts &last) noexcept {
  return now.Requests < last.Requests || now.Failures < last.Failures ||
         now.TotalNanos < last.TotalNanos;
}

Sample sampleOf(const EvidenceKey &key, const EvidenceCounts &now,
                EvidenceCounts last) {
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
  b.FirstToken = b.FirstToken * fade + s.FirstToken;
  b.Rest = b.Rest * fade + s.Rest;
  b.Units = b.Units * fade + s.Units;
}

double failureRate(const Baseline &b) noexcept {
  return b.Requests > 0 ? b.Failures / b.Requests : 0;
}

/// The log likelihood ratio of \p s having a noticeable excess of failures
/// over a version that fails in \p rate of its requests, or in \p least if
/// that is more.
double failureScore(const Sample &s, double rate, double least) noexcept {
  const double granted = std::clamp(rate, least, 0.8);
  const double noticed = granted + NoticedFailures;
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
  return b.Units > 0 ? b.Rest / b.Units : 0;
}

using Scores = std::array<double, FaultCount>;

/// How \p s speaks against the new version. The old version's recent and
/// present requests both count, and the worse of them: a burst that slows the
/// old version too is no fault of the new one. \p failing is the share of
/// the old version's present requests that fail. With \p lone set, there is
/// nothing present to compare with.
Scores scoresOf(const Sample &s, const Baseline &recent,
                const Baseline &present, double failing, bool lone) noexcept {
  const double rate = std::max(failureRate(recent), failing);
  const double first = std::max(perGood(recent, recent.FirstToken),
                                perGood(present, present.FirstToken));
  const double rest = std::max(perUnit(recent), perUnit(present));
  const double most = lone ? ToleratedLoneSlowdown : ToleratedSlowdown;
  return {failureScore(s, rate, lone ? GrantedLoneFailures : GrantedFailures),
          slowScore(s.Good, s.FirstToken, s.Good, first * most),
          slowScore(s.Good, s.Rest, s.Units, rest * most)};
}

double clipped(double score) noexcept { return std::max(0.0, score); }

/// Adds each endpoint's \p parts to the sum over all, and their rest to the
/// sums that leave one endpoint out.
void addTo(FaultScore &f, const std::map<EndpointId, double> &parts) {
  double sum = 0;
  for (const auto &[id, part] : parts) {
    f.Without.emplace(id, f.All);
    sum += part;
  }
  f.All = clipped(f.All + sum);
  for (auto &[id, score] : f.Without) {
    const auto it = parts.find(id);
    score = clipped(score + sum - (it == parts.end() ? 0 : it->second));
  }
}

/// What is certain against the version however bad one of its endpoints is;
/// of a version with one endpoint, all of it.
double certain(const FaultScore &f, std::size_t endpoints) noexcept {
  if (endpoints < 2)
    return f.All;
  if (f.Without.size() < 2)
    return 0;
  const auto least = std::min_element(
      f.Without.begin(), f.Without.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return least->second;
}

/// The scores of one step, by group, fault and endpoint.
using StepScores =
    std::map<EvidenceGroup,
             std::array<std::map<EndpointId, double>, FaultCount>>;

void takeOld(MoveJudge &mj, const Sample &s) {
  mj.Lone = 0;
  addTo(mj.Recent[groupOf(s.Key)], s, RecentRequests);
  addTo(mj.Present[groupOf(s.Key)], s, PresentRequests);
  addTo(mj.PresentPool, s, PresentPoolRequests);
}

void takeNew(MoveJudge &mj, const Sample &s, StepScores &scores) {
  mj.NewRequests += static_cast<std::uint64_t>(s.Requests);
  mj.Lone += static_cast<std::uint64_t>(s.Requests);
  const EvidenceGroup g = groupOf(s.Key);
  const Baseline &recent = mj.Recent[g];
  if (recent.Requests < LeastBaseline)
    return;
  const Scores parts =
      scoresOf(s, recent, mj.Present[g], failureRate(mj.PresentPool),
               mj.Lone > LoneRequests);
  for (std::size_t n = 0; n < FaultCount; ++n)
    scores[g][n][s.Key.Endpoint] += parts[n];
}

std::size_t endpointsOf(const Bundle &b, const MoveSpec &m) noexcept {
  return static_cast<std::size_t>(
      std::count_if(b.Endpoints.begin(), b.Endpoints.end(), [&](const auto &e) {
        return e.Pool == m.Pool && e.Version == m.To;
      }));
}

std::string describeFault(std::size_t fault, const EvidenceGroup *g,
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
void judgeGroup(MoveJudge &mj, GroupScores &sums,
                const std::array<std::map<EndpointId, double>, FaultCount> &add,
                const EvidenceGroup *g, const Bundle &b, const MoveSpec &m) {
  for (std::size_t n = 0; n < FaultCount; ++n) {
    if (add[n].empty())
      continue;
    addTo(sums[n], add[n]);
    if (mj.Why.empty() && certain(sums[n], endpointsOf(b, m)) >= BadScore)
      mj.Why = describeFault(n, g, b);
  }
}

void judgeStep(MoveJudge &mj, const StepScores &scores, const Bundle &b,
               const MoveSpec &m) {
  std::array<std::map<EndpointId, double>, FaultCount> pooled;
  for (const auto &[g, add] : scores) {
    judgeGroup(mj, mj.Scores[g], add, &g, b, m);
    for (std::size_t n = 0; n < FaultCount; ++n)
      for (const auto &[id, part] : add[n])
        pooled[n][id] += part;
  }
  judgeGroup(mj, mj.Pooled, pooled, nullptr, b, m);
}

/// What was added to the rows of one move's pool since the last step: first
/// the old version's, then the new one's, so that both are compared as of now.
std::vector<Sample> samplesOf(MoveJudge &mj, const MoveSpec &m,
                              const EvidenceList &list) {
  std::vector<Sample> samples;
  for (const Evidence &e : list.Rows) {
    const bool ofmove = e.Key.Version == m.From || e.Key.Version == m.To;
    if (e.Key.Pool != m.Pool || !ofmove)
      continue;
    EvidenceCounts &last = mj.Last[e.Key];
    const Sample s = sampleOf(e.Key, e.Counts, last);
    last = e.Counts;
    if (s.Requests > 0)
      samples.push_back(s);
  }
  std::stable_partition(samples.begin(), samples.end(), [&](const Sample &s) {
    return s.Key.Version == m.From;
  });
  return samples;
}

bool hasEnded(const MoveList &list, MoveId id) noexcept {
  return std::any_of(
      list.Moves.begin(), list.Moves.end(),
      [&](const MoveState &st) { return st.Id == id && isFinal(st.Stage); });
}

} // namespace

void step(Judge &judge, const JudgeView &view, std::vector<Verdict> &out) {
  for (const MoveSpec &m : view.InForce.Moves) {
    if (hasEnded(view.Moves, m.Id))
      continue;
    MoveJudge &mj = judge.Moves[m.Id];
    const bool before = !mj.Why.empty();
    StepScores scores;
    for (const Sample &s : samplesOf(mj, m, view.Evidence)) {
      if (s.Key.Version == m.From)
        takeOld(mj, s);
      else
        takeNew(mj, s, scores);
    }
    judgeStep(mj, scores, view.InForce, m);
    if (!before && !mj.Why.empty())
      out.push_back({m.Id, mj.Why});
  }
}

std::uint64_t newRequests(const Judge &judge, MoveId move) noexcept {
  const auto it = judge.Moves.find(move);
  return it == judge.Moves.end() ? 0 : it->second.NewRequests;
}

} // namespace zinniagauge
