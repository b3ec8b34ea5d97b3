// Implements the controller of version moves.
#include "zinniagauge/decide/move.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/share_gate.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace zinniagauge {

namespace {

/// The state that one step of one move reads and writes.
struct MoveStep {
  MoveController &Ctl;
  TrackedMove &Track;
  const MoveSpec &Spec;
  const MoveView &View;
  Time Now;
  WallTime Wall;
  MoveActions &Out;
};

/// Returns how many live VMs precede this one in the order given by the hash of
/// the move.
std::size_t rankOf(const MoveController &ctl, std::span<const Member> members,
                   MoveId move) noexcept {
  const SchedulerRole role{ZoneId{}, PoolId{move.Value}, 0};
  const std::uint64_t own = roleWeight(ctl.Self, role);
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const Member &m) {
        return m.Id != ctl.Self && mayHoldRoles(m) &&
               roleWeight(m.Id, role) > own;
      }));
}

const MoveState *exchangedState(const MoveStep &s) noexcept {
  const auto &list = s.View.Moves.Moves;
  const auto it = std::find_if(list.begin(), list.end(), [&](const auto &st) {
    return st.Id == s.Spec.Id;
  });
  return it == list.end() ? nullptr : &*it;
}

bool isBad(const MoveStep &s) noexcept {
  const MoveState *st = exchangedState(s);
  return s.Track.Snapshot.Row.VersionIsBad || (st && st->VersionIsBad);
}

std::string badReason(const MoveStep &s) {
  const MoveState *st = exchangedState(s);
  return st && !st->BadReason.empty() ? st->BadReason
                                      : s.Track.Snapshot.Row.BadReason;
}

void sendRequest(MoveStep &s, MoveRowRequest req) {
  req.Move = s.Spec.Id;
  req.RequestNumber = s.Ctl.NextRequestNumber++;
  s.Track.PendingRequest = req;
  s.Track.PendingSince = s.Now;
  s.Track.WriteUndetermined = s.Track.WriteUndetermined || req.Write;
  s.Out.Requests.push_back(std::move(req));
}

void readRow(MoveStep &s) {
  s.Track.NextReadAt = s.Now + MoveRowReadPeriod;
  sendRequest(s, {});
}

void writeRow(MoveStep &s, MoveRow next) {
  MoveRowRequest req;
  req.Write = true;
  req.NewRow = std::move(next);
  req.ExpectedVersion = s.Track.Snapshot.Version;
  sendRequest(s, std::move(req));
}

void setStage(MoveStep &s, MoveStage stage, std::uint32_t share) {
  MoveRow next = s.Track.Snapshot.Row;
  next.Stage = stage;
  next.SharePermille = share;
  next.ChangedAt = s.Wall;
  writeRow(s, std::move(next));
}

void rollBack(MoveStep &s, std::string reason) {
  MoveRow next = s.Track.Snapshot.Row;
  next.Stage = MoveStage::RolledBack;
  next.SharePermille = 0;
  next.VersionIsBad = isBad(s);
  next.BadReason = std::move(reason);
  next.ChangedAt = s.Wall;
  writeRow(s, std::move(next));
}

void takeLease(MoveStep &s) {
  MoveRow next = s.Track.Snapshot.Row;
  ++next.FencingToken;
  next.Holder = s.Ctl.Self;
  next.HolderIncarnation = s.Ctl.Incarnation;
  next.Renewals = 0;
  if (s.Track.Snapshot.Version == 0)
    next.ChangedAt = s.Wall;
  writeRow(s, std::move(next));
}

void renewLease(MoveStep &s) {
  MoveRow next = s.Track.Snapshot.Row;
  ++next.Renewals;
  writeRow(s, std::move(next));
}

bool hasNewVersion(const MoveStep &s, const EndpointSpec &ep) noexcept {
  return ep.Pool == s.Spec.Pool && ep.Version == s.Spec.NewVersion;
}

bool reportsNewVersion(const MoveStep &s, const EndpointSpec &ep) noexcept {
  const EndpointState *st = findEndpointState(s.View.Endpoints, ep.Id);
  return st && st->ReportedVersion == s.Spec.NewVersion;
}

bool isNewVersionServed(const MoveStep &s) noexcept {
  const auto &all = s.View.ActiveBundle.Endpoints;
  return std::any_of(all.begin(), all.end(), [&](const EndpointSpec &ep) {
    const EndpointState *st = findEndpointState(s.View.Endpoints, ep.Id);
    return hasNewVersion(s, ep) && reportsNewVersion(s, ep) && !st->Leaving;
  });
}

/// Orders each endpoint of the new version that doesn't report that version to
/// serve it. The reported versions are checked again in each step.
void orderEndpoints(MoveStep &s) {
  if (s.Track.LeaseExpiry - s.Now <= OrderTimeout)
    return;
  for (const EndpointSpec &ep : s.View.ActiveBundle.Endpoints) {
    if (!hasNewVersion(s, ep) || reportsNewVersion(s, ep))
      continue;
    const auto it = s.Track.OrderedAt.find(ep.Id);
    if (it != s.Track.OrderedAt.end() &&
        s.Now - it->second < OrderRetryInterval)
      continue;
    s.Track.OrderedAt.insert_or_assign(ep.Id, s.Now);
    s.Out.Orders.push_back({ep.Id, s.Spec.NewVersion, s.Spec.NewVersionLabel,
                            s.Track.Snapshot.Row.FencingToken,
                            s.Track.LeaseExpiry - OrderTimeout});
  }
}

/// Returns the share after \p share, or nothing if \p share is the last one.
std::optional<std::uint32_t> nextShare(const MoveSpec &m,
                                       std::uint32_t share) noexcept {
  const auto it =
      std::upper_bound(m.SharesPermille.begin(), m.SharesPermille.end(), share);
  if (it != m.SharesPermille.end())
    return *it;
  return share < FullSharePermille ? std::optional(FullSharePermille)
                                   : std::nullopt;
}

/// Returns whether the share must rise now so that the remaining steps fit
/// before the deadline.
bool mustRaiseShare(const MoveStep &s) {
  const std::uint32_t share = s.Track.Snapshot.Row.SharePermille;
  const auto left = s.Spec.SharesPermille.end() -
                    std::upper_bound(s.Spec.SharesPermille.begin(),
                                     s.Spec.SharesPermille.end(), share);
  const Duration needed = s.Spec.MinStepInterval * (left + 1) + DeadlineMargin;
  return s.Wall + std::chrono::ceil<std::chrono::milliseconds>(needed) >=
         s.Spec.Deadline;
}

bool mayRaiseShare(const MoveStep &s) {
  if (s.Track.Snapshot.Row.SharePermille == 0)
    return true;
  if (s.Now - s.Track.ShareChangedAt < s.Spec.MinStepInterval)
    return false;
  const std::uint64_t served =
      newVersionRequests(s.View.Evaluator, s.Spec.Id) - s.Track.RequestsAtShare;
  return served >= MinRequestsPerShare || mustRaiseShare(s);
}

bool isDeadlineNear(const MoveStep &s) {
  return s.Wall +
             std::chrono::ceil<std::chrono::milliseconds>(DeadlineMargin) >=
         s.Spec.Deadline;
}

/// Ends the move at its deadline: completed if the new version has the full
/// share, rolled back otherwise.
void endAtDeadline(MoveStep &s) {
  const std::uint32_t share = s.Track.Snapshot.Row.SharePermille;
  if (share >= FullSharePermille)
    return setStage(s, MoveStage::Completed, share);
  rollBack(s, "the deadline came at a share of " + std::to_string(share) +
                  " permille");
}

/// Performs a step on the VM that holds the lease.
void stepLeader(MoveStep &s) {
  const std::uint32_t share = s.Track.Snapshot.Row.SharePermille;
  if (isDeadlineNear(s))
    return endAtDeadline(s);
  orderEndpoints(s);
  if (isNewVersionServed(s) && mayRaiseShare(s)) {
    const auto next = nextShare(s.Spec, share);
    s.Track.RequestsAtShare = newVersionRequests(s.View.Evaluator, s.Spec.Id);
    return next ? setStage(s, MoveStage::Moving, *next)
                : setStage(s, MoveStage::Completed, share);
  }
  if (s.Now >= s.Track.RenewAt)
    renewLease(s);
}

/// Returns whether the pending request may still get a response, and drops it
/// if it has timed out.
bool awaitsResponse(MoveStep &s) {
  if (s.Track.PendingRequest.RequestNumber == 0)
    return false;
  if (s.Now - s.Track.PendingSince < TableCallTimeout)
    return true;
  s.Track.PendingRequest = {};
  return false;
}

/// Performs a step on a VM that doesn't hold the lease.
void stepStandby(MoveStep &s, std::size_t rank) {
  const bool absent = s.Track.Snapshot.Version == 0;
  const Duration silent = s.Now - s.Track.SnapshotChangedAt;
  const Duration wait = (absent ? Duration::zero() : LeaseTakeoverTimeout) +
                        LeaseTakeoverStagger * static_cast<std::int64_t>(rank);
  if (silent >= wait)
    return takeLease(s);
  if (s.Now >= s.Track.NextReadAt)
    readRow(s);
}

void stepMove(MoveStep &s) {
  TrackedMove &t = s.Track;
  const std::size_t rank = rankOf(s.Ctl, s.View.Members, s.Spec.Id);
  const bool leader = holdsLease(s.Ctl, s.Spec.Id, s.Now);
  if (isFinal(t.Snapshot.Row.Stage) || awaitsResponse(s) ||
      (!leader && rank >= LeaseCandidateCount))
    return;
  const bool current = t.HasSnapshot && !t.WriteUndetermined;
  if (!current) {
    if (s.Now >= t.NextReadAt)
      readRow(s);
    return;
  }
  if (t.Snapshot.Version != 0 && isBad(s))
    return rollBack(s, badReason(s));
  if (leader)
    return stepLeader(s);
  stepStandby(s, rank);
}

bool isOwnLease(const MoveController &ctl, const MoveRow &row) noexcept {
  return row.Holder == ctl.Self && row.HolderIncarnation == ctl.Incarnation;
}

/// Stores a row that was read or written. No other VM can have read this
/// version of the row before \p since, so a lease in it lasts LeaseTtl from
/// then.
void storeSnapshot(const MoveController &ctl, TrackedMove &t,
                   const MoveRowSnapshot &snap, Time since, Time now) {
  const MoveRow &old = t.Snapshot.Row;
  check(Invariant::MoveEndsOnce,
        !isFinal(old.Stage) || old.Stage == snap.Row.Stage);
  if (!t.HasSnapshot || snap.Version != t.Snapshot.Version)
    t.SnapshotChangedAt = now;
  if (old.SharePermille != snap.Row.SharePermille ||
      old.FencingToken != snap.Row.FencingToken)
    t.ShareChangedAt = now;
  const bool written = snap.Version > t.Snapshot.Version;
  t.Snapshot = snap;
  t.HasSnapshot = true;
  if (!isOwnLease(ctl, snap.Row))
    t.LeaseExpiry = Time{};
  else if (written) {
    t.LeaseExpiry = since + LeaseTtl;
    t.RenewAt = since + LeaseRenewPeriod;
  }
}

} // namespace

void step(MoveController &ctl, const MoveView &view, Time now, WallTime wall,
          MoveActions &out) {
  std::erase_if(ctl.TrackedMoves, [&](const auto &it) {
    return std::none_of(view.ActiveBundle.Moves.begin(),
                        view.ActiveBundle.Moves.end(),
                        [&](const auto &m) { return m.Id == it.first; });
  });
  for (const MoveSpec &spec : view.ActiveBundle.Moves) {
    MoveStep s{ctl, ctl.TrackedMoves[spec.Id], spec, view, now, wall, out};
    stepMove(s);
  }
}

void onMoveRowResponse(MoveController &ctl, const MoveRowResponse &resp,
                       Time now) {
  const auto it = ctl.TrackedMoves.find(resp.Move);
  if (it == ctl.TrackedMoves.end() ||
      it->second.PendingRequest.RequestNumber != resp.RequestNumber)
    return;
  TrackedMove &t = it->second;
  const MoveRowRequest req = std::exchange(t.PendingRequest, {});
  if (!resp.Received) {
    t.NextReadAt = now + MoveRowReadPeriod;
    return;
  }
  const bool applied = req.Write && resp.Applied;
  storeSnapshot(ctl, t, resp.Snapshot,
                applied ? t.PendingSince : t.LastAnsweredSentAt, now);
  t.LastAnsweredSentAt = t.PendingSince;
  t.WriteUndetermined = false;
}

MoveState moveStateOf(const MoveController &ctl, MoveId id) {
  const auto it = ctl.TrackedMoves.find(id);
  if (it == ctl.TrackedMoves.end() || it->second.Snapshot.Version == 0)
    return {};
  const MoveRow &row = it->second.Snapshot.Row;
  MoveState st;
  st.Id = id;
  st.FencingToken = row.FencingToken;
  st.SharePermille = row.SharePermille;
  st.Stage = row.Stage;
  st.VersionIsBad = row.VersionIsBad;
  st.BadReason = row.BadReason;
  return st;
}

bool holdsLease(const MoveController &ctl, MoveId id, Time now) noexcept {
  const auto it = ctl.TrackedMoves.find(id);
  return it != ctl.TrackedMoves.end() && now < it->second.LeaseExpiry;
}

} // namespace zinniagauge
