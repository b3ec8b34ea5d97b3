// Brittle back ends fail if they have to reject more than a stated number of
// calls a second. Each front decides by itself which calls it sends them, so
// that the rejections of all fronts together stay within that number.
#ifndef ZINNIAGAUGE_DECIDE_REJECTION_LIMIT_H
#define ZINNIAGAUGE_DECIDE_REJECTION_LIMIT_H

#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>

namespace zinniagauge {

/// What the latest responses of a back end, or of the back ends of a pool, say
/// of their limit.
struct RejectionLimit {
  std::optional<double> PerSecond; // Of all fronts together; none: not brittle.
  Time Since;                      // When PerSecond was heard first.
  Time HeardAt;                    // The latest response, with a limit or not.
};

/// The fraction of a limit that the fronts use together. The rest covers turns
/// that coincide, and fronts that don't know yet of each other or of the limit.
inline constexpr double UsedRejectionFraction = 0.5;

/// A lower limit counts as this one for turns, in rejections a second. Without
/// any turn, a back end with fewer slots than there are fronts would get no
/// call at all.
inline constexpr double MinRejectionsPerSecond = 0.25;

/// More rejections a second than this many per slot aren't used: callers gain
/// nothing from them.
inline constexpr double MaxRejectionsPerSlot = 2;

/// If not all fronts may cause a rejection in the same second they take turns
/// of this length, each at times of its own.
inline constexpr Duration RejectionTurn = std::chrono::seconds(2);

/// A back end without room rejects a call at once. A call that wasn't rejected
/// within this time counts as accepted.
inline constexpr Duration RejectionTime = std::chrono::milliseconds(100);

/// A slot in which a call of a front has ended may be used again by that front
/// within this time: others learn of the end later.
inline constexpr Duration SlotReuseTime = std::chrono::milliseconds(10);

/// Bounds of the time without calls that follows a rejection.
inline constexpr Duration MinRejectionPause = std::chrono::milliseconds(100);
inline constexpr Duration MaxRejectionPause = std::chrono::seconds(5);

/// What one front keeps of one brittle back end.
struct RejectionGuard {
  Time StartedAt;                // Time(): not guarded.
  double Phase = 0;              // Of its turns, as a fraction of their period.
  Time PausedUntil;              // After rejections.
  std::uint32_t Repeats = 0;     // Rejections since a call was accepted.
  std::uint32_t Unconfirmed = 0; // Calls neither accepted nor rejected yet.
  Time LastSentAt;               // Of the latest of Unconfirmed.
  std::uint32_t Freed = 0;       // Slots in which own calls ended.
  Time FreedAt;                  // When the latest of these did.
  bool Restarting = false;       // Lost, and no call accepted since.
};

/// What is known of the room at a back end.
struct BackendRoom {
  std::uint32_t Fronts = 1;     // That are alive.
  double Slots = 1;             // Of the back end.
  double Running = 0;           // Calls of all fronts there.
  std::uint32_t OwnRunning = 0; // Of these, the calls of this front.
  bool HasWaiting = false;      // Calls wait inside it.
};

/// Records what a response at \p now says of its back end's limit; nothing: it
/// names none. Returns whether the limit changed.
bool setRejectionLimit(RejectionLimit &limit, std::optional<double> persecond,
                       Time now) noexcept;

/// The limit of a back end whose own responses say \p own, in a pool that says
/// \p pool. All back ends of a pool become brittle together, so one that hasn't
/// responded since then has the limit of the others.
[[nodiscard]] std::optional<double>
rejectionLimit(const RejectionLimit &own, const RejectionLimit &pool) noexcept;

/// The part of the limit \p persecond that is of use for a back end with \p
/// slots slots.
[[nodiscard]] double usefulRejections(double persecond, double slots) noexcept;

/// Starts to guard a back end. \p random is the state of a generator: fronts
/// that learn of a limit at the same time have different turns.
void startGuard(RejectionGuard &guard, Time now,
                std::uint64_t &random) noexcept;

/// Whether this front may send a call at \p now to a back end that fails above
/// \p persecond rejections a second.
[[nodiscard]] bool mayRiskRejection(const RejectionGuard &guard,
                                    double persecond, const BackendRoom &room,
                                    Time now) noexcept;

/// Records that a call is being sent at \p now.
void recordRiskedCall(RejectionGuard &guard, Time now) noexcept;

/// Records that a call was accepted.
void recordAcceptedCall(RejectionGuard &guard) noexcept;

/// Records that an accepted call of this front ended at \p now.
void recordFreedSlot(RejectionGuard &guard, Time now) noexcept;

/// Records that a call was rejected at \p now for want of room. Returns the
/// time for which the back end gets no calls of this front.
Duration recordRejection(RejectionGuard &guard, double persecond,
                         std::uint32_t fronts, Time now) noexcept;

/// Records that a connection to the back end was lost: it may have failed, and
/// gets one call at a time once it is back.
void recordGuardLoss(RejectionGuard &guard) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_REJECTION_LIMIT_H
