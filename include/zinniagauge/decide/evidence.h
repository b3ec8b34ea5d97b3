// Judging a new version by what was seen of it: against the old version, on the
// same route and under the same load, as each request's result comes in.
#ifndef ZINNIAGAUGE_DECIDE_EVIDENCE_H
#define ZINNIAGAUGE_DECIDE_EVIDENCE_H

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
enum class Fault : std::uint8_t {
  Fails,          ///< More of its requests fail.
  SlowToStart,    ///< The first byte takes longer.
  SlowToGenerate, ///< The rest takes longer, by the token if there are any.
};

/// The number of faults, for tables indexed by one.
inline constexpr std::size_t FaultCount = 3;

/// Requests of the old version that count as recent.
inline constexpr double RecentRequests = 60;

/// Requests of the old version that count as present: those that show whether
/// a burst slows it as well.
inline constexpr double PresentRequests = 4;

/// Requests of the old version, over all groups, that show how many fail now.
inline constexpr double PresentPoolRequests = 30;

/// Requests of the old version without which a group isn't judged.
inline constexpr double LeastBaseline = 10;

/// A slowdown that is still taken for noise, as a ratio.
inline constexpr double ToleratedSlowdown = 1.25;

/// The excess of failures that must be noticed, as a share of requests.
inline constexpr double NoticedFailures = 0.14;

/// The least share of failures that any version is granted.
inline constexpr double GrantedFailures = 0.02;

/// Requests of the new version in a row, without one of the old, after which
/// there is nothing present to compare with: the old version gets no traffic
/// any more, and a burst would look like a fault.
inline constexpr std::uint64_t LoneRequests = 20;

/// As ToleratedSlowdown, with nothing present to compare with.
inline constexpr double ToleratedLoneSlowdown = 10;

/// As GrantedFailures, with nothing present to compare with.
inline constexpr double GrantedLoneFailures = 0.2;

/// The score at which a version is bad. Scores are log likelihood ratios for
/// failures, and like sums for slowness; they stay near zero for a version as
/// good as the old one.
inline constexpr double BadScore = 10;

/// What is compared with its like: requests of one route under one load class.
struct EvidenceGroup {
  RouteId Route;
  LoadClass Load = LoadClass::Light;

  auto operator<=>(const EvidenceGroup &) const = default;
};

/// Weighted sums over the old version's latest requests.
struct Baseline {
  double Requests = 0;
  double Failures = 0;
  double FirstToken = 0; // Nanoseconds.
  double Rest = 0;       // Nanoseconds from the first byte to the end.
  double Units = 0;      // Output tokens, or requests where there are none.
};

/// A cumulative sum that rises with each sign of a fault and falls back to zero
/// otherwise; beside it the same with each one endpoint left out, so that one
/// bad endpoint doesn't damn its version.
struct FaultScore {
  double All = 0;
  std::map<EndpointId, double> Without;
};

/// Scores of one group, by fault.
using GroupScores = std::array<FaultScore, FaultCount>;

/// What a judge keeps of one move.
struct MoveJudge {
  std::map<EvidenceKey, EvidenceCounts> Last; // Counts already taken in.
  std::map<EvidenceGroup, Baseline> Recent;
  std::map<EvidenceGroup, Baseline> Present;
  Baseline PresentPool; // Over all groups.
  std::map<EvidenceGroup, GroupScores> Scores;
  GroupScores Pooled;            // Over all groups, for faults in all of them.
  std::uint64_t NewRequests = 0; // That the new version had so far.
  std::uint64_t Lone = 0; // Of them, since the old version had its last one.
  std::string Why;        // Set once the version was found bad.
};

/// The judge of one process, by move.
struct Judge {
  std::map<MoveId, MoveJudge> Moves;
};

/// What the judge reads of the board.
struct JudgeView {
  const Bundle &InForce;
  const MoveList &Moves;
  const EvidenceList &Evidence;
};

/// A version that was found bad.
struct Verdict {
  MoveId Move;
  std::string Why; // One sentence without a full stop.
};

/// Takes in what was added to the evidence since the last call and appends
/// each version that is found bad now to \p out, once. Counts that fell are
/// those of a restarted process and are taken as new.
void step(Judge &judge, const JudgeView &view, std::vector<Verdict> &out);

/// The requests that the new version of \p move had, as far as \p judge saw.
[[nodiscard]] std::uint64_t newRequests(const Judge &judge,
                                        MoveId move) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_EVIDENCE_H
