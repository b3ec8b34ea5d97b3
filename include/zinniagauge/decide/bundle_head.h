// Approval of a bundle: one transaction moves the head from its parent to the
// new version, and a lost answer is settled by reading back.
#ifndef ZINNIAGAUGE_DECIDE_BUNDLE_HEAD_H
#define ZINNIAGAUGE_DECIDE_BUNDLE_HEAD_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace zinniagauge {

/// A proposed bundle, as its row in the table has it.
struct Proposal {
  std::string Digest;
  std::uint64_t ParentVersion = 0; // The head that it was made on.
  std::string ProposedBy;          // The operator's name.
  WallTime ProposedAt;
};

/// An approved version: the head row, and the history row of its number.
struct BundleHead {
  std::uint64_t Version = 0; // Zero: none was ever approved.
  std::string Digest;
  std::string ProposedBy;
  std::string ApprovedBy;
  std::string ApprovalId; // Drawn at random for each approval.
  WallTime ApprovedAt;
};

/// The head as it was read, with the version of its row.
struct HeadRow {
  BundleHead Head;
  std::uint64_t RowVersion = 0; // Zero: the row is absent.
};

/// What an approval does next.
enum class ApprovalStage : std::uint8_t {
  Read,     ///< Read the proposal and the head.
  Swap,     ///< Move the head from Seen to Next, and record Next as history.
  ReadBack, ///< Read the head and the history of Next: a swap may have
            ///< happened.
  Done,     ///< Next is the accepted version.
  Refused,  ///< Why says why, and what is certain.
};

/// One approval in progress. Only the functions below change it.
struct Approval {
  std::string Digest;
  std::string Approver;
  std::string ApprovalId;
  Time Deadline; // After this, the first failure ends it.
  ApprovalStage Stage = ApprovalStage::Read;
  bool SwapUndetermined = false; // A swap was sent whose answer is not known.
  HeadRow HeadSnapshot;
  BundleHead NextHead;
  Error Failure;
};

/// What an approval reads.
struct ApprovalRead {
  std::optional<Proposal> ProposalRow;
  HeadRow Head;
  std::optional<BundleHead> HistoryRow; // The history row of Next's version.
};

/// Takes in what was read in the stages Read and Settle. An approval whose
/// proposal was made on another head than the present one is refused with
/// Conflict.
void onRead(Approval &a, const ApprovalRead &read, WallTime now);

/// Takes in the answer to a swap: whether it took effect. One that did not may
/// still be done, by an earlier swap of the same approval.
void onSwapped(Approval &a, bool committed);

/// Takes in the failure of the stage's call. Tries again until GiveUp; then
/// refuses with Unavailable if nothing was changed, or with TimedOut if that is
/// not known.
void onFailed(Approval &a, const Error &err, Time now);

/// Whether \p a has ended.
[[nodiscard]] constexpr bool hasEnded(const Approval &a) noexcept {
  return a.Stage == ApprovalStage::Done || a.Stage == ApprovalStage::Refused;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BUNDLE_HEAD_H
