#include "zinniagauge/decide/bundle_head.h"

#include <utility>

namespace zinniagauge {

namespace {

void refuse(Approval &a, ErrorCode code, std::string detail) {
  a.Stage = ApprovalStage::Refused;
  a.Failure = {code, Step::Bundle, {}, std::move(detail)};
}

std::string describeHead(const BundleHead &head) {
  if (head.Version == 0)
    return "none was ever approved";
  return "version " + std::to_string(head.Version) + ", approved by " +
         head.ApprovedBy;
}

void prepareSwap(Approval &a, const ApprovalRead &read, WallTime now) {
  if (!read.ProposalRow)
    return refuse(a, ErrorCode::NotFound, "no such proposal: propose it first");
  const BundleHead &head = read.Head.Head;
  if (head.Version != read.ProposalRow->ParentVersion) {
    const std::string text = "the proposal was made on version " +
                             std::to_string(read.ProposalRow->ParentVersion) +
                             ", but the head is " + describeHead(head) +
                             ": look at the difference and propose again";
    return refuse(a, ErrorCode::Conflict, text);
  }
  a.HeadSnapshot = read.Head;
  a.NextHead = {head.Version + 1, a.Digest,     read.ProposalRow->ProposedBy,
                a.Approver,       a.ApprovalId, now};
  a.Stage = ApprovalStage::Swap;
}

void confirmSwap(Approval &a, const ApprovalRead &read) {
  if (read.HistoryRow && read.HistoryRow->ApprovalId == a.ApprovalId) {
    a.Stage = ApprovalStage::Done;
    return;
  }
  if (read.HistoryRow || read.Head.RowVersion != a.HeadSnapshot.RowVersion)
    return refuse(a, ErrorCode::Conflict,
                  "another approval came first: the head is " +
                      describeHead(read.Head.Head) +
                      ": look at the difference and propose again");
  // No swap has taken effect yet, but one that was sent still may. Sending it
  // again is safe, since only one of them can find the row at the version that
  // was read.
  a.Stage = ApprovalStage::Swap;
}

} // namespace

void onRead(Approval &a, const ApprovalRead &read, WallTime now) {
  if (a.Stage == ApprovalStage::Read)
    prepareSwap(a, read, now);
  else if (a.Stage == ApprovalStage::ReadBack)
    confirmSwap(a, read);
}

void onSwapped(Approval &a, bool committed) {
  if (a.Stage == ApprovalStage::Swap)
    a.Stage = committed ? ApprovalStage::Done : ApprovalStage::ReadBack;
}

void onFailed(Approval &a, const Error &err, Time now) {
  if (a.Stage == ApprovalStage::Swap) {
    a.SwapUndetermined =
        a.SwapUndetermined || err.Code != ErrorCode::Unavailable;
    a.Stage = ApprovalStage::ReadBack;
  }
  if (now < a.Deadline)
    return;
  if (a.SwapUndetermined)
    refuse(a, ErrorCode::TimedOut,
           "it is not known whether the approval took effect (" +
               describe(err) +
               "): look at the history once the platform answers");
  else
    refuse(a, ErrorCode::Unavailable,
           "nothing was changed (" + describe(err) + "): try again later");
  a.Failure.Peer = err.Peer;
}

} // namespace zinniagauge
