// What is known of calls that may crash back ends.
#ifndef ZINNIAGAUGE_BOARD_CRASH_EVIDENCE_H
#define ZINNIAGAUGE_BOARD_CRASH_EVIDENCE_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <vector>

namespace zinniagauge {

/// What a call has in common with others that may crash back ends like it: a
/// part of its prompt, or the whole request if it comes again.
using CallTraitId = NameId<struct CallTraitTag>;

/// The bit of a trait's value that tells a whole request from a part of a
/// prompt.
inline constexpr std::uint64_t WholeRequestBit = std::uint64_t{1} << 63U;

[[nodiscard]] constexpr CallTraitId
wholeRequestTrait(CallTraitId digest) noexcept {
  return CallTraitId{digest.Value | WholeRequestBit};
}

[[nodiscard]] constexpr CallTraitId
promptPartTrait(CallTraitId digest) noexcept {
  return CallTraitId{digest.Value & ~WholeRequestBit};
}

[[nodiscard]] constexpr bool isWholeRequest(CallTraitId trait) noexcept {
  return (trait.Value & WholeRequestBit) != 0;
}

/// A back end crashed before it answered a call with this trait.
struct CrashRecord {
  CallTraitId Trait;
  std::uint64_t Crash = 0; // The same for all calls that the crash ended.
  std::uint64_t Call = 0;  // Hash of the call's id.
  Time At;
};

/// A back end answered a call with this trait and didn't crash.
struct TraitAnswer {
  CallTraitId Trait;
  Time At; // Of the latest one that is known.
};

/// Records of all fronts. An answer voids all earlier records of its trait, so
/// the answers of traits with records are kept as well.
struct CrashEvidence {
  std::vector<CrashRecord> Crashes; // Sorted by trait and crash.
  std::vector<TraitAnswer> Answers; // Sorted by trait.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_CRASH_EVIDENCE_H
