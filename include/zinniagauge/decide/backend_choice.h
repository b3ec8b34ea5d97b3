// Chooses the back end of a call among those of its pool, whose speeds may
// differ by several times.
#ifndef ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H
#define ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H

#include "zinniagauge/board/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace zinniagauge {

/// The state of one back end, as far as the choice depends on it.
struct Candidate {
  EndpointId Id;
  double Running = 0;       // Calls of all processes, as far as known.
  double LearntRunning = 0; // Of these, without what the back end reported.
  double Slots = 1;
  double PendingTokens = 0; // Prompt tokens queued ahead of this call.
  double EventMs = 0;       // Per stream event or plain response; 0: unknown.
  bool Usable = true;       // Not leaving, not ejected and not tried yet.
  bool Contended = false;   // Other processes may be taking its free slots.
  bool HasWaiting = false;  // Calls wait inside it, so it is sent no more.
  bool Paused = false;      // Gets no call now, as it might reject it.
  bool SameZone = false;
};

/// The weights and limits of the choice. All costs are in milliseconds.
struct ChoiceWeights {
  /// Fraction of a back end's slots that may be used.
  double MaxUtilization = 1.0;
  /// Weight of the time after the first event; the time before has weight 1.
  double RemainderWeight = 0.5;
  /// Slowdown of a full back end against an empty one.
  double LoadSlowdown = 1.0;
  double CrossZonePenaltyMs = 1.0; // For a back end in another zone.
  double LatePenaltyMs = 3000;     // For a first event after its target.
  /// For a response that ends after the deadline.
  double TimeoutPenaltyMs = 20000;
  double SlotPrice = 0.5; // Of a fast slot, as a fraction of the time it saves.
};

/// The expected work and the time limits of the call to be placed.
struct CallEstimate {
  double PromptTokens = 0;
  double ExpectedEvents = 1; // One for a plain response.
  double PromptTokenMs = 0;  // Per prompt token at mean speed.
  double TargetLeftMs = 0;   // Until the first event is late.
  double TimeLeftMs = 0;     // Until the caller's deadline.
};

/// The figures of a pool from which all costs of one choice are computed.
struct PoolSpeed {
  double MeanMs = 1;       // Mean time per event.
  double MaxMs = 1;        // Time per event of the slowest back end.
  double UsedFraction = 0; // Fraction of all slots in use.
};

[[nodiscard]] PoolSpeed poolSpeed(std::span<const Candidate> list) noexcept;

/// The cost of running a call at \p c, in ms: the time that it takes, and the
/// cost for other calls. Infinite if \p c isn't usable, is contended or paused,
/// has waiting calls or no free slot.
[[nodiscard]] double placementCost(const Candidate &c, const PoolSpeed &sp,
                                   const CallEstimate &work,
                                   const ChoiceWeights &wt) noexcept;

/// The index of the best candidate with a free slot; nothing if there is none.
[[nodiscard]] std::optional<std::size_t>
chooseBackend(std::span<const Candidate> list, const CallEstimate &work,
              const ChoiceWeights &wt) noexcept;

/// Whether \p c may be used, isn't paused, has a free slot and no waiting
/// calls.
[[nodiscard]] bool hasFreeSlot(const Candidate &c) noexcept;

/// The index of a candidate that runs the fewest calls, with a free slot;
/// nothing if there is none.
[[nodiscard]] std::optional<std::size_t>
chooseEmptiest(std::span<const Candidate> list) noexcept;

/// The mean of the known event times in \p list; zero if none is known.
[[nodiscard]] double meanEventMs(std::span<const Candidate> list) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H
