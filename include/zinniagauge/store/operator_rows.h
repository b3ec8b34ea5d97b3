// The operators' rows as a front knows them, and how it passes them on to other
// fronts, so that a change isn't read whole from the table service by each of
// them.
#ifndef ZINNIAGAUGE_STORE_OPERATOR_ROWS_H
#define ZINNIAGAUGE_STORE_OPERATOR_ROWS_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/table.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// What changes the value of a row from one version to a later one.
struct RowPatch {
  std::uint64_t From = 0; // Zero: an empty value.
  std::uint64_t To = 0;
  std::string Bytes; // See text_patch.h.
};

/// The rows of one era of the table service.
struct OperatorRowLog {
  std::uint64_t Era = 0;
  std::uint64_t ReadUpTo = 0; // Changes up to it were read.
  /// The newest version of each row, also of deleted ones, by key.
  std::map<std::string, TableRow> Rows;
  std::deque<RowPatch> Patches; // Oldest first.
  RowPatch Whole;               // The newest one from an empty value.
};

/// Rows that another front passed on.
struct PassedRows {
  TableReadResult Rows;
  std::uint64_t Era = 0;
  std::vector<RowPatch> Patches; // By which the rows were sent.
};

/// Whether a front makes patches of the rows that it reads. It costs time, and
/// only some fronts are asked for them.
enum class MakePatches : bool { No, Yes };

/// Records \p rd, read from the table service in \p era: all rows if \p isfull
/// is set, else the changes after \p log.ReadUpTo.
void recordRows(OperatorRowLog &log, const TableReadResult &rd,
                std::uint64_t era, bool isfull, MakePatches makepatches);

/// Records the changes after \p log.ReadUpTo that another front passed on.
void recordRows(OperatorRowLog &log, const PassedRows &passed);

/// The path under which a front asks another one for what changed since its
/// own last reading.
[[nodiscard]] std::string rowsPath(const OperatorRowLog &log);

/// The response to a request for \p path, a message of operator_rows.capnp and
/// its hash (XXH3, of the machine's byte order); nullopt if that isn't a path
/// of rowsPath, or if \p log doesn't hold what it asks for.
[[nodiscard]] std::optional<std::string> encodeRows(OperatorRowLog &log,
                                                    std::string_view path);

/// Decodes a response of encodeRows to a request for rowsPath(\p log). Fails
/// with Invalid if it is damaged or doesn't fit \p log.
[[nodiscard]] Result<PassedRows> decodeRows(const OperatorRowLog &log,
                                            std::string_view raw);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_OPERATOR_ROWS_H
