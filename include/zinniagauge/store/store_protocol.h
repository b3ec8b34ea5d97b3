// The protocol of the table service: functions that an adapter provides to make
// requests and parse rows, so that controllers don't depend on the service's
// requests and names.
#ifndef ZINNIAGAUGE_STORE_STORE_PROTOCOL_H
#define ZINNIAGAUGE_STORE_STORE_PROTOCOL_H

#include "zinniagauge/board/backend.h"
#include "zinniagauge/board/table.h"
#include "zinniagauge/board/traffic_plan.h"
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/store/store_connection.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace zinniagauge {

/// The tables that controllers use.
enum class StoreTable : std::uint8_t {
  Operators, ///< Written by operators: the plan and version-move orders.
  Backends,  ///< One row per back end, written by itself.
  Fronts,    ///< The slots of coordinators, written by their holders.
  Outcomes,  ///< Read by operators: the state of version moves.
};

/// The functions for one kind of table service.
struct StoreProtocol {
  /// Requests the rows of \p table from key \p from on (empty: from the start).
  StoreRequest (*ReadRequest)(StoreTable table, std::string_view from);
  /// Requests the changes of \p table after \p version. If there are none, the
  /// service waits up to \p wait for the first one.
  StoreRequest (*ChangesRequest)(StoreTable table, std::uint64_t version,
                                 Duration wait);
  /// Requests that \p tx be applied to \p table atomically. Rows are identified
  /// by key.
  StoreRequest (*WriteRequest)(StoreTable table, const TableTransaction &tx);
  /// The era of the service's rows, from any response; zero if it names none.
  /// It rises each time the service was restored from a copy.
  std::uint64_t (*EraOf)(const StoreResponse &response);
  /// Parses the response to ReadRequest or ChangesRequest. Fails with
  /// Unavailable, Overloaded or Broken.
  Result<TableReadResult> (*ParseRows)(const StoreResponse &response);
  /// Parses the response to WriteRequest. Committed is false if a condition of
  /// the transaction didn't hold. Fails with Unavailable, Overloaded or Broken.
  Result<TableResult> (*ParseWriteResult)(const StoreResponse &response);
  /// Parses the plan in a row of Operators, and reuses what it has in common
  /// with the earlier plan \p before. Fails with NotFound if the row holds
  /// something else, with Invalid if it can't be read.
  Result<TrafficPlan> (*ParsePlan)(const TableRow &row,
                                   const TrafficPlan &before);
  /// Parses the order in a row of Operators. Fails with NotFound if the row
  /// holds something else, with Invalid if it can't be read.
  Result<VersionMoveOrder> (*ParseOrder)(const TableRow &row);
  /// Parses the record in a row of Outcomes, and returns it with its pool.
  /// Fails with NotFound if the row holds something else, with Invalid if it
  /// can't be read.
  Result<std::pair<PoolId, MoveRecord>> (*ParseRecord)(const TableRow &row);
  /// Makes the row of Outcomes for \p rec, the record of \p order.
  TableRow (*MakeOutcomeRow)(const VersionMoveOrder &order,
                             const MoveRecord &rec);
  /// Parses the back end in a row of Backends. Fails with Invalid if the row
  /// doesn't describe a usable one.
  Result<Backend> (*ParseBackend)(const TableRow &row);
  /// The name of the zone that a row of Operators, possibly a deleted one, asks
  /// to evacuate. Fails with NotFound if the row holds something else, with
  /// Invalid if it names no zone.
  Result<std::string> (*ParseEvacuation)(const TableRow &row);
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_STORE_PROTOCOL_H
