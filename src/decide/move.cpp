#include "zinniagauge/decide/move.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/share.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace zinniagauge {

namespace {

/// One move's step: what it reads and writes.
struct MoveStep {
  MoveController &Ctl;
  MoveTrack &Track;
  const MoveSpec &Spec;
  const MoveView &View;
  Time Now;
  WallTime Wall;
  MoveChanges &Out;
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
  return s.Track.Seen.Row.Bad || (st && st->Bad);
}

std::string whyBad(const MoveStep &s) {
  const MoveState *st = noted(s);
  return st && !st->Evidence.empty() ? st->Evidence : s.Track.Seen.Row.Evidence;
}

void ask(MoveStep &s, MoveAsk what) {
  what.Move = s.Spec.Id;
  what.Number = s.Ctl.NextNumber++;
  s.Track.Open = what;
  s.Track.OpenSince = s.Now;
  s.Track.Unsettled = s.Track.Unsettled || what.Write;
  s.Out.Asks.push_back(std::move(what));
}

void read(MoveStep &s) {
  s.Track.NextRead = s.Now + ReadPeriod;
  ask(s, {});
}

void write(MoveStep &s, MoveRow next) {
  MoveAsk what;
  what.Write = true;
  what.Next = std::move(next);
  what.Expected = s.Track.Seen.Version;
  ask(s, std::move(what));
}

void setStage(MoveStep &s, MoveStage stage, std::uint32_t share) {
  MoveRow next = s.Track.Seen.Row;
  next.Stage = stage;
  next.SharePermille = share;
  next.Changed = s.Wall;
  write(s, std::move(next));
}

void takeBack(MoveStep &s, std::string why) {
  MoveRow next = s.Track.Seen.Row;
  next.Stage = MoveStage::TakenBack;
  next.SharePermille = 0;
  next.Bad = isBad(s);
  next.Evidence = std::move(why);
  next.Changed = s.Wall;
  write(s, std::move(next));
}

void takeLease(MoveStep &s) {
  MoveRow next = s.Track.Seen.Row;
  ++next.Fence;
  next.Holder = s.Ctl.Self;
  next.HolderIncarnation = s.Ctl.Incarnation;
  next.Renewals = 0;
  if (s.Track.Seen.Version == 0)
    next.Changed = s.Wall;
  write(s, std::move(next));
}

void renew(MoveStep &s) {
  MoveRow next = s.Track.Seen.Row;
  ++next.Renewals;
  write(s, std::move(next));
}

bool isNew(const MoveStep &s, const EndpointSpec &ep) noexcept {
  return ep.Pool == s.Spec.Pool && ep.Version == s.Spec.To;
}

bool reportsNew(const MoveStep &s, const EndpointSpec &ep) noexcept {
  const EndpointState *st = findState(s.View.Endpoints, ep.Id);
  return st && st->Reported == s.Spec.To;
}

bool isServed(const MoveStep &s) noexcept {
  const auto &all = s.View.InForce.Endpoints;
  return std::any_of(all.begin(), all.end(), [&](const EndpointSpec &ep) {
    const EndpointState *st = findState(s.View.Endpoints, ep.Id);
    return isNew(s, ep) && reportsNew(s, ep) && !st->Leaving;
  });
}

/// Orders the endpoints of the new version that don't report to serve it. What
/// they report then is looked at again in each step.
void order(MoveStep &s) {
  if (s.Track.LeaseEnd - s.Now <= OrderTimeout)
    return;
  for (const EndpointSpec &ep : s.View.InForce.Endpoints) {
    if (!isNew(s, ep) || reportsNew(s, ep))
      continue;
    const auto it = s.Track.Ordered.find(ep.Id);
    if (it != s.Track.Ordered.end() && s.Now - it->second < OrderPeriod)
      continue;
    s.Track.Ordered.insert_or_assign(ep.Id, s.Now);
    s.Out.Orders.push_back({ep.Id, s.Spec.To, s.Spec.ToLabel,
                            s.Track.Seen.Row.Fence,
                            s.Track.LeaseEnd - OrderTimeout});
  }
}

/// The share after \p share, or nothing after the last.
std::optional<std::uint32_t> nextShare(const MoveSpec &m,
                                       std::uint32_t share) noexcept {
  const auto it =
      std::upper_bound(m.SharesPermille.begin(), m.SharesPermille.end(), share);
  if (it != m.SharesPermille.end())
    return *it;
  return share < FullShare ? std::optional(FullShare) : std::nullopt;
}

/// Whether the share must rise now for the rest to fit before the deadline.
bool mustHurry(const MoveStep &s) {
  const std::uint32_t share = s.Track.Seen.Row.SharePermille;
  const auto left = s.Spec.SharesPermille.end() -
                    std::upper_bound(s.Spec.SharesPermille.begin(),
                                     s.Spec.SharesPermille.end(), share);
  const Duration needed = s.Spec.StepTime * (left + 1) + EndMargin;
  return s.Wall + std::chrono::ceil<std::chrono::milliseconds>(needed) >=
         s.Spec.Deadline;
}

bool mayStep(const MoveStep &s) {
  if (s.Track.Seen.Row.SharePermille == 0)
    return true;
  if (s.Now - s.Track.ShareSince < s.Spec.StepTime)
    return false;
  const std::uint64_t had =
      newRequests(s.View.Seen, s.Spec.Id) - s.Track.RequestsAtShare;
  return had >= RequestsPerShare || mustHurry(s);
}

bool isDue(const MoveStep &s) {
  return s.Wall + std::chrono::ceil<std::chrono::milliseconds>(EndMargin) >=
         s.Spec.Deadline;
}

/// Ends the move at its deadline: completed if only the new version served.
void endAtDeadline(MoveStep &s) {
  const std::uint32_t share = s.Track.Seen.Row.SharePermille;
  if (share >= FullShare)
    return setStage(s, MoveStage::Completed, share);
  takeBack(s, "the deadline came at a share of " + std::to_string(share) +
                  " permille");
}

/// One step of the VM that holds the lease.
void lead(MoveStep &s) {
  const std::uint32_t share = s.Track.Seen.Row.SharePermille;
  if (isDue(s))
    return endAtDeadline(s);
  order(s);
  if (isServed(s) && mayStep(s)) {
    const auto next = nextShare(s.Spec, share);
    s.Track.RequestsAtShare = newRequests(s.View.Seen, s.Spec.Id);
    return next ? setStage(s, MoveStage::Moving, *next)
                : setStage(s, MoveStage::Completed, share);
  }
  if (s.Now >= s.Track.RenewAt)
    renew(s);
}

/// Whether the call that is open still may be answered.
bool waits(MoveStep &s) {
  if (s.Track.Open.Number == 0)
    return false;
  if (s.Now - s.Track.OpenSince < AskTimeout)
    return true;
  s.Track.Open = {};
  return false;
}

/// One step of a VM that doesn't hold the lease.
void standBy(MoveStep &s, std::size_t rank) {
  const bool absent = s.Track.Seen.Version == 0;
  const Duration silent = s.Now - s.Track.SeenAt;
  const Duration wait = (absent ? Duration::zero() : TakeAfter) +
                        TakeStagger * static_cast<std::int64_t>(rank);
  if (silent >= wait)
    return takeLease(s);
  if (s.Now >= s.Track.NextRead)
    read(s);
}

void stepMove(MoveStep &s) {
  MoveTrack &t = s.Track;
  const std::size_t rank = rankOf(s.Ctl, s.View.Members, s.Spec.Id);
  const bool leads = holds(s.Ctl, s.Spec.Id, s.Now);
  if (isFinal(t.Seen.Row.Stage) || waits(s) || (!leads && rank >= MoveReaders))
    return;
  const bool settled = t.Known && !t.Unsettled;
  if (!settled) {
    if (s.Now >= t.NextRead)
      read(s);
    return;
  }
  if (t.Seen.Version != 0 && isBad(s))
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
void absorb(const MoveController &ctl, MoveTrack &t, const MoveRowSeen &seen,
            Time since, Time now) {
  const MoveRow &old = t.Seen.Row;
  check(Invariant::MoveEndsOnce,
        !isFinal(old.Stage) || old.Stage == seen.Row.Stage);
  if (!t.Known || seen.Version != t.Seen.Version)
    t.SeenAt = now;
  if (old.SharePermille != seen.Row.SharePermille ||
      old.Fence != seen.Row.Fence)
    t.ShareSince = now;
  const bool written = seen.Version > t.Seen.Version;
  t.Seen = seen;
  t.Known = true;
  if (!isOwn(ctl, seen.Row))
    t.LeaseEnd = Time{};
  else if (written) {
    t.LeaseEnd = since + LeaseTtl;
    t.RenewAt = since + RenewPeriod;
  }
}

} // namespace

void step(MoveController &ctl, const MoveView &view, Time now, WallTime wall,
          MoveChanges &out) {
  std::erase_if(ctl.Tracks, [&](const auto &it) {
    return std::none_of(view.InForce.Moves.begin(), view.InForce.Moves.end(),
                        [&](const auto &m) { return m.Id == it.first; });
  });
  for (const MoveSpec &spec : view.InForce.Moves) {
    MoveStep s{ctl, ctl.Tracks[spec.Id], spec, view, now, wall, out};
    stepMove(s);
  }
}

void onAnswer(MoveController &ctl, const MoveAnswer &ans, Time now) {
  const auto it = ctl.Tracks.find(ans.Move);
  if (it == ctl.Tracks.end() || it->second.Open.Number != ans.Number)
    return;
  MoveTrack &t = it->second;
  const MoveAsk asked = std::exchange(t.Open, {});
  if (!ans.Answered) {
    t.NextRead = now + ReadPeriod;
    return;
  }
  const bool applied = asked.Write && ans.Applied;
  absorb(ctl, t, ans.Seen, applied ? t.OpenSince : t.Confirmed, now);
  t.Confirmed = t.OpenSince;
  t.Unsettled = false;
}

MoveState stateOf(const MoveController &ctl, MoveId id) {
  const auto it = ctl.Tracks.find(id);
  if (it == ctl.Tracks.end() || it->second.Seen.Version == 0)
    return {};
  const MoveRow &row = it->second.Seen.Row;
  MoveState st;
  st.Id = id;
  st.Fence = row.Fence;
  st.SharePermille = row.SharePermille;
  st.Stage = row.Stage;
  st.Bad = row.Bad;
  st.Evidence = row.Evidence;
  return st;
}

bool holds(const MoveController &ctl, MoveId id, Time now) noexcept {
  const auto it = ctl.Tracks.find(id);
  return it != ctl.Tracks.end() && now < it->second.LeaseEnd;
}

} // namespace zinniagauge
