// Evaluates the new version of a move while its requests complete. The new
// version is compared with the old one on the same route and under the same
// load.
#ifndef ZINNIAGAUGE_DECIDE_VERSION_EVALUATOR_H
#define ZINNIAGAUGE_DECIDE_VERSION_EVALUATOR_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/move.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace zinniagauge {

/// A way in which a version can be worse than another.
enum class VersionFault : std::uint8_t {
  HighFailureRate, ///< A larger share of requests fails.
  SlowFirstByte,   ///< The first byte takes longer.
  SlowGeneration, ///< The remainder takes longer, per output token if there are
                  ///< any.
  SomeSlow,       ///< A larger share of responses takes several times as long.
};

/// Number of faults, for tables indexed by VersionFault.
inline constexpr std::size_t VersionFaultCount = 4;

/// Window of the recent baseline, in requests of the old version at one
/// endpoint.
inline constexpr double RecentWindowRequests = 60;

/// Window of the current baseline, in requests of the old version. It shows
/// whether a burst currently slows down the old version as well.
inline constexpr double CurrentWindowRequests = 4;

/// Window in which a surge of failures or of slow responses over all groups is
/// looked for, in requests of the old version.
inline constexpr double SurgeWindowRequests = 30;

/// Standard deviations beyond the expected number of bad responses from which
/// on their number isn't chance.
inline constexpr double SurgeDeviations = 2;
inline constexpr double DisturbedDeviations = 2.5;

/// Requests of the old version that a group needs before it is evaluated.
inline constexpr double MinBaselineRequests = 10;

/// A slowdown up to this ratio is regarded as noise.
inline constexpr double ToleratedSlowdown = 1.25;

/// The excess of the failure rate over the baseline that must be detected.
inline constexpr double DetectedFailureExcess = 0.14;

/// A failure rate that is tolerated in every version.
inline constexpr double ToleratedFailureRate = 0.02;

/// The excess of the share of slow responses that must be detected.
inline constexpr double DetectedSlowExcess = 0.15;

/// A share of slow responses that is tolerated in every version: the machines
/// of a new version may be slower than the mean.
inline constexpr double ToleratedSlowShare = 0.02;

/// Consecutive requests of the new version without one of the old version,
/// after which no current baseline exists. The old version then gets no traffic
/// any more, and a burst would look like a fault of the new version.
inline constexpr std::uint64_t MaxUnpairedRequests = 20;

/// Replaces ToleratedSlowdown if there is no current baseline.
inline constexpr double ToleratedUnpairedSlowdown = 10;

/// Replaces ToleratedFailureRate if there is no current baseline.
inline constexpr double ToleratedUnpairedFailureRate = 0.2;

/// Replaces ToleratedSlowShare if there is no current baseline.
inline constexpr double ToleratedUnpairedSlowShare = 0.3;

/// The score at which a version is bad. Scores are log-likelihood ratios for
/// failures, and sums of the same scale for slowness. They stay near zero for a
/// version that is as good as the old one.
inline constexpr double BadScoreThreshold = 10;

/// Requests that are compared with each other: those of one route under one
/// load class.
struct StatsGroup {
  RouteId Route;
  LoadClass Load = LoadClass::Light;

  auto operator<=>(const StatsGroup &) const = default;
};

/// Weighted sums over the latest requests of the old version.
struct Baseline {
  double Requests = 0;
  double Failures = 0;
  double Slow = 0;
  double FirstTokenNanos = 0;
  double GenerationNanos = 0; // From the first byte to the end.
  // Output tokens, or requests if there are no tokens.
  double GenerationUnits = 0;
};

/// The old version's latest requests over all groups, and how many of them
/// would have been bad at the rates of their groups.
struct SurgeWindow {
  double Requests = 0;
  double Bad = 0;
  double Expected = 0;
};

/// A cumulative sum (CUSUM): it rises with each sign of a fault, falls
/// otherwise, and never goes below zero. A second sum for each endpoint leaves
/// that endpoint out, so that a single bad endpoint doesn't make its version
/// bad.
struct FaultScore {
  double Total = 0;
  std::map<EndpointId, double> WithoutEndpoint;
};

/// Scores of one group, indexed by VersionFault.
using GroupScores = std::array<FaultScore, VersionFaultCount>;

/// The faults that are shares of bad responses: failures, and slow responses.
inline constexpr std::size_t ShareFaultCount = 2;

/// How many times the excess that must be detected a bad version may have.
inline constexpr std::size_t ExcessCount = 3;

/// How likely it is that an endpoint is disturbed, whatever its version, and
/// the share of its responses that is then bad.
inline constexpr double DisturbedLikelihood = 0.1;
inline constexpr double DisturbedShare = 0.4;

/// Log-likelihood ratios of the requests of one endpoint of the new version
/// against a sound endpoint of a good version, by fault. Older requests weigh
/// less and less.
struct EndpointEvidence {
  /// For a bad version, by the times of its excess.
  std::array<std::array<double, ExcessCount>, ShareFaultCount> BadVersion{};
  /// For an endpoint that is disturbed, whatever its version.
  std::array<double, ShareFaultCount> Disturbed{};
};
using EvidenceMap = std::map<EndpointId, EndpointEvidence>;

/// The evaluation of one move.
struct MoveEvaluation {
  // Already processed.
  std::map<VersionStatsKey, VersionStatsCounts> LastCounts;
  std::map<StatsGroup, std::map<EndpointId, Baseline>> RecentBaselines;
  /// Endpoints of the old version that fail, or are slow, more often than its
  /// other ones. They are no reference for the new version.
  std::set<EndpointId> FailingEndpoints;
  std::set<EndpointId> SlowEndpoints;
  /// The endpoints are compared again at this many requests of the old version.
  std::uint64_t NextComparisonAt = 0;
  /// Without the slow endpoints.
  std::map<StatsGroup, Baseline> CurrentBaselines;
  SurgeWindow FailureSurge;
  SurgeWindow SlowSurge;
  std::map<StatsGroup, GroupScores> Scores;
  // Over all groups, for faults that occur in all of them.
  GroupScores PooledScores;
  EvidenceMap Evidence;                 // Of the new version.
  std::uint64_t NewVersionRequests = 0; // Of the new version, in total.
  std::uint64_t OldVersionRequests = 0;
  std::uint64_t NewVersionFailures = 0;
  std::uint64_t OldVersionFailures = 0;
  std::uint64_t NewVersionSlow = 0; // Of those that succeeded.
  std::uint64_t OldVersionSlow = 0;
  /// Of the new version, compared with a baseline.
  std::uint64_t ScoredRequests = 0;
  // Of the new version, since the last one of the old version.
  std::uint64_t UnpairedRequests = 0;
  std::string BadReason; // Set once the version was found bad.
};

/// The evaluator of one process, with one evaluation per move.
struct VersionEvaluator {
  std::map<MoveId, MoveEvaluation> Moves;
};

/// The input of the evaluator, taken from the board.
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

/// Processes the requests counted since the last call, and appends each version
/// that is now found bad to \p out, once. A count that fell belongs to a
/// restarted process and counts from zero.
void evaluateVersions(VersionEvaluator &eval, const VersionEvaluatorView &view,
                      std::vector<BadVersion> &out);

/// Requests of the new version that must have been compared before it is
/// trusted; fewer if the old version had few requests.
inline constexpr double MinTrustedRequests = 15;
inline constexpr double MinTrustedFraction = 0.03; // Of the old version's.

/// The evidence at which a version is trusted if MinTrustedRequests are needed;
/// less in proportion if fewer are. Keeping a bad version harms more than
/// rolling back a good one.
inline constexpr double TrustedEvidence = -1;

/// The fraction of BadScoreThreshold at which a version isn't trusted.
inline constexpr double SuspicionFraction = 0.5;

/// The score without any single endpoint from which on a fault shows at a
/// second one, too.
inline constexpr double ConfirmingScore = 2;

/// What the evaluation of a move rests on, for the decision to keep the new
/// version, and for logs.
struct EvaluationState {
  std::uint64_t OldRequests = 0;
  std::uint64_t ScoredRequests = 0; // Of the new version.
  /// The highest score of all faults, without any single endpoint.
  double WorstScore = 0;
  /// The highest score over all endpoints of those faults that show at more
  /// than one.
  double WorstTotal = 0;
  /// What the versions are compared by, over all routes.
  std::uint64_t OldFailures = 0;
  std::uint64_t NewFailures = 0;
  std::uint64_t OldSlow = 0;
  std::uint64_t NewSlow = 0;
  std::size_t FailingEndpoints = 0; // Of the old version.
  std::size_t SlowEndpoints = 0;
  /// The log-likelihood ratio of a bad version to a good one of which some
  /// endpoints may be disturbed; the highest of both faults.
  double Evidence = 0;
};

/// Returns what the evaluation of \p move rests on. \p endpoints is the number
/// of endpoints of the new version.
[[nodiscard]] EvaluationState evaluationState(const VersionEvaluator &eval,
                                              MoveId move,
                                              std::size_t endpoints);

/// Whether so much is known of a version that it may be kept.
[[nodiscard]] bool isTrusted(const EvaluationState &state) noexcept;

/// Returns how many requests of the new version of \p move were processed.
[[nodiscard]] std::uint64_t newVersionRequests(const VersionEvaluator &eval,
                                               MoveId move) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_VERSION_EVALUATOR_H
