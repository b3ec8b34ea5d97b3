#include "zinniagauge/decide/claim.h"

#include <algorithm>
#include <string>
#include <utility>

namespace zinniagauge {

namespace {

bool isHeldBy(const Claims &c, RequestId id, const ClaimRow &row) noexcept {
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
    return {ClaimOpKind::Replace, p.Key, row, p.ExpectedVersion};
  case ClaimStage::ReadBack:
    break;
  }
  return {ClaimOpKind::Read, p.Key, {}, 0};
}

/// Writing an outcome creates the whole row if it is absent: the put of the
/// claim itself may still arrive, and must then find the row present.
ClaimOp opOf(const Claims &c, const PendingOutcome &r) noexcept {
  ClaimRow row = rowOf(c, r.Request);
  row.HolderOutcome = r.Result;
  if (r.ExpectedVersion == 0)
    return {ClaimOpKind::PutIfAbsent, r.Key, row, 0};
  return {ClaimOpKind::Replace, r.Key, row, r.ExpectedVersion};
}

template <typename T>
void appendOps(const Claims &c, const std::vector<T> &list, ClaimBatch &batch) {
  for (const T &it : list) {
    if (batch.Ops.size() >= c.Limits.MaxBatchOps)
      return;
    if (!hasKey(batch, it.Key))
      batch.Ops.push_back(opOf(c, it));
  }
}

/// The pending claim that \p op was made for: the first of its key.
PendingClaim *findClaim(Claims &c, const ClaimOp &op) noexcept {
  const auto it =
      std::find_if(c.PendingClaims.begin(), c.PendingClaims.end(),
                   [&](const PendingClaim &p) {
                     return p.Key == op.Key && (op.Kind == ClaimOpKind::Read ||
                                                p.Request == op.NewRow.Holder);
                   });
  return it == c.PendingClaims.end() ? nullptr : &*it;
}

/// The pending outcome that \p op was made for: the first of its key.
PendingOutcome *findPendingOutcome(Claims &c, const ClaimOp &op) noexcept {
  const auto it =
      std::find_if(c.PendingOutcomes.begin(), c.PendingOutcomes.end(),
                   [&](const PendingOutcome &r) {
                     return r.Key == op.Key && r.Request == op.NewRow.Holder;
                   });
  return it == c.PendingOutcomes.end() ? nullptr : &*it;
}

void decide(Claims &c, RequestId id, ClaimResult res, ClaimActions &out) {
  std::erase_if(c.PendingClaims,
                [&](const PendingClaim &p) { return p.Request == id; });
  out.Decisions.push_back({id, res});
}

void onClaimResult(Claims &c, PendingClaim &p, const ClaimOpResult &res,
                   ClaimActions &out) {
  const RequestId id = p.Request;
  if (!res.CurrentRow) {
    p.Stage = ClaimStage::Put;
    return;
  }
  if (isHeldBy(c, id, *res.CurrentRow)) {
    c.HeldClaims[id] = {p.Key, res.Version};
    decide(c, id, {ClaimStatus::Acquired, {}, {}}, out);
    return;
  }
  if (res.CurrentRow->HolderOutcome == Outcome::NotRun) {
    p.Stage = ClaimStage::TakeOver;
    p.ExpectedVersion = res.Version;
    return;
  }
  decide(c, id, {ClaimStatus::HeldByOther, res.CurrentRow->HolderOutcome, {}},
         out);
}

void onOutcomeResult(Claims &c, PendingOutcome &r, const ClaimOpResult &res) {
  const RequestId id = r.Request;
  const bool written =
      res.Applied || (res.CurrentRow && res.CurrentRow->HolderOutcome);
  if (!written && res.CurrentRow && isHeldBy(c, id, *res.CurrentRow)) {
    r.ExpectedVersion = res.Version;
    return;
  }
  // It is written, or another request holds the row by now.
  std::erase_if(c.PendingOutcomes,
                [&](const PendingOutcome &it) { return it.Request == id; });
}

void onOpResult(Claims &c, const ClaimOp &op, const ClaimOpResult &res,
                ClaimActions &out) {
  if (op.NewRow.HolderOutcome) {
    if (PendingOutcome *r = findPendingOutcome(c, op))
      onOutcomeResult(c, *r, res);
  } else if (PendingClaim *p = findClaim(c, op)) {
    onClaimResult(c, *p, res, out);
  }
}

/// Marks the claims of a batch that may have been applied, so that their rows
/// are read before any other operation on them.
void startReadBack(Claims &c, const ClaimBatch &batch) {
  for (const ClaimOp &op : batch.Ops) {
    if (op.NewRow.HolderOutcome || op.Kind == ClaimOpKind::Read)
      continue;
    if (PendingClaim *p = findClaim(c, op)) {
      p->MayBeWritten = true;
      p->Stage = ClaimStage::ReadBack;
    }
  }
}

/// Drops a claim that is not decided. Its row may exist nevertheless, now or
/// later; then the claim counts as held until its outcome is recorded.
void dropClaim(Claims &c, const PendingClaim &p) {
  const bool in_flight = c.InFlight && hasKey(*c.InFlight, p.Key);
  if (p.MayBeWritten || in_flight)
    c.HeldClaims[p.Request] = {p.Key, 0};
}

void expireClaims(Claims &c, Time now, ClaimActions &out) {
  std::erase_if(c.PendingClaims, [&](const PendingClaim &p) {
    if (p.Deadline > now)
      return false;
    dropClaim(c, p);
    out.Decisions.push_back({p.Request, {ClaimStatus::Undetermined, {}, {}}});
    return true;
  });
}

} // namespace

ClaimKey claimKeyOf(WorkspaceId ws, std::string_view key) {
  std::string salted(key);
  salted.push_back('\0');
  return {ws, nameHash(key), nameHash(salted)};
}

void requestClaim(Claims &c, RequestId id, const ClaimKey &key, Time now) {
  c.PendingClaims.push_back({id, key, now + c.Limits.Timeout, {}, 0, false});
}

void recordOutcome(Claims &c, RequestId id, Outcome oc) {
  std::erase_if(c.PendingClaims, [&](const PendingClaim &p) {
    if (p.Request != id)
      return false;
    dropClaim(c, p);
    return true;
  });
  const auto held = c.HeldClaims.find(id);
  if (held == c.HeldClaims.end())
    return;
  const HeldClaim row = held->second;
  c.HeldClaims.erase(held);
  // A row without an outcome already means unknown.
  if (oc != Outcome::Unknown &&
      c.PendingOutcomes.size() < c.Limits.MaxPendingOutcomes)
    c.PendingOutcomes.push_back({id, row.Key, oc, row.Version});
}

void step(Claims &c, Time now, ClaimActions &out) {
  expireClaims(c, now, out);
  if (c.InFlight || now < c.RetryAt)
    return;
  ClaimBatch batch;
  appendOps(c, c.PendingClaims, batch);
  appendOps(c, c.PendingOutcomes, batch);
  if (batch.Ops.empty())
    return;
  batch.Number = ++c.LastBatchNumber;
  c.InFlight = batch;
  out.Batch = std::move(batch);
}

void onBatchResult(Claims &c, const ClaimBatchResult &ans, Time now,
                   ClaimActions &out) {
  if (!c.InFlight || c.InFlight->Number != ans.Number)
    return;
  const ClaimBatch batch = *std::exchange(c.InFlight, std::nullopt);
  const bool answered = ans.Status == BatchStatus::Completed &&
                        ans.Results.size() == batch.Ops.size();
  if (!answered) {
    if (ans.Status != BatchStatus::NotApplied)
      startReadBack(c, batch);
    c.RetryAt = now + c.Limits.RetryBackoff;
    return;
  }
  for (std::size_t n = 0; n < batch.Ops.size(); ++n)
    onOpResult(c, batch.Ops[n], ans.Results[n], out);
}

Time dueAt(const Claims &c) noexcept {
  Time due = Time::max();
  for (const PendingClaim &p : c.PendingClaims)
    due = std::min(due, p.Deadline);
  const bool waits = !c.PendingClaims.empty() || !c.PendingOutcomes.empty();
  return waits && !c.InFlight ? std::min(due, c.RetryAt) : due;
}

} // namespace zinniagauge
