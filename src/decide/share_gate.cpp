#include "zinniagauge/decide/share_gate.h"

#include "zinniagauge/board/invariant.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The share of a gate that lets nothing through.
constexpr std::uint32_t Stopped = 1023;

/// The most credit that is saved up, in thousandths of a dispatch, so that a
/// version that had no room for a while doesn't get a burst afterwards.
constexpr std::uint32_t MaxCredit = 4000;

/// What one dispatch costs or earns together, in thousandths.
constexpr std::uint32_t OneDispatch = 1000;

constexpr unsigned CreditBits = 30;
constexpr unsigned ShareBits = 10;
constexpr std::uint64_t CreditMask = (std::uint64_t{1} << CreditBits) - 1;
constexpr std::uint64_t ShareMask = (std::uint64_t{1} << ShareBits) - 1;
constexpr std::uint32_t EpochMask = (1U << 24U) - 1;

/// A gate's word, unpacked. The credit is share * dispatches to any version
/// minus 1000 * dispatches to the new one, less what open choices hold: as
/// long as it isn't negative, the bound holds.
struct GateWord {
  std::uint32_t Epoch = 0;
  std::uint32_t Share = 0; // In permille, or Stopped.
  std::uint32_t Credit = 0;
};

constexpr GateWord unpack(std::uint64_t w) noexcept {
  return {static_cast<std::uint32_t>(w >> (CreditBits + ShareBits)),
          static_cast<std::uint32_t>((w >> CreditBits) & ShareMask),
          static_cast<std::uint32_t>(w & CreditMask)};
}

constexpr std::uint64_t pack(GateWord g) noexcept {
  return (std::uint64_t{g.Epoch} << (CreditBits + ShareBits)) |
         (std::uint64_t{g.Share} << CreditBits) | g.Credit;
}

/// Replaces the word by what \p fn makes of it, unless \p fn returns false.
template <typename Fn> bool update(ShareGate &g, Fn fn) noexcept {
  std::uint64_t old = g.PackedState.load(std::memory_order_acquire);
  for (;;) {
    GateWord next = unpack(old);
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
  update(g, [&](GateWord &w) {
    if (w.Share == share)
      return false;
    w = {(w.Epoch + 1) & EpochMask, share, 0};
    return true;
  });
}

ShareGate *takeGate(ShareGates &gates, MoveId move) noexcept {
  if (ShareGate *g = findGate(gates, move))
    return g;
  ShareGate *g = findGate(gates, MoveId{});
  if (!g)
    return nullptr;
  update(*g, [](GateWord &w) {
    w = {(w.Epoch + 1) & EpochMask, 0, 0};
    return true;
  });
  g->Move.store(move.Value, std::memory_order_release);
  return g;
}

/// What the gate of a move in state \p st lets through.
std::uint32_t shareOf(const MoveState &st) noexcept {
  if (st.Stage == MoveStage::Completed)
    return FullSharePermille;
  if (st.VersionIsBad || st.Stage == MoveStage::RolledBack)
    return Stopped;
  return std::min(st.SharePermille, FullSharePermille);
}

const MoveSpec *moveOf(const Bundle &b, PoolId pool) noexcept {
  const auto it = std::find_if(b.Moves.rbegin(), b.Moves.rend(),
                               [&](const auto &m) { return m.Pool == pool; });
  return it == b.Moves.rend() ? nullptr : &*it;
}

void addCredit(GateWord &w, std::uint32_t n) noexcept {
  w.Credit = std::min(w.Credit + n, MaxCredit);
}

/// Takes what a dispatch to the new version costs, or returns false.
bool takeCredit(GateWord &w) noexcept {
  if (w.Share == Stopped)
    return false;
  const std::uint32_t cost = OneDispatch - w.Share;
  if (w.Share == 0 || w.Credit < cost)
    return false;
  w.Credit -= cost;
  return true;
}

/// Counts a dispatch to a version that isn't the new one.
void countOther(ShareGate &g, const ShareChoice &made) noexcept {
  update(g, [&](GateWord &w) {
    if (w.Share == Stopped)
      return false;
    const bool held =
        made.Choice == VersionChoice::PreferNew && made.Epoch == w.Epoch;
    addCredit(w, held ? OneDispatch : w.Share);
    return true;
  });
}

/// Whether a dispatch to the new version may start; takes what it costs unless
/// the choice holds that already.
bool startNew(ShareGate &g, const ShareChoice &made) noexcept {
  return update(g, [&](GateWord &w) {
    const bool held =
        made.Choice == VersionChoice::PreferNew && made.Epoch == w.Epoch;
    return held ? w.Share != Stopped : takeCredit(w);
  });
}

} // namespace

void applyShares(ShareGates &gates, const Bundle &b, const MoveList &moves) {
  for (ShareGate &g : gates.Gates) {
    const MoveId id{g.Move.load(std::memory_order_acquire)};
    const bool named =
        std::any_of(b.Moves.begin(), b.Moves.end(),
                    [&](const MoveSpec &m) { return m.Id == id; });
    if (!named)
      g.Move.store(0, std::memory_order_release);
  }
  for (const MoveState &st : moves.Moves) {
    const bool named =
        std::any_of(b.Moves.begin(), b.Moves.end(),
                    [&](const MoveSpec &m) { return m.Id == st.Id; });
    ShareGate *g = named ? takeGate(gates, st.Id) : nullptr;
    if (!g)
      continue;
    const bool stopped = unpack(g->PackedState.load()).Share == Stopped;
    if (!stopped || st.Stage == MoveStage::Completed)
      setShare(*g, shareOf(st));
  }
}

void stopShare(ShareGates &gates, MoveId move) noexcept {
  if (ShareGate *g = findGate(gates, move))
    setShare(*g, Stopped);
}

ShareChoice chooseVersion(ShareGates &gates, const Bundle &b,
                          PoolId pool) noexcept {
  const MoveSpec *spec = moveOf(b, pool);
  if (!spec)
    return {};
  ShareChoice made{VersionChoice::ExceptNew, spec->NewVersion, spec->Id, 0};
  ShareGate *g = findGate(gates, spec->Id);
  if (!g)
    return made;
  update(*g, [&](GateWord &w) {
    made.Epoch = w.Epoch;
    made.Choice = VersionChoice::ExceptNew;
    if (w.Share == FullSharePermille)
      made.Choice = VersionChoice::NewOnly;
    else if (takeCredit(w))
      made.Choice = VersionChoice::PreferNew;
    return made.Choice == VersionChoice::PreferNew;
  });
  return made;
}

bool startDispatch(ShareGates &gates, const ShareChoice &made,
                   VersionId granted) noexcept {
  if (made.Choice == VersionChoice::Any)
    return true;
  ShareGate *g = findGate(gates, made.Move);
  if (granted != made.NewVersion) {
    if (g)
      countOther(*g, made);
    return true;
  }
  const bool asked = made.Choice != VersionChoice::ExceptNew;
  return check(Invariant::ShareBound, asked) && g && startNew(*g, made);
}

void discardChoice(ShareGates &gates, const ShareChoice &made) noexcept {
  ShareGate *g = findGate(gates, made.Move);
  if (!g || made.Choice != VersionChoice::PreferNew)
    return;
  update(*g, [&](GateWord &w) {
    if (w.Epoch != made.Epoch || w.Share == Stopped)
      return false;
    addCredit(w, OneDispatch - w.Share);
    return true;
  });
}

} // namespace zinniagauge
