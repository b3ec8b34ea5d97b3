#include "support/claim_table.h"

namespace zinniagauge::testing {

namespace {

bool applies(const ClaimTable &t, const ClaimOp &op) {
  const auto it = t.Rows.find(op.Key);
  const bool absent = it == t.Rows.end();
  if (op.Kind == ClaimOpKind::PutIfAbsent)
    return absent;
  return op.Kind == ClaimOpKind::Replace && !absent &&
         it->second.Version == op.ExpectedVersion;
}

} // namespace

std::vector<ClaimOpResult> apply(ClaimTable &t, const ClaimBatch &batch) {
  std::vector<ClaimOpResult> results;
  for (const ClaimOp &op : batch.Ops) {
    ClaimOpResult res;
    res.Applied = applies(t, op);
    if (res.Applied)
      t.Rows[op.Key] = {op.NewRow, ++t.LastVersion};
    const auto it = t.Rows.find(op.Key);
    if (it != t.Rows.end()) {
      res.CurrentRow = it->second.Row;
      res.Version = it->second.Version;
    }
    results.push_back(res);
  }
  return results;
}

} // namespace zinniagauge::testing
