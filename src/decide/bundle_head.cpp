#include "zinniagauge/decide/bundle_head.h"

#include <utility>

namespace zinniagauge {

namespace {

void refuse(Approval &a, ErrorCode code, std::string detail) {
  a.Stage = ApprovalStage::Refused;
  a.Why = {code, Step::Bundle, {}, std::move(detail)};
}

std::string nameOf(const BundleHead &head) {
  if (head.Version == 0)
    return "none was ever approved";
  return "version " + std::to_string(head.Version) + ", approved by " +
         head.ApprovedBy;
}

void start(Approval &a, const ApprovalRead &read, WallTime now) {
  if (!read.Asked)
    return refuse(a, ErrorCode::NotFound, "no such proposal: propose it first");
  const BundleHead &head = read.Head.Head;
  if (head.Version != read.Asked->Parent) {
    const std::string text = "the proposal was made on version " +
                             std::to_string(read.Asked->Parent) +
                             ", but the head is " + nameOf(head) +
                             ": look at the difference and propose again";
    return refuse(a, ErrorCode::Conflict, text);
  }
  a.Seen = read.Head;
  a.Next = {head.Version + 1, a.Digest, read.Asked->By, a.By, a.Attempt, now};
  a.Stage = ApprovalStage::Swap;
}

void settle(Approval &a, const ApprovalRead &read) {
  if (read.Recorded && read.Recorded->Attempt == a.Attempt) {
    a.Stage = ApprovalStage::Done;
    return;
  }
  if (read.Recorded || read.Head.RowVersion != a.Seen.RowVersion)
    return refuse(a, ErrorCode::Conflict,
                  "another approval came first: the head is " +
                      nameOf(read.Head.Head) +
                      ": look at the difference and propose again");
  // The swap has not happened, but one that was sent still may. Sending it
  // again is safe, for only one of them can find the row as it was seen.
  a.Stage = ApprovalStage::Swap;
}

} // namespace

void onRead(Approval &a, const ApprovalRead &read, WallTime now) {
  if (a.Stage == ApprovalStage::Read)
    start(a, read, now);
  else if (a.Stage == ApprovalStage::Settle)
    settle(a, read);
}

void onSwapped(Approval &a, bool committed) {
  if (a.Stage == ApprovalStage::Swap)
    a.Stage = committed ? ApprovalStage::Done : ApprovalStage::Settle;
}

void onFailed(Approval &a, const Error &err, Time now) {
  if (a.Stage == ApprovalStage::Swap) {
    a.MaySwap = a.MaySwap || err.Code != ErrorCode::Unavailable;
    a.Stage = ApprovalStage::Settle;
  }
  if (now < a.GiveUp)
    return;
  if (a.MaySwap)
    refuse(a, ErrorCode::TimedOut,
           "it is not known whether the approval took effect (" +
               describe(err) +
               "): look at the history once the platform answers");
  else
    refuse(a, ErrorCode::Unavailable,
           "nothing was changed (" + describe(err) + "): try again later");
  a.Why.Peer = err.Peer;
}

} // namespace zinniagauge
