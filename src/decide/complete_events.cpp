#include "zinniagauge/decide/complete_events.h"

#include <charconv>

namespace zinniagauge {

namespace {

std::optional<std::uint64_t> idOf(std::string_view line) noexcept {
  constexpr std::string_view Field = "id:";
  if (!line.starts_with(Field))
    return std::nullopt;
  line.remove_prefix(Field.size());
  while (line.starts_with(' '))
    line.remove_prefix(1);
  std::uint64_t id = 0;
  const auto res = std::from_chars(line.data(), line.data() + line.size(), id);
  if (res.ec != std::errc())
    return std::nullopt;
  return id;
}

} // namespace

CompleteEvents findCompleteEvents(std::string_view text,
                                  EventScan &scan) noexcept {
  CompleteEvents out;
  for (;;) {
    const std::size_t end = text.find('\n', scan.Searched);
    if (end == std::string_view::npos)
      break;
    std::string_view line = text.substr(scan.LineStart, end - scan.LineStart);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    scan.LineStart = scan.Searched = end + 1;
    if (!line.empty()) {
      scan.HasFields = true;
      if (const auto lineid = idOf(line))
        scan.Id = lineid;
      continue;
    }
    out.Bytes = scan.LineStart;
    if (!scan.HasFields)
      continue;
    ++out.Count;
    if (scan.Id && !out.FirstId)
      out.FirstId = scan.Id;
    if (scan.Id)
      out.LastId = scan.Id;
    scan.Id.reset();
    scan.HasFields = false;
  }
  scan.LineStart -= out.Bytes;
  scan.Searched = text.size() - out.Bytes;
  return out;
}

bool isInsideEvent(std::string_view rest) noexcept {
  return rest.find_first_not_of("\r\n") != std::string_view::npos;
}

} // namespace zinniagauge
