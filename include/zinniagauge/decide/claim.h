// Claims of idempotency keys: one row of the platform's table names the one
// request that may be dispatched for a key. A claim has no lease, so it can't
// expire while a process is paused.
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

/// Identifies a claim: the workspace, and a 128-bit hash of the caller's key.
struct ClaimKey {
  WorkspaceId Workspace;
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const ClaimKey &) const = default;
};

/// The key of the claim for the idempotency key \p key in workspace \p ws.
[[nodiscard]] ClaimKey claimKeyOf(WorkspaceId ws, std::string_view key);

/// The contents of a claim's row.
struct ClaimRow {
  RequestId Holder;
  VmId Vm;
  std::uint64_t Incarnation = 0;
  std::optional<Outcome> HolderOutcome; // Absent until it is written.

  bool operator==(const ClaimRow &) const = default;
};

/// What an operation does to a claim's row.
enum class ClaimOpKind : std::uint8_t {
  PutIfAbsent,
  Read,
  Replace, ///< Only if the row's version is the expected one.
};

/// One operation of a transaction. Operations of one transaction are applied
/// independently of each other, and have different keys.
struct ClaimOp {
  ClaimOpKind Kind = ClaimOpKind::Read;
  ClaimKey Key;
  ClaimRow NewRow;                   // The row to write.
  std::uint64_t ExpectedVersion = 0; // Row version that Replace requires.
};

/// The result of an operation, and the row after it.
struct ClaimOpResult {
  bool Applied = false;
  std::optional<ClaimRow> CurrentRow;
  std::uint64_t Version = 0; // Of the row; zero: absent.
};

/// One transaction on the table.
struct ClaimBatch {
  std::uint64_t Number = 0;
  std::vector<ClaimOp> Ops;
};

/// The result of a transaction.
enum class BatchStatus : std::uint8_t {
  Completed,
  NotApplied,   ///< Not applied: no connection, or refused.
  Undetermined, ///< No response; it may be applied, now or later.
};

/// The response to a ClaimBatch.
struct ClaimBatchResult {
  std::uint64_t Number = 0;
  BatchStatus Status = BatchStatus::Undetermined;
  std::vector<ClaimOpResult> Results; // One for each operation, if Answered.
};

/// Time-outs and limits of claims.
struct ClaimLimits {
  Duration Timeout = std::chrono::seconds(2); // Until a claim is Undetermined.
  /// After a failed batch.
  Duration RetryBackoff = std::chrono::milliseconds(50);
  std::size_t MaxBatchOps = 256;          // Operations of one transaction.
  std::size_t MaxPendingOutcomes = 10000; // Outcomes that wait to be written.
};

/// The next operation for a claim.
enum class ClaimStage : std::uint8_t { Put, ReadBack, TakeOver };

/// A claim that is being decided.
struct PendingClaim {
  RequestId Request;
  ClaimKey Key;
  Time Deadline; // When the claim becomes Undetermined.
  ClaimStage Stage = ClaimStage::Put;
  std::uint64_t ExpectedVersion = 0; // Row version that TakeOver requires.
  bool MayBeWritten = false;
};

/// An outcome that is to be written into its claim's row.
struct PendingOutcome {
  RequestId Request;
  ClaimKey Key;
  Outcome Result = Outcome::Unknown;
  std::uint64_t ExpectedVersion = 0; // The row's version; zero: not known.
};

/// A claim that a request of this process holds, or may hold, until it ends.
struct HeldClaim {
  ClaimKey Key;
  std::uint64_t Version = 0; // Of the row; zero: not known.
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
  Time RetryAt; // No batch is sent earlier.
};

/// The result of the claim of a request.
struct ClaimDecision {
  RequestId Request;
  ClaimResult Result;
};

/// Results of a step: claims that are decided, and a transaction to send.
struct ClaimActions {
  std::vector<ClaimDecision> Decisions;
  std::optional<ClaimBatch> Batch;
};

/// Starts to claim \p key for request \p id.
void requestClaim(Claims &c, RequestId id, const ClaimKey &key, Time now);

/// Request \p id, for which requestClaim was called, has ended and will never
/// be dispatched again. Its outcome is written into its row as soon as
/// possible; the outcome not_run frees the key for another request.
void recordOutcome(Claims &c, RequestId id, Outcome oc);

/// Decides the claims whose deadline has passed, and combines the waiting
/// operations into one transaction, unless one is in flight. Appends to \p out.
void step(Claims &c, Time now, ClaimActions &out);

/// Handles the result of the transaction in flight; results of any other are
/// ignored. The caller must call step afterwards.
void onBatchResult(Claims &c, const ClaimBatchResult &ans, Time now,
                   ClaimActions &out);

/// When step must be called next, if nothing else happens; Time::max() if
/// never.
[[nodiscard]] Time dueAt(const Claims &c) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CLAIM_H
