// Choosing the back end of a call among those of its pool, which may differ in
// speed by several times.
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
  double PendingTokens = 0; // Of prompts that are to be read before.
  double EventMs = 0;       // Time for an event of a stream, or for an answer.
  bool Usable = true;     // Neither leaving nor passed over nor tried already.
  bool Contended = false; // Others may be taking its free slots right now.
  bool SameZone = false;
};

/// What a choice weighs.
struct ChoiceWeights {
  double MaxUtilization = 1.0; // Of its slots that a back end may be given.
  double RemainderWeight =
      0.5; // Of the time after the first event, against before.
  double LoadSlowdown =
      1.0; // Slowdown of a full back end against an empty one.
  double CrossZonePenaltyMs = 1.0; // For one in another zone.
  double LatePenaltyMs = 3000;     // For a first event after its target.
  double TimeoutPenaltyMs =
      20000;              // For an answer that ends after the caller's time.
  double SlotPrice = 0.5; // Of a fast back end's slot, as part of its gain.
};

/// What is to be placed.
struct CallEstimate {
  double PromptTokens = 0;
  double ExpectedEvents = 1; // That are expected; of a plain answer one.
  double PromptTokenMs = 0;  // Time for a prompt token at mean speed.
  double TargetLeftMs = 0;   // Left until the first event is late.
  double TimeLeftMs = 0;     // Left of the caller's time.
};

/// The index of the best candidate that has room; nothing if none has.
[[nodiscard]] std::optional<std::size_t>
chooseBackend(std::span<const Candidate> list, const CallEstimate &work,
              const ChoiceWeights &wt) noexcept;

/// The mean time for an event over \p list, of those that are known; zero if
/// none is.
[[nodiscard]] double meanEventMs(std::span<const Candidate> list) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BACKEND_CHOICE_H
