// The difference of two texts, line by line.
#ifndef ZINNIAGAUGE_DECIDE_TEXT_DIFF_H
#define ZINNIAGAUGE_DECIDE_TEXT_DIFF_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Where a line stands.
enum class DiffKind : std::uint8_t { Unchanged, Removed, Added };

/// One line of a difference, without its end; a view of one of the texts.
struct DiffLine {
  DiffKind Kind = DiffKind::Unchanged;
  std::string_view Text;
};

/// The lines of \p before and \p after in order, each marked. Shortest, unless
/// the texts differ over so many lines that only their common start and end are
/// told apart.
[[nodiscard]] std::vector<DiffLine> diffLines(std::string_view before,
                                              std::string_view after);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_TEXT_DIFF_H
