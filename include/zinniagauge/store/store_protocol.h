// How the table service is asked and its rows are read: functions that an
// adapter provides, so that controllers know neither its calls nor its names.
#ifndef ZINNIAGAUGE_STORE_STORE_PROTOCOL_H
#define ZINNIAGAUGE_STORE_STORE_PROTOCOL_H

#include "zinniagauge/board/backend.h"
#include "zinniagauge/board/table.h"
#include "zinniagauge/board/traffic_plan.h"
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/store/store_connection.h"

#include <cstdint>
#include <string_view>
#include <utility>

namespace zinniagauge {

/// The tables that controllers use.
enum class StoreTable : std::uint8_t {
  Operators, ///< What operators write: the plan and version moves.
  Backends,  ///< What back ends write of themselves.
  Fronts,    ///< What fronts write of themselves.
  Outcomes,  ///< What operators read: how version moves stand.
};

/// The functions of one service.
struct StoreProtocol {
  /// Rows of \p table from key \p from on (empty: from the start).
  StoreRequest (*ReadRequest)(StoreTable table, std::string_view from);
  /// Changes of \p table after \p version, waiting for the first one.
  StoreRequest (*ChangesRequest)(StoreTable table, std::uint64_t version,
                                 Duration wait);
  /// Applies \p tx to \p table, all or nothing. Rows are named by key.
  StoreRequest (*WriteRequest)(StoreTable table, const TableTransaction &tx);
  /// The answer to Read or Changes. Fails with Unavailable, Overloaded or
  /// Broken.
  Result<TableReadResult> (*ParseRows)(const StoreResponse &answer);
  /// The answer to Write. Committed is false if a condition didn't hold.
  Result<TableResult> (*ParseWriteResult)(const StoreResponse &answer);
  /// The plan in a row of Operators. Fails with NotFound if the row holds
  /// something else, with Invalid if it can't be read.
  Result<TrafficPlan> (*ParsePlan)(const TableRow &row);
  /// The order in a row of Operators. Fails with NotFound if the row holds
  /// something else, with Invalid if it can't be read.
  Result<VersionMoveOrder> (*ParseOrder)(const TableRow &row);
  /// The record in a row of Outcomes, and whose it is. Fails likewise.
  Result<std::pair<PoolId, MoveRecord>> (*ParseRecord)(const TableRow &row);
  /// The row of Outcomes that holds \p rec.
  TableRow (*MakeOutcomeRow)(const VersionMoveOrder &order,
                             const MoveRecord &rec);
  /// The back end in a row of Backends. Fails with Invalid if the row names
  /// none that can be used.
  Result<Backend> (*ParseBackend)(const TableRow &row);
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_STORE_PROTOCOL_H
