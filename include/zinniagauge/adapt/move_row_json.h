// The JSON form of a version move's row in the table.
#ifndef ZINNIAGAUGE_ADAPT_MOVE_ROW_JSON_H
#define ZINNIAGAUGE_ADAPT_MOVE_ROW_JSON_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/move.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// The name of the row of the move called \p name.
[[nodiscard]] std::string moveRowName(std::string_view name);

/// Writes a row.
[[nodiscard]] std::string encodeMoveRow(const MoveRow &row);

/// Reads a row. Fails with Broken.
[[nodiscard]] Result<MoveRow> decodeMoveRow(std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MOVE_ROW_JSON_H
