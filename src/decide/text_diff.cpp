#include "zinniagauge/decide/text_diff.h"

#include <algorithm>
#include <span>

namespace zinniagauge {

namespace {

using Lines = std::span<const std::string_view>;

/// The largest number of line pairs that are compared to find the shortest
/// difference.
constexpr std::size_t MaxPairs = std::size_t{1} << 24U;

std::vector<std::string_view> split(std::string_view text) {
  std::vector<std::string_view> out;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    out.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

void append(std::vector<DiffLine> &out, DiffKind kind, Lines lines) {
  for (const std::string_view it : lines)
    out.push_back({kind, it});
}

/// For each pair of a line of a and a line of b, the length of the longest
/// common subsequence of a and b from these lines on.
class CommonLengths {
public:
  CommonLengths(Lines a, Lines b)
      : Width(b.size() + 1), Cells((a.size() + 1) * Width) {
    for (std::size_t n = a.size(); n-- > 0;)
      for (std::size_t m = b.size(); m-- > 0;)
        Cells[n * Width + m] =
            a[n] == b[m] ? lengthAt(n + 1, m + 1) + 1
                         : std::max(lengthAt(n + 1, m), lengthAt(n, m + 1));
  }

  [[nodiscard]] std::uint32_t lengthAt(std::size_t n, std::size_t m) const {
    return Cells[n * Width + m];
  }

private:
  std::size_t Width;
  std::vector<std::uint32_t> Cells;
};

void appendShortest(std::vector<DiffLine> &out, Lines a, Lines b) {
  const CommonLengths common(a, b);
  std::size_t n = 0;
  std::size_t m = 0;
  while (n < a.size() && m < b.size()) {
    if (a[n] == b[m]) {
      out.push_back({DiffKind::Unchanged, a[n]});
      ++n;
      ++m;
    } else if (common.lengthAt(n + 1, m) >= common.lengthAt(n, m + 1)) {
      out.push_back({DiffKind::Removed, a[n++]});
    } else {
      out.push_back({DiffKind::Added, b[m++]});
    }
  }
  append(out, DiffKind::Removed, a.subspan(n));
  append(out, DiffKind::Added, b.subspan(m));
}

} // namespace

std::vector<DiffLine> diffLines(std::string_view before,
                                std::string_view after) {
  const std::vector<std::string_view> old_lines = split(before);
  const std::vector<std::string_view> new_lines = split(after);
  Lines a(old_lines);
  Lines b(new_lines);
  std::vector<DiffLine> out;
  const auto head = static_cast<std::size_t>(
      std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first - a.begin());
  append(out, DiffKind::Unchanged, a.first(head));
  a = a.subspan(head);
  b = b.subspan(head);
  const auto tail = static_cast<std::size_t>(
      std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend()).first -
      a.rbegin());
  const Lines end = a.last(tail);
  a = a.first(a.size() - tail);
  b = b.first(b.size() - tail);
  if (a.size() * b.size() <= MaxPairs) {
    appendShortest(out, a, b);
  } else {
    append(out, DiffKind::Removed, a);
    append(out, DiffKind::Added, b);
  }
  append(out, DiffKind::Unchanged, end);
  return out;
}

} // namespace zinniagauge
