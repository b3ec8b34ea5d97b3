// Version moves of pools without a coordinating process. A move consists of an
// operator's order, one record that is written conditionally, and a share of
// the traffic that follows from the time since the record was started.
#ifndef ZINNIAGAUGE_DECIDE_POOL_MOVE_H
#define ZINNIAGAUGE_DECIDE_POOL_MOVE_H

#include "zinniagauge/board/pool_move.h"
#include "zinniagauge/board/store_era.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace zinniagauge {

/// An operator's order to move a pool's traffic to a version within a time
/// limit.
struct VersionMoveOrder {
  std::string PoolName;
  PoolId Pool;
  std::string Label;
  VersionId NewVersion;
  Duration TimeLimit = Duration::zero(); // From when the order was accepted.
  TableVersion Row; // Of the order's row; another one is another order.
};

/// The only record of a move, a row of the table service.
struct MoveRecord {
  MoveStage Stage = MoveStage::Waiting;
  std::string Label;
  TableVersion Order;           // The row of the order that began the move.
  TableVersion OrderRow;        // The same order as last read, after a restore.
  std::int64_t StartedMs = 0;   // By the table service's clock.
  std::string RollbackReason;   // Empty unless it was rolled back.
  std::uint64_t RowVersion = 0; // Zero: there is no row.

  bool operator==(const MoveRecord &) const = default;
};

/// Whether \p read is the order \p known, written again after a restore.
/// Operators may do so for a second time while \p maylack.
[[nodiscard]] bool isSameOrder(const VersionMoveOrder &known,
                               const VersionMoveOrder &read,
                               bool maylack) noexcept;

/// Whether \p rec is the record of \p order: it has the same label, and belongs
/// to no earlier order of the same era.
[[nodiscard]] bool isRecordOf(const MoveRecord &rec,
                              const VersionMoveOrder &order) noexcept;

/// The record of \p order by all that this process knows: \p known from before,
/// and \p read now. A restored table service may have lost a record, or have
/// one of an earlier stage. A decision holds, as does the earlier start. The
/// result differs from \p read if it must be written again.
[[nodiscard]] MoveRecord newerRecord(const VersionMoveOrder &order,
                                     const MoveRecord &known,
                                     const MoveRecord &read);

/// Identifies the move of \p order, in all processes and eras. \p rec is its
/// record, or that of another order if there is none yet.
[[nodiscard]] MoveId moveIdOf(const VersionMoveOrder &order,
                              const MoveRecord &rec);

/// What operators allow a bad version over a whole move.
struct ExposureLimits {
  double Share = 0.1; // Of the pool's calls.
  double Slack = 0;   // Calls beyond that, by all processes together.
};

/// The fraction of the allowed share that the new version gets until the move's
/// final phase, which gets the rest.
inline constexpr double TrialFraction = 0.6;

/// The fraction of the slack that is used up at the start of a move. The share
/// of a small pool alone would take most of the time limit to tell a bad
/// version.
inline constexpr double EarlyFraction = 0.8;

/// Calls to the old version that a process sends first: without a baseline the
/// new version's calls couldn't be evaluated.
inline constexpr std::uint64_t MinOldCalls = 8;

/// What the evaluation of a new version has shown so far.
struct TrialVerdict {
  std::string BadReason; // Empty unless the version is bad.
  bool Trusted = false;  // Enough of its calls were evaluated.
  /// This process hears the other ones, so it knows what they evaluated.
  bool Informed = true;
};

/// Whether a version may get more than the share of its trial, as far as the
/// process of \p verdict can tell.
[[nodiscard]] bool mayWidenShare(const TrialVerdict &verdict) noexcept;

/// The longest final phase, in which the new version gets all calls, so that
/// calls at the old version can end before it is stopped.
inline constexpr Duration MaxFinalPhase = std::chrono::milliseconds(1200);

/// The final phase takes no more than the time limit divided by this.
inline constexpr int FinalPhaseDivisor = 20;

/// How long before its time limit a move is completed, which leaves time to
/// retry a lost write.
inline constexpr Duration CompletionMargin = std::chrono::milliseconds(1500);

/// The new version's share, in permille, when \p elapsed of the time limit of
/// \p order has passed. Only a version that may get a wider share gets all
/// calls.
[[nodiscard]] std::uint32_t
newVersionShareAt(const VersionMoveOrder &order, MoveStage stage,
                  Duration elapsed, const ExposureLimits &lim,
                  const TrialVerdict &verdict) noexcept;

/// The record to write next, given the one that was read and the table
/// service's time in milliseconds; nothing if the record needs no change. A
/// version that isn't trusted when the final phase begins is rolled back.
[[nodiscard]] std::optional<MoveRecord>
nextMoveRecord(const VersionMoveOrder &order, const MoveRecord &read,
               std::int64_t servicems, const TrialVerdict &verdict);

/// Counts of the calls that one process sent, by which it keeps the new version
/// within its share at every moment.
struct VersionSplit {
  MoveId Move;
  std::uint64_t SentTotal = 0;
  std::uint64_t SentToNew = 0;
  /// The process ran before it first saw the move, so no earlier incarnation of
  /// it has taken its part of the early calls.
  bool TakesEarlyCalls = false;
  std::uint32_t MostProcesses = 0; // Alive at a time since the move began.
};

/// The age of a process from which on a move that it sees first is new.
inline constexpr Duration MinAgeAtMoveStart = std::chrono::seconds(5);

/// The calls beyond the share that one of \p processes may send to the new
/// version during its trial.
[[nodiscard]] std::uint64_t earlyCalls(const ExposureLimits &lim,
                                       std::uint32_t processes) noexcept;

/// Records that this process, which is \p age old, sees \p move, and that \p
/// processes are alive. Starts the counts of a new move.
void recordMoveSeen(VersionSplit &split, const PoolMove &move, Duration age,
                    std::uint32_t processes) noexcept;

/// The part of the early calls that the process of \p split may send. It
/// doesn't grow while fewer processes are heard.
[[nodiscard]] std::uint64_t ownEarlyCalls(const ExposureLimits &lim,
                                          const VersionSplit &split) noexcept;

/// Whether the next call goes to the new version. \p early is what
/// ownEarlyCalls returned.
[[nodiscard]] bool goesToNewVersion(const VersionSplit &split,
                                    const PoolMove &move,
                                    std::uint64_t early) noexcept;

/// Counts a call that was sent to the new version, or else to another one.
void countSent(VersionSplit &split, const PoolMove &move, bool tonew) noexcept;

/// Drops the counts of pools without a running move from \p stats. The next
/// move is evaluated only by what is counted during it, and nothing else reads
/// these counts.
void dropEndedMoveStats(std::map<VersionStatsKey, VersionStatsCounts> &stats,
                        const PoolMoveList &moves);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_POOL_MOVE_H
