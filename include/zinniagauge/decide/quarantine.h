// Quarantine of calls that crash back ends. Such a call ends its back end as
// soon as the answer begins, and all other calls there with it, so calls like
// it must not be retried for long. Fronts collect the traits of calls that
// weren't answered when a back end crashed: the parts of their prompts and the
// whole requests. Traits that are answered elsewhere are cleared, what remains
// is quarantined.
#ifndef ZINNIAGAUGE_DECIDE_QUARANTINE_H
#define ZINNIAGAUGE_DECIDE_QUARANTINE_H

#include "zinniagauge/board/crash_evidence.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace zinniagauge {

/// Crashes at about the same time count as one: a power loss ends many back
/// ends at once, whatever they run.
inline constexpr Duration MinCrashSpacing = std::chrono::milliseconds(200);

/// Separate crashes after which a trait is suspect, and after which it is
/// quarantined if they hit different calls.
inline constexpr std::uint32_t SuspectCrashes = 2;
inline constexpr std::uint32_t QuarantineCrashes = 3;
inline constexpr std::uint32_t QuarantineCalls = 3;

/// How long a quarantine lasts after the latest crash. It doubles with each
/// further crash, up to the maximum.
inline constexpr Duration MinQuarantine = std::chrono::seconds(60);
inline constexpr Duration MaxQuarantine = std::chrono::minutes(8);

/// Records are kept for this long, so that a trial after a quarantine that
/// fails continues it.
inline constexpr Duration CrashRecordLifetime = std::chrono::minutes(20);

/// Answers are kept until each front has heard of them.
inline constexpr Duration AnswerLifetime = std::chrono::seconds(60);

/// Limits that keep the evidence within one datagram.
inline constexpr std::size_t MaxCrashRecords = 64;
inline constexpr std::size_t MaxRecordsPerTrait = 8;
inline constexpr std::size_t MaxTraitAnswers = 64;

/// Adds a record. Returns false if it is known, or voided by a later answer.
bool recordCrash(CrashEvidence &ev, const CrashRecord &rec);

/// Voids the records of a trait that was answered. Returns false if there are
/// none that are earlier.
bool recordAnswer(CrashEvidence &ev, const TraitAnswer &answer);

/// Adds what \p more knows to \p ev. Returns whether anything was new.
bool mergeEvidence(CrashEvidence &ev, const CrashEvidence &more);

/// Drops what is too old. Returns whether anything was dropped.
bool dropExpired(CrashEvidence &ev, Time now);

/// Whether both hold records and answers of the same traits and crashes.
[[nodiscard]] bool sameEvidence(const CrashEvidence &a, const CrashEvidence &b);

/// The records of \p trait.
[[nodiscard]] std::span<const CrashRecord>
crashesOf(const CrashEvidence &ev, CallTraitId trait) noexcept;

/// How calls with a trait are treated.
enum class TraitStatus : std::uint8_t {
  Clear,       ///< Like all others.
  Suspect,     ///< One at a time, and not retried after a crash.
  Quarantined, ///< Refused.
};

/// When a front may try a trait again whose quarantine has ended.
struct TrialOrder {
  std::uint64_t Front = 0; // Differs between fronts.
  /// Fronts start their trials within this time, in an order that differs for
  /// each trait. One of them is the first, and the others hear of its result.
  Duration Spread = Duration::zero();
};

/// The status at \p now of a call with the traits \p traits. A crash doesn't
/// count against a trait if another trait with more records was in it. If that
/// one has as many and isn't in \p traits, the call is suspect at most: either
/// trait may be the cause.
[[nodiscard]] TraitStatus statusOf(const CrashEvidence &ev,
                                   std::span<const CallTraitId> traits,
                                   Time now, const TrialOrder &order);

/// Whether a call with the traits \p traits that a crash has just ended may
/// have caused it, since one of them was in an earlier crash that no other
/// trait explains.
[[nodiscard]] bool mayCrashAgain(const CrashEvidence &ev,
                                 std::span<const CallTraitId> traits, Time now);

/// When traits were last answered here: the latest generation and the one
/// before it, each of at most MaxAnsweredTraits entries.
struct AnsweredTraits {
  std::unordered_map<CallTraitId, Time> Young;
  std::unordered_map<CallTraitId, Time> Old;
};

inline constexpr std::size_t MaxAnsweredTraits = 2048;

/// Records that \p trait was answered.
void recordAnswered(AnsweredTraits &traits, CallTraitId trait, Time now);

/// When \p trait was last answered; zero if that isn't known.
[[nodiscard]] Time lastAnswered(const AnsweredTraits &traits,
                                CallTraitId trait) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_QUARANTINE_H
