// The difference of two texts, line by line.
#ifndef ZINNIAGAUGE_DECIDE_TEXT_DIFF_H
#define ZINNIAGAUGE_DECIDE_TEXT_DIFF_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Whether a line is in both texts or only in one of them.
enum class DiffKind : std::uint8_t { Unchanged, Removed, Added };

/// One line of a difference, without its newline; Text points into one of the
/// two texts.
struct DiffLine {
  DiffKind Kind = DiffKind::Unchanged;
  std::string_view Text;
};

/// The lines of \p before and \p after in order, each with its kind. The
/// difference is the shortest one, unless the texts differ in so many lines
/// that only their common start and end are matched.
[[nodiscard]] std::vector<DiffLine> diffLines(std::string_view before,
                                              std::string_view after);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_TEXT_DIFF_H
