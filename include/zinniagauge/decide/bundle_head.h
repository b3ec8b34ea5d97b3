// Approval of a bundle: one transaction moves the head from its parent to the
// new version. If its response is lost, reading the rows back shows whether it
// took effect.
#ifndef ZINNIAGAUGE_DECIDE_BUNDLE_HEAD_H
#define ZINNIAGAUGE_DECIDE_BUNDLE_HEAD_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace zinniagauge {

/// A proposed bundle, as stored in its row of the table.
struct Proposal {
  std::string Digest;
  std::uint64_t ParentVersion = 0; // The head that it is based on.
  std::string ProposedBy;          // The operator's name.
  WallTime ProposedAt;
};

/// An approved version, as stored in the head row and in the history row of its
/// number.
struct BundleHead {
  std::uint64_t Version = 0; // Zero: none was ever approved.
  std::string Digest;
  std::string ProposedBy;
  std::string ApprovedBy;
  std::string ApprovalId; // Random for each approval.
  WallTime ApprovedAt;
};

/// A snapshot of the head, with the version of its row.
struct HeadRow {
  BundleHead Head;
  std::uint64_t RowVersion = 0; // Zero: the row is absent.
};

/// The next step of an approval.
enum class ApprovalStage : std::uint8_t {
  Read,     ///< Read the proposal and the head.
  Swap,     ///< Move the head from HeadSnapshot to NextHead, and add it to the
            ///< history.
  ReadBack, ///< Read the rows: a swap may have taken effect.
  Done,     ///< NextHead is the accepted version.
  Refused,  ///< Failure says why, and what is known.
};

/// One approval in progress. Only the functions below change it.
struct Approval {
  std::string Digest;
  std::string Approver;
  std::string ApprovalId;
  Time Deadline; // After this, the first failure ends it.
  ApprovalStage Stage = ApprovalStage::Read;
  /// A swap was sent, and its result is not known.
  bool SwapUndetermined = false;
  HeadRow HeadSnapshot;
  BundleHead NextHead;
  Error Failure;
};

/// The rows that an approval reads.
struct ApprovalRead {
  std::optional<Proposal> ProposalRow;
  HeadRow Head;
  std::optional<BundleHead> HistoryRow; // Of NextHead's version.
};

/// Handles the rows that were read in the stages Read and ReadBack. Refuses an
/// approval with Conflict if its proposal is based on another head than the
/// present one.
void onRead(Approval &a, const ApprovalRead &read, WallTime now);

/// Handles the response to a swap: whether it took effect. If it did not, an
/// earlier swap of the same approval may have, which is then read back.
void onSwapped(Approval &a, bool committed);

/// Handles the failure of the stage's call. Retries until Deadline; then
/// refuses with Unavailable if nothing was changed, or with TimedOut if that is
/// not known.
void onFailed(Approval &a, const Error &err, Time now);

/// Whether \p a has ended.
[[nodiscard]] constexpr bool hasEnded(const Approval &a) noexcept {
  return a.Stage == ApprovalStage::Done || a.Stage == ApprovalStage::Refused;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_BUNDLE_HEAD_H
