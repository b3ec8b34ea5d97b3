#include "zinniagauge/decide/pool_move.h"

#include "zinniagauge/decide/share_gate.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// When the final phase of a move begins, after the order was accepted.
Duration finalPhaseStart(const VersionMoveOrder &order) noexcept {
  const Duration last =
      std::min(MaxFinalPhase, order.TimeLimit / FinalPhaseDivisor);
  return order.TimeLimit - CompletionMargin - last;
}

/// Whether \p a holds if another record of the same order is \p b. The
/// platform stops the old version's back ends once a move is completed.
bool holdsAgainst(const MoveRecord &a, const MoveRecord &b) noexcept {
  if (isFinal(a.Stage) != isFinal(b.Stage))
    return isFinal(a.Stage);
  if (a.Stage != b.Stage)
    return a.Stage == MoveStage::Completed;
  return a.StartedMs < b.StartedMs;
}

} // namespace

bool isSameOrder(const VersionMoveOrder &known, const VersionMoveOrder &read,
                 bool maylack) noexcept {
  return known.Label == read.Label && known.TimeLimit == read.TimeLimit &&
         (read.Row.Era > known.Row.Era || maylack);
}

bool isRecordOf(const MoveRecord &rec, const VersionMoveOrder &order) noexcept {
  return rec.Stage != MoveStage::Waiting && rec.Label == order.Label &&
         (rec.OrderRow.Era != order.Row.Era ||
          rec.OrderRow.Number >= order.Row.Number);
}

MoveRecord newerRecord(const VersionMoveOrder &order, const MoveRecord &known,
                       const MoveRecord &read) {
  const bool knows = isRecordOf(known, order);
  const bool reads = isRecordOf(read, order);
  if (!knows && !reads)
    return read;
  const bool takeread = reads && (!knows || !holdsAgainst(known, read));
  MoveRecord out = takeread ? read : known;
  out.OrderRow = reads ? std::max(order.Row, read.OrderRow) : order.Row;
  out.RowVersion = read.RowVersion;
  return out;
}

MoveId moveIdOf(const VersionMoveOrder &order, const MoveRecord &rec) {
  const TableVersion id = isRecordOf(rec, order) ? rec.Order : order.Row;
  std::string text = order.PoolName + "@" + std::to_string(id.Number);
  // Processes of a build that knows no eras have the same id.
  if (id.Era > FirstStoreEra)
    text.append("/").append(std::to_string(id.Era));
  return MoveId::of(text);
}

bool mayWidenShare(const TrialVerdict &verdict) noexcept {
  return verdict.Trusted && verdict.Informed && verdict.BadReason.empty();
}

std::uint32_t newVersionShareAt(const VersionMoveOrder &order, MoveStage stage,
                                Duration elapsed, const ExposureLimits &lim,
                                const TrialVerdict &verdict) noexcept {
  if (stage == MoveStage::Completed)
    return FullSharePermille;
  if (stage == MoveStage::RolledBack || stage == MoveStage::Waiting)
    return 0;
  return mayWidenShare(verdict) && elapsed >= finalPhaseStart(order)
             ? FullSharePermille
             : static_cast<std::uint32_t>(lim.Share * TrialFraction *
                                          FullSharePermille);
}

std::optional<MoveRecord> nextMoveRecord(const VersionMoveOrder &order,
                                         const MoveRecord &read,
                                         std::int64_t servicems,
                                         const TrialVerdict &verdict) {
  MoveRecord next = read;
  if (!isRecordOf(read, order)) {
    next.Stage = MoveStage::Moving;
    next.Label = order.Label;
    next.Order = next.OrderRow = order.Row;
    next.StartedMs = servicems;
    next.RollbackReason.clear();
    return next;
  }
  if (isFinal(read.Stage))
    return std::nullopt;
  if (!verdict.BadReason.empty()) {
    next.Stage = MoveStage::RolledBack;
    next.RollbackReason = verdict.BadReason;
    return next;
  }
  const Duration elapsed =
      std::chrono::milliseconds(servicems - read.StartedMs);
  if (!verdict.Informed)
    return std::nullopt;
  if (!verdict.Trusted) {
    if (elapsed < finalPhaseStart(order))
      return std::nullopt;
    next.Stage = MoveStage::RolledBack;
    next.RollbackReason = "not enough shows that the version is good";
    return next;
  }
  if (elapsed < order.TimeLimit - CompletionMargin)
    return std::nullopt;
  next.Stage = MoveStage::Completed;
  return next;
}

std::uint64_t earlyCalls(const ExposureLimits &lim,
                         std::uint32_t processes) noexcept {
  return static_cast<std::uint64_t>(lim.Slack * EarlyFraction /
                                    std::max(processes, 1U));
}

void recordMoveSeen(VersionSplit &split, const PoolMove &move, Duration age,
                    std::uint32_t processes) noexcept {
  if (split.Move != move.Id) {
    split = {};
    split.Move = move.Id;
    split.TakesEarlyCalls = age >= MinAgeAtMoveStart;
  }
  split.MostProcesses = std::max(split.MostProcesses, processes);
}

std::uint64_t ownEarlyCalls(const ExposureLimits &lim,
                            const VersionSplit &split) noexcept {
  return split.TakesEarlyCalls ? earlyCalls(lim, split.MostProcesses) : 0;
}

bool goesToNewVersion(const VersionSplit &split, const PoolMove &move,
                      std::uint64_t early) noexcept {
  if (move.SharePermille >= FullSharePermille)
    return true;
  if (move.SharePermille == 0)
    return false;
  const VersionSplit sent = split.Move == move.Id ? split : VersionSplit{};
  const bool hasbaseline = sent.SentTotal - sent.SentToNew >= MinOldCalls;
  return (sent.SentToNew + 1) * FullSharePermille <=
         (sent.SentTotal + 1) * move.SharePermille +
             (hasbaseline ? early : 0) * FullSharePermille;
}

void countSent(VersionSplit &split, const PoolMove &move, bool tonew) noexcept {
  if (split.Move != move.Id)
    split = {.Move = move.Id};
  ++split.SentTotal;
  split.SentToNew += tonew ? 1 : 0;
}

void dropEndedMoveStats(std::map<VersionStatsKey, VersionStatsCounts> &stats,
                        const PoolMoveList &moves) {
  std::erase_if(stats, [&](const auto &row) {
    const PoolMove *m = findMove(moves, row.first.Pool);
    return !m || isFinal(m->Stage);
  });
}

} // namespace zinniagauge
