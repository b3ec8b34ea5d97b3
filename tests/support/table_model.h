// A transactional table in memory, used by the stand-in for the platform and as
// a fake in randomised tests.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_TABLE_MODEL_H
#define ZINNIAGAUGE_TESTS_SUPPORT_TABLE_MODEL_H

#include "zinniagauge/board/table.h"

#include <algorithm>
#include <map>
#include <string>

namespace zinniagauge::testing {

/// A row; a version of zero means absent.
struct ModelRow {
  std::string Value;
  std::uint64_t Version = 0;
};

/// The rows by name.
struct TableModel {
  std::map<std::string, ModelRow> Rows;
};

/// Whether \p op can be applied to \p row.
[[nodiscard]] inline bool applies(const TableOp &op, const ModelRow &row) {
  if (op.Kind == TableOpKind::PutIfAbsent)
    return row.Version == 0;
  if (op.Kind == TableOpKind::CompareAndSwap)
    return row.Version == op.ExpectedVersion;
  return true;
}

/// Whether \p op writes.
[[nodiscard]] inline bool writes(const TableOp &op) {
  return op.Kind != TableOpKind::Get;
}

/// Applies \p tx atomically.
inline TableResult apply(TableModel &t, const TableTransaction &tx) {
  TableResult res;
  for (const TableOp &op : tx.Ops)
    res.Ops.push_back({applies(op, t.Rows[op.Row]), {}, 0});
  const bool all = std::all_of(res.Ops.begin(), res.Ops.end(),
                               [](const auto &it) { return it.Applied; });
  bool wrote = false;
  for (std::size_t n = 0; n < tx.Ops.size(); ++n) {
    TableOpResult &out = res.Ops[n];
    out.Applied = out.Applied && (all || !tx.AllOrNothing);
    if (!out.Applied || !writes(tx.Ops[n]))
      continue;
    ModelRow &row = t.Rows[tx.Ops[n].Row];
    row.Value = tx.Ops[n].Value;
    ++row.Version;
    wrote = true;
  }
  for (std::size_t n = 0; n < tx.Ops.size(); ++n) {
    const ModelRow &row = t.Rows[tx.Ops[n].Row];
    res.Ops[n].Value = row.Value;
    res.Ops[n].Version = row.Version;
  }
  res.Committed = wrote || all;
  return res;
}

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_TABLE_MODEL_H
