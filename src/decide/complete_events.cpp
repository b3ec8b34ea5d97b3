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

CompleteEvents findCompleteEvents(std::string_view text) noexcept {
  CompleteEvents cut;
  std::optional<std::uint64_t> id;
  bool any = false;
  std::size_t at = 0;
  for (;;) {
    const std::size_t end = text.find('\n', at);
    if (end == std::string_view::npos)
      return cut;
    std::string_view line = text.substr(at, end - at);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    at = end + 1;
    if (!line.empty()) {
      any = true;
      if (const auto got = idOf(line))
        id = got;
      continue;
    }
    cut.Bytes = at;
    if (!any)
      continue;
    ++cut.Count;
    if (id && !cut.FirstId)
      cut.FirstId = id;
    if (id)
      cut.LastId = id;
    id.reset();
    any = false;
  }
}

} // namespace zinniagauge
