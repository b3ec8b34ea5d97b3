// Claims of idempotency keys: one row of the platform's table names the one
// request that may be dispatched for a key. A claim has no lease: nothing
// lapses while a process is paused.
#ifndef ZINNIAGAUGE_DECIDE_CLAIM_H
#define ZINNIAGAUGE_DECIDE_CLAIM_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/outcome.h"
#include "zinniagauge/decide/dispatch.h"
#include "zinniagauge/time/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Names a claim: the workspace, and 128 bits of hash of the caller's key.
struct ClaimKey {
  WorkspaceId Workspace;
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const ClaimKey &) const = default;
};

/// The claim of \p key in workspace \p ws.
[[nodiscard]] ClaimKey claimKeyOf(WorkspaceId ws, std::string_view key);

/// What a claim's row holds.
struct ClaimRow {
  RequestId Holder;
  VmId Vm;
  std::uint64_t Incarnation = 0;
  std::optional<Outcome>
      HolderOutcome; // How the holder ended, once that is written.

  bool operator==(const ClaimRow &) const = default;
};

/// What an operation does to a claim's row.
enum class ClaimOpKind : std::uint8_t {
  PutIfAbsent,
  Read,
  Replace, ///< If the row's version is the expected one.
};

/// One operation of a transaction. Each is applied, or not, by itself; no two
/// of one transaction have the same key.
struct ClaimOp {
  ClaimOpKind Kind = ClaimOpKind::Read;
  ClaimKey Key;
  ClaimRow Row;                      // To write.
  std::uint64_t ExpectedVersion = 0; // For Replace.
};

/// What became of an operation, and what the row holds after it.
struct ClaimOpResult {
  bool Applied = false;
  std::optional<ClaimRow> CurrentRow;
  std::uint64_t Version = 0; // Of the row; zero: absent.
};

/// One transaction for the table.
struct ClaimBatch {
  std::uint64_t Number = 0;
  std::vector<ClaimOp> Ops;
};

/// How a transaction was answered.
enum class BatchStatus : std::uint8_t {
  Answered,
  NotApplied,   ///< Surely not applied: no connection, or refused.
  Undetermined, ///< No answer; it may have been applied, or may be later.
};

/// The answer to a ClaimBatch.
struct ClaimBatchResult {
  std::uint64_t Number = 0;
  BatchStatus Status = BatchStatus::Undetermined;
  std::vector<ClaimOpResult> Results; // If Answered: one for each operation.
};

/// Bounds of claiming.
struct ClaimLimits {
  Duration Timeout = std::chrono::seconds(2); // Then a claim is unreadable.
  Duration RetryBackoff =
      std::chrono::milliseconds(50);      // After a failed batch.
  std::size_t MaxBatchOps = 256;          // Of one transaction.
  std::size_t MaxPendingOutcomes = 10000; // That wait to be written.
};

/// What the next operation for a claim is.
enum class ClaimStage : std::uint8_t { Put, ReadBack, TakeOver };

/// A claim that is being decided.
struct PendingClaim {
  RequestId Request;
  ClaimKey Key;
  Time Deadline; // Then it is unreadable.
  ClaimStage Stage = ClaimStage::Put;
  std::uint64_t ExpectedVersion = 0; // For TakeOver.
  bool MayBeWritten = false;
};

/// An outcome that is to be written into its claim's row.
struct PendingOutcome {
  RequestId Request;
  ClaimKey Key;
  Outcome Result = Outcome::Unknown;
  std::uint64_t ExpectedVersion = 0; // The row's version; zero: not known.
};

/// A row that is, or may be, of a request of this process that is not over.
struct HeldClaim {
  ClaimKey Key;
  std::uint64_t Version = 0; // Zero: not known.
};

/// The claims of one process. One thread uses it; only the functions below
/// change it.
struct Claims {
  VmId Self;
  std::uint64_t Incarnation = 0;
  ClaimLimits Limits;
  std::vector<PendingClaim> PendingClaims;
  std::vector<PendingOutcome> PendingOutcomes;
  std::map<RequestId, HeldClaim> HeldClaims;
  std::optional<ClaimBatch> InFlight;
  std::uint64_t LastBatchNumber = 0;
  Time RetryAt; // No batch before.
};

/// How the claim of a request was decided.
struct ClaimDecision {
  RequestId Request;
  ClaimResult Result;
};

/// What a step decided: answers for requests, and a transaction to send.
struct ClaimActions {
  std::vector<ClaimDecision> Decisions;
  std::optional<ClaimBatch> Batch;
};

/// Request \p id wants to be dispatched for \p key.
void requestClaim(Claims &c, RequestId id, const ClaimKey &key, Time now);

/// Request \p id, which asked for a claim, is over; it will never be dispatched
/// again. Its outcome is written into its row as soon as that can be done; an
/// outcome of not_run frees the key for another request.
void recordOutcome(Claims &c, RequestId id, Outcome oc);

/// Decides the claims whose time is up, and gathers what waits into one
/// transaction, unless one is in flight. Appends to \p out.
void step(Claims &c, Time now, ClaimActions &out);

/// Takes the answer to the transaction in flight. Answers to any other are
/// ignored. Call step afterwards.
void onBatchResult(Claims &c, const ClaimBatchResult &ans, Time now,
                   ClaimActions &out);

/// When step has to be called next, if nothing else happens; the far future if
/// never.
[[nodiscard]] Time dueAt(const Claims &c) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CLAIM_H
