#include "zinniagauge/decide/pool_move.h"

#include "zinniagauge/decide/share_gate.h"

#include <algorithm>

namespace zinniagauge {

std::uint32_t newVersionShareAt(const VersionMoveOrder &order, MoveStage stage,
                                Duration elapsed) noexcept {
  if (stage == MoveStage::Completed)
    return FullSharePermille;
  if (stage == MoveStage::RolledBack || stage == MoveStage::Waiting)
    return 0;
  const Duration last =
      std::min(MaxFinalPhase, order.TimeLimit / FinalPhaseDivisor);
  return elapsed >= order.TimeLimit - CompletionMargin - last
             ? FullSharePermille
             : TrialPermille;
}

std::optional<MoveRecord> nextMoveRecord(const VersionMoveOrder &order,
                                         const MoveRecord &read,
                                         std::int64_t servicems,
                                         const std::string &bad) {
  MoveRecord next = read;
  if (read.RowVersion == 0 || read.OrderNumber != order.Number) {
    next.Stage = MoveStage::Moving;
    next.Label = order.Label;
    next.OrderNumber = order.Number;
    next.StartedMs = servicems;
    next.RollbackReason.clear();
    return next;
  }
  if (isFinal(read.Stage))
    return std::nullopt;
  if (!bad.empty()) {
    next.Stage = MoveStage::RolledBack;
    next.RollbackReason = bad;
    return next;
  }
  const Duration elapsed =
      std::chrono::milliseconds(servicems - read.StartedMs);
  if (elapsed < order.TimeLimit - CompletionMargin)
    return std::nullopt;
  next.Stage = MoveStage::Completed;
  return next;
}

bool goesToNewVersion(const VersionSplit &split,
                      const PoolMove &move) noexcept {
  if (move.SharePermille >= FullSharePermille)
    return true;
  if (split.Move != move.Id || move.SharePermille == 0)
    return false;
  return (split.SentToNew + 1) * FullSharePermille <=
         (split.SentTotal + 1) * move.SharePermille;
}

void countSent(VersionSplit &split, const PoolMove &move, bool tonew) noexcept {
  if (split.Move != move.Id)
    split = {move.Id, 0, 0};
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
