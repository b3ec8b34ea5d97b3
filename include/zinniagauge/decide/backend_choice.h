// Choosing the back end of a call among those of its pool.
#ifndef ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H
#define ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H

#include "zinniagauge/board/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace zinniagauge {

/// One back end as the choice sees it.
struct Candidate {
  EndpointId Id;
  double Running = 0; // Calls there, of all processes, as far as known.
  double Slots = 1;
  double Speed = 1;   // Relative to the pool's mean; higher is faster.
  bool Usable = true; // Neither leaving nor passed over nor tried already.
  bool SameZone = false;
  double CachedShare = 0; // Of the prompt that it keeps, as far as known.
};

/// What a choice weighs, in slots of load.
struct ChoiceWeights {
  double Room = 1.0;   // Of its slots that a back end may be given.
  double Cached = 3.0; // For a whole prompt that is kept.
  double Home = 0.8;   // For the back end that all processes prefer.
  double Zone = 0.05;  // For one in the own zone.
};

/// What is to be placed.
struct ChoiceWork {
  std::uint64_t Affinity = 0; // Hash of what a back end may keep; 0: nothing.
  double Tokens = 0;          // Of the prompt.
};

/// The index of the best candidate that has room; nothing if none has.
[[nodiscard]] std::optional<std::size_t>
chooseBackend(std::span<const Candidate> list, const ChoiceWork &work,
              const ChoiceWeights &wt) noexcept;

/// The rank that all processes give \p id for \p affinity: the highest is the
/// home of what the affinity stands for (rendezvous hashing).
[[nodiscard]] std::uint64_t homeRank(std::uint64_t affinity,
                                     EndpointId id) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H
