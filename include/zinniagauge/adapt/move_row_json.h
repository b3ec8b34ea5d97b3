// Encodes a version move's row of the platform's table as JSON.
#ifndef ZINNIAGAUGE_ADAPT_MOVE_ROW_JSON_H
#define ZINNIAGAUGE_ADAPT_MOVE_ROW_JSON_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/move.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// The name of the row that stores the move called \p name.
[[nodiscard]] std::string moveRowName(std::string_view name);

/// Encodes \p row as JSON.
[[nodiscard]] std::string encodeMoveRow(const MoveRow &row);

/// Decodes a row. Fails with Broken if \p text is malformed or incomplete.
[[nodiscard]] Result<MoveRow> decodeMoveRow(std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MOVE_ROW_JSON_H
