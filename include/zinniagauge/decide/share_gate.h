// The share of a version move, enforced by each entry on its own dispatches as
// a hard bound that holds at every moment and on any number of threads.
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

/// The most version moves that an entry enforces at once. Traffic of a move
/// that finds no gate stays with the old version.
inline constexpr std::size_t MaxShareGates = 64;

/// The share, in permille, at which only the new version serves.
inline constexpr std::uint32_t FullSharePermille = 1000;

/// What one entry may still dispatch to the version that one move leads to.
/// Both fields are written by compare-and-swap only.
struct ShareGate {
  std::atomic<std::uint64_t> Move{0};        // A MoveId; zero: free.
  std::atomic<std::uint64_t> PackedState{0}; // Epoch, share and credit.
};

/// The gates of one entry, by move.
struct ShareGates {
  std::array<ShareGate, MaxShareGates> Gates;
};

/// A choice of version that holds a part of the share until it is closed by
/// startDispatch or dropChoice, once.
struct ShareChoice {
  VersionChoice Choice = VersionChoice::Any; // For the ticket.
  VersionId NewVersion;                      // For the ticket.
  MoveId Move;
  std::uint32_t Epoch = 0; // Of the share that the choice was made under.
};

/// Takes the shares of \p moves over into \p gates. Called by one controller
/// whenever the bundle or the moves section changes. A share that is set anew
/// counts from zero; one that stays as it was goes on counting. A gate that
/// was stopped opens again only if the move's row ended as completed.
void applyShares(ShareGates &gates, const Bundle &b, const MoveList &moves);

/// Stops all dispatches to the version that \p move leads to, at once: the
/// entry's own evidence speaks against it. Any thread may call it.
void stopShare(ShareGates &gates, MoveId move) noexcept;

/// Chooses which versions may serve one request of \p pool, before its ticket
/// is sent. At any time, dispatches to the new version since the share was set
/// are at most the share of all dispatches of the pool since then.
[[nodiscard]] ShareChoice chooseVersion(ShareGates &gates, const Bundle &b,
                                        PoolId pool) noexcept;

/// Closes \p made just before the dispatch to an endpoint of version
/// \p granted. False: don't dispatch, return the grant unused and choose anew,
/// because the share has changed or the version was stopped meanwhile.
[[nodiscard]] bool startDispatch(ShareGates &gates, const ShareChoice &made,
                                 VersionId granted) noexcept;

/// Closes \p made without a dispatch.
void discardChoice(ShareGates &gates, const ShareChoice &made) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SHARE_GATE_H
