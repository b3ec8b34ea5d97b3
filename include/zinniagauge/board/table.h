// Messages to and from the platform's services: the transactional table, the
// object store and the VM list.
#ifndef ZINNIAGAUGE_BOARD_TABLE_H
#define ZINNIAGAUGE_BOARD_TABLE_H

#include <cstdint>
#include <string>
#include <vector>

namespace zinniagauge {

/// What one operation of a transaction does to its row.
enum class TableOpKind : std::uint8_t {
  Get,            ///< Reads it.
  Put,            ///< Writes it, whatever it holds.
  PutIfAbsent,    ///< Writes it if it is absent.
  CompareAndSwap, ///< Writes it if its version is the expected one.
};

/// One operation of a transaction.
struct TableOp {
  TableOpKind Kind = TableOpKind::Get;
  std::string Row;
  std::string Value; // To write.
  std::uint64_t ExpectedVersion =
      0; // For CompareAndSwap; zero: the row is absent.
};

/// Operations that take effect at one instant.
struct TableTransaction {
  std::vector<TableOp> Ops;
  /// True: nothing is written unless every operation can be applied. False:
  /// each operation is applied, or not, by itself.
  bool AllOrNothing = true;
};

/// What became of one operation, and what its row holds after the transaction.
struct TableOpResult {
  bool Applied = false;
  std::string Value;
  std::uint64_t Version = 0; // Rises with each write; zero: absent.
};

/// What became of a transaction.
struct TableResult {
  bool Committed = false; // Some write was, or only reads were asked.
  std::vector<TableOpResult> Ops;
};

/// One row of a table as it was read.
struct TableRow {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false; // Of a change: the row is gone.
};

/// Rows of one table, as of one moment.
struct TableReadResult {
  std::vector<TableRow> Rows;
  std::uint64_t Version = 0;       // The newest of all tables.
  std::int64_t ServiceMs = 0;      // The service's steady clock.
  bool HasMore = false;            // Rows follow after the last key.
  bool HistoryUnavailable = false; // Changes asked for are no longer known.
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
