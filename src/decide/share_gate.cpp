// Credit counters that bound the share of a version move without locks.
#include "zinniagauge/decide/share_gate.h"

#include "zinniagauge/board/invariant.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The share of a gate that blocks all dispatches to the new version.
constexpr std::uint32_t StoppedShare = 1023;

/// The maximum credit, in thousandths of a dispatch. It limits the burst to a
/// version that had no capacity for a while.
constexpr std::uint32_t MaxCredit = 4000;

/// One dispatch, in thousandths: the sum of what a dispatch to the new version
/// costs and what any dispatch earns.
constexpr std::uint32_t CreditPerDispatch = 1000;

constexpr unsigned CreditBits = 30;
constexpr unsigned ShareBits = 10;
constexpr std::uint64_t CreditMask = (std::uint64_t{1} << CreditBits) - 1;
constexpr std::uint64_t ShareMask = (std::uint64_t{1} << ShareBits) - 1;
constexpr std::uint32_t EpochMask = (1U << 24U) - 1;

/// The unpacked state of a gate. Credit is share * dispatches to any version -
/// 1000 * dispatches to the new one, less the amounts held by open choices. The
/// bound holds as long as it isn't negative.
struct GateState {
  std::uint32_t Epoch = 0;
  std::uint32_t Share = 0; // In permille, or StoppedShare.
  std::uint32_t Credit = 0;
};

constexpr GateState unpack(std::uint64_t w) noexcept {
  return {static_cast<std::uint32_t>(w >> (CreditBits + ShareBits)),
          static_cast<std::uint32_t>((w >> CreditBits) & ShareMask),
          static_cast<std::uint32_t>(w & CreditMask)};
}

constexpr std::uint64_t pack(GateState g) noexcept {
  return (std::uint64_t{g.Epoch} << (CreditBits + ShareBits)) |
         (std::uint64_t{g.Share} << CreditBits) | g.Credit;
}

/// Atomically replaces the state of \p g by the result of \p fn. Leaves it
/// unchanged if \p fn returns false.
template <typename Fn> bool update(ShareGate &g, Fn fn) noexcept {
  std::uint64_t old = g.PackedState.load(std::memory_order_acquire);
  for (;;) {
    GateState next = unpack(old);
    if (!fn(next))
      return false;
    if (g.PackedState.compare_exchange_weak(old, pack(next),
                                            std::memory_order_acq_rel))
      return true;
  }
}

ShareGate *findGate(ShareGates &gates, MoveId move) noexcept {
  const auto it =
      std::find_if(gates.Gates.begin(), gates.Gates.end(), [&](const auto &g) {
        return g.Move.load(std::memory_order_acquire) == move.Value;
      });
  return it == gates.Gates.end() ? nullptr : &*it;
}

void setShare(ShareGate &g, std::uint32_t share) noexcept {
  update(g, [&](GateState &w) {
    if (w.Share == share)
      return false;
    w = {(w.Epoch + 1) & EpochMask, share, 0};
    return true;
  });
}

ShareGate *findOrTakeGate(ShareGates &gates, MoveId move) noexcept {
  if (ShareGate *g = findGate(gates, move))
    return g;
  ShareGate *g = findGate(gates, MoveId{});
  if (!g)
    return nullptr;
  update(*g, [](GateState &w) {
    w = {(w.Epoch + 1) & EpochMask, 0, 0};
    return true;
  });
  g->Move.store(move.Value, std::memory_order_release);
  return g;
}

/// The share that the gate of a move in state \p st allows.
std::uint32_t allowedShare(const MoveState &st) noexcept {
  if (st.Stage == MoveStage::Completed)
    return FullSharePermille;
  if (st.VersionIsBad || st.Stage == MoveStage::RolledBack)
    return StoppedShare;
  return std::min(st.SharePermille, FullSharePermille);
}

const MoveSpec *latestMove(const Bundle &b, PoolId pool) noexcept {
  const auto it = std::find_if(b.Moves.rbegin(), b.Moves.rend(),
                               [&](const auto &m) { return m.Pool == pool; });
  return it == b.Moves.rend() ? nullptr : &*it;
}

void addCredit(GateState &w, std::uint32_t n) noexcept {
  w.Credit = std::min(w.Credit + n, MaxCredit);
}

/// Deducts the cost of a dispatch to the new version. Returns false if the
/// credit doesn't cover it.
bool takeCredit(GateState &w) noexcept {
  if (w.Share == StoppedShare)
    return false;
  const std::uint32_t cost = CreditPerDispatch - w.Share;
  if (w.Share == 0 || w.Credit < cost)
    return false;
  w.Credit -= cost;
  return true;
}

/// Counts a dispatch to a version other than the new one.
void countOtherDispatch(ShareGate &g, const ShareChoice &choice) noexcept {
  update(g, [&](GateState &w) {
    if (w.Share == StoppedShare)
      return false;
    const bool held =
        choice.Choice == VersionChoice::PreferNew && choice.Epoch == w.Epoch;
    addCredit(w, held ? CreditPerDispatch : w.Share);
    return true;
  });
}

/// Whether a dispatch to the new version may start. Deducts its cost unless the
/// choice holds it already.
bool startNewVersionDispatch(ShareGate &g, const ShareChoice &choice) noexcept {
  return update(g, [&](GateState &w) {
    const bool held =
        choice.Choice == VersionChoice::PreferNew && choice.Epoch == w.Epoch;
    return held ? w.Share != StoppedShare : takeCredit(w);
  });
}

} // namespace

void applyShares(ShareGates &gates, const Bundle &b, const MoveList &moves) {
  for (ShareGate &g : gates.Gates) {
    const MoveId id{g.Move.load(std::memory_order_acquire)};
    const bool inbundle =
        std::any_of(b.Moves.begin(), b.Moves.end(),
                    [&](const MoveSpec &m) { return m.Id == id; });
    if (!inbundle)
      g.Move.store(0, std::memory_order_release);
  }
  for (const MoveState &st : moves.Moves) {
    const bool inbundle =
        std::any_of(b.Moves.begin(), b.Moves.end(),
                    [&](const MoveSpec &m) { return m.Id == st.Id; });
    ShareGate *g = inbundle ? findOrTakeGate(gates, st.Id) : nullptr;
    if (!g)
      continue;
    const bool stopped = unpack(g->PackedState.load()).Share == StoppedShare;
    if (!stopped || st.Stage == MoveStage::Completed)
      setShare(*g, allowedShare(st));
  }
}

void stopShare(ShareGates &gates, MoveId move) noexcept {
  if (ShareGate *g = findGate(gates, move))
    setShare(*g, StoppedShare);
}

ShareChoice chooseVersion(ShareGates &gates, const Bundle &b,
                          PoolId pool) noexcept {
  const MoveSpec *spec = latestMove(b, pool);
  if (!spec)
    return {};
  ShareChoice choice{VersionChoice::ExceptNew, spec->NewVersion, spec->Id, 0};
  ShareGate *g = findGate(gates, spec->Id);
  if (!g)
    return choice;
  update(*g, [&](GateState &w) {
    choice.Epoch = w.Epoch;
    choice.Choice = VersionChoice::ExceptNew;
    if (w.Share == FullSharePermille)
      choice.Choice = VersionChoice::NewOnly;
    else if (takeCredit(w))
      choice.Choice = VersionChoice::PreferNew;
    return choice.Choice == VersionChoice::PreferNew;
  });
  return choice;
}

bool startDispatch(ShareGates &gates, const ShareChoice &choice,
                   VersionId granted) noexcept {
  if (choice.Choice == VersionChoice::Any)
    return true;
  ShareGate *g = findGate(gates, choice.Move);
  if (granted != choice.NewVersion) {
    if (g)
      countOtherDispatch(*g, choice);
    return true;
  }
  const bool permitted = choice.Choice != VersionChoice::ExceptNew;
  return check(Invariant::ShareBound, permitted) && g &&
         startNewVersionDispatch(*g, choice);
}

void discardChoice(ShareGates &gates, const ShareChoice &choice) noexcept {
  ShareGate *g = findGate(gates, choice.Move);
  if (!g || choice.Choice != VersionChoice::PreferNew)
    return;
  update(*g, [&](GateState &w) {
    if (w.Epoch != choice.Epoch || w.Share == StoppedShare)
      return false;
    addCredit(w, CreditPerDispatch - w.Share);
    return true;
  });
}

} // namespace zinniagauge
