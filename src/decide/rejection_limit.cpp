#include "zinniagauge/decide/rejection_limit.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

/// Slots that a front leaves free if it sends beyond its share while others may
/// have used them already; MoreSpareSlots if a back end bears few rejections.
constexpr double SpareSlots = 1;
constexpr double MoreSpareSlots = 2;
constexpr double FewRejections = 3;

double secondsOf(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

Duration durationOf(double secs) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(secs));
}

/// The rejections that one of \p fronts may cause in any second.
double ownRejections(double persecond, std::uint32_t fronts) noexcept {
  return UsedRejectionFraction * persecond / std::max(fronts, 1U);
}

/// The time from one turn of a front to its next; zero if all may send all the
/// time. Turns that overlap a span of one second begin in a span that is longer
/// by one turn, and each may end in a rejection.
Duration turnPeriod(double persecond, std::uint32_t fronts) noexcept {
  const double own = ownRejections(persecond, fronts);
  if (own >= 1)
    return Duration::zero();
  const double least =
      ownRejections(MinRejectionsPerSecond, std::max(fronts, 1U));
  return durationOf((1 + secondsOf(RejectionTurn)) / std::max(own, least));
}

/// The time since the latest turn began.
Duration sinceTurn(const RejectionGuard &guard, Duration period,
                   Time now) noexcept {
  return (now - guard.StartedAt + durationOf(secondsOf(period) * guard.Phase)) %
         period;
}

bool hasTurn(const RejectionGuard &guard, double persecond,
             std::uint32_t fronts, Time now) noexcept {
  const Duration period = turnPeriod(persecond, fronts);
  return period <= RejectionTurn ||
         sinceTurn(guard, period, now) < RejectionTurn;
}

std::uint32_t unconfirmedAt(const RejectionGuard &guard, Time now) noexcept {
  return now - guard.LastSentAt < RejectionTime ? guard.Unconfirmed : 0;
}

std::uint32_t freedAt(const RejectionGuard &guard, Time now) noexcept {
  return now - guard.FreedAt <= SlotReuseTime ? guard.Freed : 0;
}

void confirm(RejectionGuard &guard) noexcept {
  guard.Unconfirmed -= std::min(guard.Unconfirmed, 1U);
}

} // namespace

bool setRejectionLimit(RejectionLimit &limit, std::optional<double> persecond,
                       Time now) noexcept {
  limit.HeardAt = now;
  if (limit.PerSecond == persecond)
    return false;
  if (!limit.PerSecond)
    limit.Since = now;
  limit.PerSecond = persecond;
  return true;
}

std::optional<double> rejectionLimit(const RejectionLimit &own,
                                     const RejectionLimit &pool) noexcept {
  if (own.PerSecond || !pool.PerSecond)
    return own.PerSecond;
  return own.HeardAt < pool.Since ? pool.PerSecond : std::nullopt;
}

double usefulRejections(double persecond, double slots) noexcept {
  return std::min(persecond, MaxRejectionsPerSlot * slots);
}

void startGuard(RejectionGuard &guard, Time now,
                std::uint64_t &random) noexcept {
  constexpr std::size_t Parts = 1U << 20U;
  guard = {};
  guard.StartedAt = now;
  guard.Phase = static_cast<double>(randomBelow(random, Parts)) / Parts;
}

bool mayRiskRejection(const RejectionGuard &guard, double persecond,
                      const BackendRoom &room, Time now) noexcept {
  if (room.HasWaiting || room.Running + 1 > room.Slots)
    return false;
  const bool paused = now < guard.PausedUntil;
  if (freedAt(guard, now) > 0 && !(paused && guard.Repeats > 1))
    return true;
  const std::uint32_t unconfirmed = unconfirmedAt(guard, now);
  if (paused || (guard.Restarting && unconfirmed > 0))
    return false;
  // Others that keep to their shares leave room for this front's even share.
  const double share = std::floor(room.Slots / std::max(room.Fronts, 1U));
  if (room.OwnRunning + 1 <= share)
    return true;
  // Any rejection is one too many.
  if (persecond < 1 && share > 0)
    return false;
  const double own = ownRejections(persecond, room.Fronts);
  double spare = 0;
  if (own < 1)
    spare = persecond < FewRejections ? MoreSpareSlots : SpareSlots;
  return room.Running + 1 + spare <= room.Slots &&
         hasTurn(guard, persecond, room.Fronts, now) &&
         unconfirmed + 1 <= std::max(own, 1.0);
}

void recordRiskedCall(RejectionGuard &guard, Time now) noexcept {
  guard.Unconfirmed = unconfirmedAt(guard, now) + 1;
  guard.LastSentAt = now;
  guard.Freed -= std::min(guard.Freed, 1U);
}

void recordAcceptedCall(RejectionGuard &guard) noexcept {
  confirm(guard);
  guard.Repeats = 0;
  guard.Restarting = false;
}

void recordFreedSlot(RejectionGuard &guard, Time now) noexcept {
  guard.Freed = freedAt(guard, now) + 1;
  guard.FreedAt = now;
}

Duration recordRejection(RejectionGuard &guard, double persecond,
                         std::uint32_t fronts, Time now) noexcept {
  confirm(guard);
  const double own = std::max(ownRejections(persecond, fronts),
                              ownRejections(MinRejectionsPerSecond, fronts));
  constexpr std::uint32_t MaxDoublings = 6;
  const double secs = std::ldexp(
      1 / own, static_cast<int>(std::min(guard.Repeats, MaxDoublings)));
  Duration pause =
      std::clamp(durationOf(secs), MinRejectionPause, MaxRejectionPause);
  ++guard.Repeats;
  // A rejection ends the turn.
  const Duration period = turnPeriod(persecond, fronts);
  if (period > RejectionTurn && hasTurn(guard, persecond, fronts, now))
    pause = std::max(pause, RejectionTurn - sinceTurn(guard, period, now));
  guard.PausedUntil = std::max(guard.PausedUntil, now + pause);
  return pause;
}

void recordGuardLoss(RejectionGuard &guard) noexcept {
  guard.Restarting = true;
  guard.Unconfirmed = 0;
}

} // namespace zinniagauge
