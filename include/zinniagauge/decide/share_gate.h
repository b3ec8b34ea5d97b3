// Enforces the share of a version move. Each entry limits its own dispatches by
// a hard bound that holds at every moment and for any number of threads.
#ifndef ZINNIAGAUGE_DECIDE_SHARE_GATE_H
#define ZINNIAGAUGE_DECIDE_SHARE_GATE_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/ticket.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace zinniagauge {

/// The maximum number of version moves that an entry enforces at once. Traffic
/// of a move without a gate stays on the old version.
inline constexpr std::size_t MaxShareGates = 64;

/// The share, in permille, at which only the new version serves.
inline constexpr std::uint32_t FullSharePermille = 1000;

/// Limits the dispatches of one entry to the new version of one move. Only
/// applyShares writes Move. PackedState is changed by compare-and-swap only.
struct ShareGate {
  std::atomic<std::uint64_t> Move{0};        // A MoveId; zero: unused gate.
  std::atomic<std::uint64_t> PackedState{0}; // Epoch, share and credit.
};

/// The gates of one entry, one for each move.
struct ShareGates {
  std::array<ShareGate, MaxShareGates> Gates;
};

/// A choice of version. It holds a part of the share until startDispatch or
/// discardChoice is called for it, exactly once.
struct ShareChoice {
  VersionChoice Choice = VersionChoice::Any; // Copied to the ticket.
  VersionId NewVersion;                      // Copied to the ticket.
  MoveId Move;
  std::uint32_t Epoch = 0; // The epoch of the share at the time of the choice.
};

/// Updates \p gates from \p moves. Called by one controller whenever the bundle
/// or the moves section changes. Counting starts from zero when a share
/// changes, and continues when it stays the same. A gate that was stopped opens
/// again only if the move has completed.
void applyShares(ShareGates &gates, const Bundle &b, const MoveList &moves);

/// Stops all dispatches to the new version of \p move immediately, because of
/// evidence that this entry has gathered against it. Thread-safe.
void stopShare(ShareGates &gates, MoveId move) noexcept;

/// Chooses the versions that may serve a request of \p pool, before its ticket
/// is sent. At any time, the dispatches to the new version since the share was
/// set are at most the share of all dispatches of the pool since then.
[[nodiscard]] ShareChoice chooseVersion(ShareGates &gates, const Bundle &b,
                                        PoolId pool) noexcept;

/// Completes \p choice immediately before the dispatch to an endpoint of
/// version \p granted. If it returns false, the share has changed or the
/// version was stopped in the meantime: the caller must not dispatch, but
/// return the grant unused and choose again.
[[nodiscard]] bool startDispatch(ShareGates &gates, const ShareChoice &choice,
                                 VersionId granted) noexcept;

/// Completes \p choice without a dispatch.
void discardChoice(ShareGates &gates, const ShareChoice &choice) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SHARE_GATE_H
