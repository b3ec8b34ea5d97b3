#include "zinniagauge/decide/pool_move.h"

#include "zinniagauge/decide/share.h"

#include <algorithm>

namespace zinniagauge {

std::uint32_t shareAt(const VersionOrder &order, MoveStage stage,
                      Duration elapsed) noexcept {
  if (stage == MoveStage::Completed)
    return FullShare;
  if (stage == MoveStage::TakenBack || stage == MoveStage::Waiting)
    return 0;
  const Duration last = std::min(MostFinal, order.Limit / FinalPart);
  return elapsed >= order.Limit - EndBefore - last ? FullShare : TrialPermille;
}

std::optional<MoveRecord> nextRecord(const VersionOrder &order,
                                     const MoveRecord &read,
                                     std::int64_t servicems,
                                     const std::string &bad) {
  MoveRecord next = read;
  if (read.Version == 0 || read.Order != order.Number) {
    next.Stage = MoveStage::Moving;
    next.Label = order.Label;
    next.Order = order.Number;
    next.BeganMs = servicems;
    next.Why.clear();
    return next;
  }
  if (isFinal(read.Stage))
    return std::nullopt;
  if (!bad.empty()) {
    next.Stage = MoveStage::TakenBack;
    next.Why = bad;
    return next;
  }
  const Duration elapsed = std::chrono::milliseconds(servicems - read.BeganMs);
  if (elapsed < order.Limit - EndBefore)
    return std::nullopt;
  next.Stage = MoveStage::Completed;
  return next;
}

bool wantsNew(const MoveGate &gate, const PoolMove &move) noexcept {
  if (move.SharePermille >= FullShare)
    return true;
  if (gate.Move != move.Id || move.SharePermille == 0)
    return false;
  return (gate.New + 1) * FullShare <= (gate.All + 1) * move.SharePermille;
}

void noteSent(MoveGate &gate, const PoolMove &move, bool tonew) noexcept {
  if (gate.Move != move.Id)
    gate = {move.Id, 0, 0};
  ++gate.All;
  gate.New += tonew ? 1 : 0;
}

void forgetEnded(std::map<EvidenceKey, EvidenceCounts> &seen,
                 const PoolMoveList &moves) {
  std::erase_if(seen, [&](const auto &row) {
    const PoolMove *m = moveOf(moves, row.first.Pool);
    return !m || isFinal(m->Stage);
  });
}

} // namespace zinniagauge
