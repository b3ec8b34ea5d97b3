#include "zinniagauge/decide/claim.h"

#include <algorithm>
#include <string>
#include <utility>

namespace zinniagauge {

namespace {

bool isMine(const Claims &c, RequestId id, const ClaimRow &row) noexcept {
  return row.Holder == id && row.Vm == c.Self &&
         row.Incarnation == c.Incarnation;
}

ClaimRow rowOf(const Claims &c, RequestId id) noexcept {
  return {id, c.Self, c.Incarnation, std::nullopt};
}

bool hasKey(const ClaimBatch &batch, const ClaimKey &key) noexcept {
  return std::any_of(batch.Ops.begin(), batch.Ops.end(),
                     [&](const ClaimOp &op) { return op.Key == key; });
}

ClaimOp opOf(const Claims &c, const PendingClaim &p) noexcept {
  const ClaimRow row = rowOf(c, p.Request);
  switch (p.Stage) {
  case ClaimStage::Put:
    return {ClaimOpKind::PutIfAbsent, p.Key, row, 0};
  case ClaimStage::TakeOver:
    return {ClaimOpKind::Replace, p.Key, row, p.Expected};
  case ClaimStage::ReadBack:
    break;
  }
  return {ClaimOpKind::Read, p.Key, {}, 0};
}

/// A record writes the whole row if it is absent: the claim's own put may still
/// be on its way, and must then find the row taken.
ClaimOp opOf(const Claims &c, const PendingRecord &r) noexcept {
  ClaimRow row = rowOf(c, r.Request);
  row.Ended = r.Result;
  if (r.Expected == 0)
    return {ClaimOpKind::PutIfAbsent, r.Key, row, 0};
  return {ClaimOpKind::Replace, r.Key, row, r.Expected};
}

template <typename T>
void gather(const Claims &c, const std::vector<T> &list, ClaimBatch &batch) {
  for (const T &it : list) {
    if (batch.Ops.size() >= c.Limits.MostOps)
      return;
    if (!hasKey(batch, it.Key))
      batch.Ops.push_back(opOf(c, it));
  }
}

PendingClaim *findClaim(Claims &c, const ClaimOp &op) noexcept {
  const auto it = std::find_if(
      c.Pending.begin(), c.Pending.end(), [&](const PendingClaim &p) {
        return p.Key == op.Key &&
               (op.Kind == ClaimOpKind::Read || p.Request == op.Row.Holder);
      });
  return it == c.Pending.end() ? nullptr : &*it;
}

/// The first claim or record of an operation's key: the one it was made for.
PendingRecord *findRecord(Claims &c, const ClaimOp &op) noexcept {
  const auto it = std::find_if(
      c.Records.begin(), c.Records.end(), [&](const PendingRecord &r) {
        return r.Key == op.Key && r.Request == op.Row.Holder;
      });
  return it == c.Records.end() ? nullptr : &*it;
}

void decide(Claims &c, RequestId id, ClaimResult res, ClaimChanges &out) {
  std::erase_if(c.Pending,
                [&](const PendingClaim &p) { return p.Request == id; });
  out.Decided.push_back({id, res});
}

void takeClaimResult(Claims &c, PendingClaim &p, const ClaimOpResult &res,
                     ClaimChanges &out) {
  const RequestId id = p.Request;
  if (!res.Found) {
    p.Stage = ClaimStage::Put;
    return;
  }
  if (isMine(c, id, *res.Found)) {
    c.Held[id] = {p.Key, res.Version};
    decide(c, id, {ClaimStatus::Mine, {}, {}}, out);
    return;
  }
  if (res.Found->Ended == Outcome::NotRun) {
    p.Stage = ClaimStage::TakeOver;
    p.Expected = res.Version;
    return;
  }
  decide(c, id, {ClaimStatus::Other, res.Found->Ended, {}}, out);
}

void takeRecordResult(Claims &c, PendingRecord &r, const ClaimOpResult &res) {
  const RequestId id = r.Request;
  const bool written = res.Applied || (res.Found && res.Found->Ended);
  if (!written && res.Found && isMine(c, id, *res.Found)) {
    r.Expected = res.Version;
    return;
  }
  // Written, or the row is another's by now.
  std::erase_if(c.Records,
                [&](const PendingRecord &it) { return it.Request == id; });
}

void takeResult(Claims &c, const ClaimOp &op, const ClaimOpResult &res,
                ClaimChanges &out) {
  if (op.Row.Ended) {
    if (PendingRecord *r = findRecord(c, op))
      takeRecordResult(c, *r, res);
  } else if (PendingClaim *p = findClaim(c, op)) {
    takeClaimResult(c, *p, res, out);
  }
}

/// The operations may have been applied: their rows are read before anything
/// else is done about them.
void readBack(Claims &c, const ClaimBatch &batch) {
  for (const ClaimOp &op : batch.Ops) {
    if (op.Row.Ended || op.Kind == ClaimOpKind::Read)
      continue;
    if (PendingClaim *p = findClaim(c, op)) {
      p->MayBeWritten = true;
      p->Stage = ClaimStage::ReadBack;
    }
  }
}

/// Ends a claim that is not decided. Its row may be there nevertheless, now or
/// later, and is then held until its outcome is recorded.
void forget(Claims &c, const PendingClaim &p) {
  const bool inflight = c.InFlight && hasKey(*c.InFlight, p.Key);
  if (p.MayBeWritten || inflight)
    c.Held[p.Request] = {p.Key, 0};
}

void expire(Claims &c, Time now, ClaimChanges &out) {
  std::erase_if(c.Pending, [&](const PendingClaim &p) {
    if (p.Due > now)
      return false;
    forget(c, p);
    out.Decided.push_back({p.Request, {ClaimStatus::Unreadable, {}, {}}});
    return true;
  });
}

} // namespace

ClaimKey claimKeyOf(WorkspaceId ws, std::string_view key) {
  std::string salted(key);
  salted.push_back('\0');
  return {ws, nameHash(key), nameHash(salted)};
}

void askClaim(Claims &c, RequestId id, const ClaimKey &key, Time now) {
  c.Pending.push_back({id, key, now + c.Limits.Timeout, {}, 0, false});
}

void recordOutcome(Claims &c, RequestId id, Outcome oc) {
  std::erase_if(c.Pending, [&](const PendingClaim &p) {
    if (p.Request != id)
      return false;
    forget(c, p);
    return true;
  });
  const auto held = c.Held.find(id);
  if (held == c.Held.end())
    return;
  const HeldClaim row = held->second;
  c.Held.erase(held);
  // A row without an outcome says as much as one that says unknown.
  if (oc != Outcome::Unknown && c.Records.size() < c.Limits.MostRecords)
    c.Records.push_back({id, row.Key, oc, row.Version});
}

void step(Claims &c, Time now, ClaimChanges &out) {
  expire(c, now, out);
  if (c.InFlight || now < c.RetryAt)
    return;
  ClaimBatch batch;
  gather(c, c.Pending, batch);
  gather(c, c.Records, batch);
  if (batch.Ops.empty())
    return;
  batch.Number = ++c.LastBatch;
  c.InFlight = batch;
  out.Batch = std::move(batch);
}

void onBatch(Claims &c, const ClaimBatchAnswer &ans, Time now,
             ClaimChanges &out) {
  if (!c.InFlight || c.InFlight->Number != ans.Number)
    return;
  const ClaimBatch batch = *std::exchange(c.InFlight, std::nullopt);
  const bool answered =
      ans.Fate == BatchFate::Answered && ans.Results.size() == batch.Ops.size();
  if (!answered) {
    if (ans.Fate != BatchFate::NoEffect)
      readBack(c, batch);
    c.RetryAt = now + c.Limits.Pause;
    return;
  }
  for (std::size_t n = 0; n < batch.Ops.size(); ++n)
    takeResult(c, batch.Ops[n], ans.Results[n], out);
}

Time dueAt(const Claims &c) noexcept {
  Time due = Time::max();
  for (const PendingClaim &p : c.Pending)
    due = std::min(due, p.Due);
  const bool waits = !c.Pending.empty() || !c.Records.empty();
  return waits && !c.InFlight ? std::min(due, c.RetryAt) : due;
}

} // namespace zinniagauge
