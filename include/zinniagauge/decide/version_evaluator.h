// Judging a new version by what was seen of it: against the old version, on the
// same route and under the same load, as each request's result comes in.
#ifndef ZINNIAGAUGE_DECIDE_VERSION_EVALUATOR_H
#define ZINNIAGAUGE_DECIDE_VERSION_EVALUATOR_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/move.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinniagauge {

/// In what respect a version may be worse than another.
enum class VersionFault : std::uint8_t {
  HighFailureRate, ///< More of its requests fail.
  SlowFirstByte,   ///< The first byte takes longer.
  SlowGeneration,  ///< The rest takes longer, by the token if there are any.
};

/// The number of faults, for tables indexed by one.
inline constexpr std::size_t VersionFaultCount = 3;

/// Requests of the old version that count as recent.
inline constexpr double RecentWindowRequests = 60;

/// Requests of the old version that count as present: those that show whether
/// a burst slows it as well.
inline constexpr double CurrentWindowRequests = 4;

/// Requests of the old version, over all groups, that show how many fail now.
inline constexpr double CurrentPoolWindowRequests = 30;

/// Requests of the old version without which a group isn't judged.
inline constexpr double MinBaselineRequests = 10;

/// A slowdown that is still taken for noise, as a ratio.
inline constexpr double ToleratedSlowdown = 1.25;

/// The excess of failures that must be noticed, as a share of requests.
inline constexpr double DetectedFailureExcess = 0.14;

/// The least share of failures that any version is granted.
inline constexpr double ToleratedFailureRate = 0.02;

/// Requests of the new version in a row, without one of the old, after which
/// there is nothing present to compare with: the old version gets no traffic
/// any more, and a burst would look like a fault.
inline constexpr std::uint64_t MaxUnpairedRequests = 20;

/// As ToleratedSlowdown, with nothing present to compare with.
inline constexpr double ToleratedUnpairedSlowdown = 10;

/// As GrantedFailures, with nothing present to compare with.
inline constexpr double ToleratedUnpairedFailureRate = 0.2;

/// The score at which a version is bad. Scores are log likelihood ratios for
/// failures, and like sums for slowness; they stay near zero for a version as
/// good as the old one.
inline constexpr double BadScoreThreshold = 10;

/// What is compared with its like: requests of one route under one load class.
struct StatsGroup {
  RouteId Route;
  LoadClass Load = LoadClass::Light;

  auto operator<=>(const StatsGroup &) const = default;
};

/// Weighted sums over the old version's latest requests.
struct Baseline {
  double Requests = 0;
  double Failures = 0;
  double FirstTokenNanos = 0; // Nanoseconds.
  double GenerationNanos = 0; // Nanoseconds from the first byte to the end.
  double GenerationUnits =
      0; // Output tokens, or requests where there are none.
};

/// A cumulative sum that rises with each sign of a fault and falls back to zero
/// otherwise; beside it the same with each one endpoint left out, so that one
/// bad endpoint doesn't damn its version.
struct FaultScore {
  double Total = 0;
  std::map<EndpointId, double> WithoutEndpoint;
};

/// Scores of one group, by fault.
using GroupScores = std::array<FaultScore, VersionFaultCount>;

/// What a judge keeps of one move.
struct MoveEvaluation {
  std::map<VersionStatsKey, VersionStatsCounts>
      LastCounts; // Counts already taken in.
  std::map<StatsGroup, Baseline> RecentBaselines;
  std::map<StatsGroup, Baseline> CurrentBaselines;
  Baseline CurrentPoolBaseline; // Over all groups.
  std::map<StatsGroup, GroupScores> Scores;
  GroupScores PooledScores; // Over all groups, for faults in all of them.
  std::uint64_t NewVersionRequests = 0; // That the new version had so far.
  std::uint64_t UnpairedRequests =
      0;                 // Of them, since the old version had its last one.
  std::string BadReason; // Set once the version was found bad.
};

/// The judge of one process, by move.
struct VersionEvaluator {
  std::map<MoveId, MoveEvaluation> Moves;
};

/// What the judge reads of the board.
struct VersionEvaluatorView {
  const Bundle &ActiveBundle;
  const MoveList &Moves;
  const VersionStatsList &Stats;
};

/// A version that was found bad.
struct BadVersion {
  MoveId Move;
  std::string Reason; // One sentence without a full stop.
};

/// Takes in what was added to the evidence since the last call and appends
/// each version that is found bad now to \p out, once. Counts that fell are
/// those of a restarted process and are taken as new.
void evaluateVersions(VersionEvaluator &judge, const VersionEvaluatorView &view,
                      std::vector<BadVersion> &out);

/// The requests that the new version of \p move had, as far as \p judge saw.
[[nodiscard]] std::uint64_t newVersionRequests(const VersionEvaluator &judge,
                                               MoveId move) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_VERSION_EVALUATOR_H
