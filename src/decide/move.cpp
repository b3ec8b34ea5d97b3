#include "zinniagauge/decide/move.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/share_gate.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace zinniagauge {

namespace {

/// One move's step: what it reads and writes.
struct MoveStep {
  MoveController &Ctl;
  TrackedMove &Track;
  const MoveSpec &Spec;
  const MoveView &View;
  Time Now;
  WallTime Wall;
  MoveActions &Out;
};

/// How many live VMs come before \p ctl's in the order that the move's hash
/// gives.
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

const MoveState *noted(const MoveStep &s) noexcept {
  const auto &list = s.View.Moves.Moves;
  const auto it = std::find_if(list.begin(), list.end(), [&](const auto &st) {
    return st.Id == s.Spec.Id;
  });
  return it == list.end() ? nullptr : &*it;
}

bool isBad(const MoveStep &s) noexcept {
  const MoveState *st = noted(s);
  return s.Track.Snapshot.Row.Bad || (st && st->VersionIsBad);
}

std::string whyBad(const MoveStep &s) {
  const MoveState *st = noted(s);
  return st && !st->BadReason.empty() ? st->BadReason
                                      : s.Track.Snapshot.Row.Evidence;
}

void ask(MoveStep &s, MoveRowRequest what) {
  what.Move = s.Spec.Id;
  what.RequestNumber = s.Ctl.NextRequestNumber++;
  s.Track.PendingRequest = what;
  s.Track.PendingSince = s.Now;
  s.Track.WriteUndetermined = s.Track.WriteUndetermined || what.Write;
  s.Out.Requests.push_back(std::move(what));
}

void read(MoveStep &s) {
  s.Track.NextReadAt = s.Now + MoveRowReadPeriod;
  ask(s, {});
}

void write(MoveStep &s, MoveRow next) {
  MoveRowRequest what;
  what.Write = true;
  what.NewRow = std::move(next);
  what.ExpectedVersion = s.Track.Snapshot.Version;
  ask(s, std::move(what));
}

void setStage(MoveStep &s, MoveStage stage, std::uint32_t share) {
  MoveRow next = s.Track.Snapshot.Row;
  next.Stage = stage;
  next.SharePermille = share;
  next.ChangedAt = s.Wall;
  write(s, std::move(next));
}

void takeBack(MoveStep &s, std::string why) {
  MoveRow next = s.Track.Snapshot.Row;
  next.Stage = MoveStage::RolledBack;
  next.SharePermille = 0;
  next.Bad = isBad(s);
  next.Evidence = std::move(why);
  next.ChangedAt = s.Wall;
  write(s, std::move(next));
}

void takeLease(MoveStep &s) {
  MoveRow next = s.Track.Snapshot.Row;
  ++next.FencingToken;
  next.Holder = s.Ctl.Self;
  next.HolderIncarnation = s.Ctl.Incarnation;
  next.Renewals = 0;
  if (s.Track.Snapshot.Version == 0)
    next.ChangedAt = s.Wall;
  write(s, std::move(next));
}

void renew(MoveStep &s) {
  MoveRow next = s.Track.Snapshot.Row;
  ++next.Renewals;
  write(s, std::move(next));
}

bool isNew(const MoveStep &s, const EndpointSpec &ep) noexcept {
  return ep.Pool == s.Spec.Pool && ep.Version == s.Spec.NewVersion;
}

bool reportsNew(const MoveStep &s, const EndpointSpec &ep) noexcept {
  const EndpointState *st = findEndpointState(s.View.Endpoints, ep.Id);
  return st && st->ReportedVersion == s.Spec.NewVersion;
}

bool isServed(const MoveStep &s) noexcept {
  const auto &all = s.View.ActiveBundle.Endpoints;
  return std::any_of(all.begin(), all.end(), [&](const EndpointSpec &ep) {
    const EndpointState *st = findEndpointState(s.View.Endpoints, ep.Id);
    return isNew(s, ep) && reportsNew(s, ep) && !st->Leaving;
  });
}

/// Orders the endpoints of the new version that don't report to serve it. What
/// they report then is looked at again in each step.
void order(MoveStep &s) {
  if (s.Track.LeaseExpiry - s.Now <= OrderTimeout)
    return;
  for (const EndpointSpec &ep : s.View.ActiveBundle.Endpoints) {
    if (!isNew(s, ep) || reportsNew(s, ep))
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

/// The share after \p share, or nothing after the last.
std::optional<std::uint32_t> nextShare(const MoveSpec &m,
                                       std::uint32_t share) noexcept {
  const auto it =
      std::upper_bound(m.SharesPermille.begin(), m.SharesPermille.end(), share);
  if (it != m.SharesPermille.end())
    return *it;
  return share < FullSharePermille ? std::optional(FullSharePermille)
                                   : std::nullopt;
}

/// Whether the share must rise now for the rest to fit before the deadline.
bool mustHurry(const MoveStep &s) {
  const std::uint32_t share = s.Track.Snapshot.Row.SharePermille;
  const auto left = s.Spec.SharesPermille.end() -
                    std::upper_bound(s.Spec.SharesPermille.begin(),
                                     s.Spec.SharesPermille.end(), share);
  const Duration needed = s.Spec.MinStepInterval * (left + 1) + DeadlineMargin;
  return s.Wall + std::chrono::ceil<std::chrono::milliseconds>(needed) >=
         s.Spec.Deadline;
}

bool mayStep(const MoveStep &s) {
  if (s.Track.Snapshot.Row.SharePermille == 0)
    return true;
  if (s.Now - s.Track.ShareChangedAt < s.Spec.MinStepInterval)
    return false;
  const std::uint64_t had =
      newVersionRequests(s.View.Evaluator, s.Spec.Id) - s.Track.RequestsAtShare;
  return had >= MinRequestsPerShare || mustHurry(s);
}

bool isDue(const MoveStep &s) {
  return s.Wall +
             std::chrono::ceil<std::chrono::milliseconds>(DeadlineMargin) >=
         s.Spec.Deadline;
}

/// Ends the move at its deadline: completed if only the new version served.
void endAtDeadline(MoveStep &s) {
  const std::uint32_t share = s.Track.Snapshot.Row.SharePermille;
  if (share >= FullSharePermille)
    return setStage(s, MoveStage::Completed, share);
  takeBack(s, "the deadline came at a share of " + std::to_string(share) +
                  " permille");
}

/// One step of the VM that holds the lease.
void lead(MoveStep &s) {
  const std::uint32_t share = s.Track.Snapshot.Row.SharePermille;
  if (isDue(s))
    return endAtDeadline(s);
  order(s);
  if (isServed(s) && mayStep(s)) {
    const auto next = nextShare(s.Spec, share);
    s.Track.RequestsAtShare = newVersionRequests(s.View.Evaluator, s.Spec.Id);
    return next ? setStage(s, MoveStage::Moving, *next)
                : setStage(s, MoveStage::Completed, share);
  }
  if (s.Now >= s.Track.RenewAt)
    renew(s);
}

/// Whether the call that is open still may be answered.
bool waits(MoveStep &s) {
  if (s.Track.PendingRequest.RequestNumber == 0)
    return false;
  if (s.Now - s.Track.PendingSince < TableCallTimeout)
    return true;
  s.Track.PendingRequest = {};
  return false;
}

/// One step of a VM that doesn't hold the lease.
void standBy(MoveStep &s, std::size_t rank) {
  const bool absent = s.Track.Snapshot.Version == 0;
  const Duration silent = s.Now - s.Track.SnapshotChangedAt;
  const Duration wait = (absent ? Duration::zero() : LeaseTakeoverTimeout) +
                        LeaseTakeoverStagger * static_cast<std::int64_t>(rank);
  if (silent >= wait)
    return takeLease(s);
  if (s.Now >= s.Track.NextReadAt)
    read(s);
}

void stepMove(MoveStep &s) {
  TrackedMove &t = s.Track;
  const std::size_t rank = rankOf(s.Ctl, s.View.Members, s.Spec.Id);
  const bool leads = holdsLease(s.Ctl, s.Spec.Id, s.Now);
  if (isFinal(t.Snapshot.Row.Stage) || waits(s) ||
      (!leads && rank >= LeaseCandidateCount))
    return;
  const bool settled = t.HasSnapshot && !t.WriteUndetermined;
  if (!settled) {
    if (s.Now >= t.NextReadAt)
      read(s);
    return;
  }
  if (t.Snapshot.Version != 0 && isBad(s))
    return takeBack(s, whyBad(s));
  if (leads)
    return lead(s);
  standBy(s, rank);
}

bool isOwn(const MoveController &ctl, const MoveRow &row) noexcept {
  return row.Holder == ctl.Self && row.HolderIncarnation == ctl.Incarnation;
}

/// Takes a row over as it was read or written. No other VM can have seen it
/// before \p since, so a lease that it gives lasts LeaseTtl from then.
void absorb(const MoveController &ctl, TrackedMove &t,
            const MoveRowSnapshot &seen, Time since, Time now) {
  const MoveRow &old = t.Snapshot.Row;
  check(Invariant::MoveEndsOnce,
        !isFinal(old.Stage) || old.Stage == seen.Row.Stage);
  if (!t.HasSnapshot || seen.Version != t.Snapshot.Version)
    t.SnapshotChangedAt = now;
  if (old.SharePermille != seen.Row.SharePermille ||
      old.FencingToken != seen.Row.FencingToken)
    t.ShareChangedAt = now;
  const bool written = seen.Version > t.Snapshot.Version;
  t.Snapshot = seen;
  t.HasSnapshot = true;
  if (!isOwn(ctl, seen.Row))
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

void onMoveRowResponse(MoveController &ctl, const MoveRowResponse &ans,
                       Time now) {
  const auto it = ctl.TrackedMoves.find(ans.Move);
  if (it == ctl.TrackedMoves.end() ||
      it->second.PendingRequest.RequestNumber != ans.RequestNumber)
    return;
  TrackedMove &t = it->second;
  const MoveRowRequest asked = std::exchange(t.PendingRequest, {});
  if (!ans.Received) {
    t.NextReadAt = now + MoveRowReadPeriod;
    return;
  }
  const bool applied = asked.Write && ans.Applied;
  absorb(ctl, t, ans.Snapshot, applied ? t.PendingSince : t.LastAnsweredSentAt,
         now);
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
  st.VersionIsBad = row.Bad;
  st.BadReason = row.Evidence;
  return st;
}

bool holdsLease(const MoveController &ctl, MoveId id, Time now) noexcept {
  const auto it = ctl.TrackedMoves.find(id);
  return it != ctl.TrackedMoves.end() && now < it->second.LeaseExpiry;
}

} // namespace zinniagauge
