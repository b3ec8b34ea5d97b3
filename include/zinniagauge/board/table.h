// Messages to and from the platform's services: the transactional table, the
// object store and the VM list.
#ifndef ZINNIAGAUGE_BOARD_TABLE_H
#define ZINNIAGAUGE_BOARD_TABLE_H

#include <cstdint>
#include <string>
#include <vector>

namespace zinniagauge {

/// The effect of one operation of a transaction on its row.
enum class TableOpKind : std::uint8_t {
  Get,            ///< Reads the row.
  Put,            ///< Writes the row unconditionally.
  PutIfAbsent,    ///< Writes the row if it is absent.
  CompareAndSwap, ///< Writes the row if it has the expected version.
};

/// One operation of a transaction.
struct TableOp {
  TableOpKind Kind = TableOpKind::Get;
  std::string Row;
  std::string Value; // The value to write.
  /// For CompareAndSwap; zero: the row must be absent.
  std::uint64_t ExpectedVersion = 0;
};

/// Operations that take effect at the same instant.
struct TableTransaction {
  std::vector<TableOp> Ops;
  /// True: nothing is written unless every operation can be applied. False:
  /// each operation is applied, or not, by itself.
  bool AllOrNothing = true;
};

/// The result of one operation, and the contents of its row after the
/// transaction.
struct TableOpResult {
  bool Applied = false;
  std::string Value;
  /// Increases with each write; zero: the row is absent.
  std::uint64_t Version = 0;
};

/// The result of a transaction.
struct TableResult {
  bool Committed = false; // Some write was applied, or there were only reads.
  std::vector<TableOpResult> Ops;
};

/// One row of a table as it was read.
struct TableRow {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false; // In a list of changes: the row was deleted.
};

/// Rows of one table, or changes to them, at one point in time.
struct TableReadResult {
  std::vector<TableRow> Rows;
  std::uint64_t Version = 0;  // The newest version of all tables.
  std::int64_t ServiceMs = 0; // The service's steady clock, in milliseconds.
  bool HasMore = false;       // More rows follow after the last key.
  /// The requested changes are no longer available.
  bool HistoryUnavailable = false;
};

/// One VM of the platform's list.
struct VmEntry {
  std::string Name;
  std::string ZoneName;
  std::string AgentAddress; // "ip:port" of the agent's RPC.
  bool Leaving = false;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_TABLE_H
