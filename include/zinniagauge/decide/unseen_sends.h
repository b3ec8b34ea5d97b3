// Calls that other processes have sent, but that aren't in the known loads yet.
// Many processes with the same view would all choose the back end that looks
// best; each therefore assumes that a random part of the others chose before.
#ifndef ZINNIAGAUGE_DECIDE_UNSEEN_SENDS_H
#define ZINNIAGAUGE_DECIDE_UNSEEN_SENDS_H

#include "zinniagauge/decide/backend_choice.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace zinniagauge {

/// The rate at which a process receives calls for a pool, as a moving average.
struct ArrivalRate {
  double PerSecond = 0;
  Time UpdatedAt;
};

/// Counts an arrival at \p now.
void countArrival(ArrivalRate &rate, Time now) noexcept;

/// The average at \p now, in calls per second.
[[nodiscard]] double arrivalsPerSecond(const ArrivalRate &rate,
                                       Time now) noexcept;

/// The place of a process among those that choose at the same time. It is drawn
/// anew once for each span in which the others' sends are unknown, so that
/// choosing again within that span gives no better place.
struct ChoicePlace {
  double Fraction = 0; // 0: before all others, 1: after them.
  Time DrawnAt;
};

/// How many sends of other processes to assume before the next choice. \p
/// expected is the number of their sends within \p delay, the time until sends
/// are known.
[[nodiscard]] std::size_t assumedSends(ChoicePlace &place, double expected,
                                       Duration delay, Time now,
                                       std::uint64_t &random) noexcept;

/// Adds \p count calls like \p typical to \p list, each where it costs least.
void placeAssumedSends(std::span<Candidate> list, const CallEstimate &typical,
                       const ChoiceWeights &wt, std::size_t count);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_UNSEEN_SENDS_H
