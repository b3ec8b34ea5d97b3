// Cutting an event stream at the ends of its events, so that a stream that
// breaks can go on elsewhere after the last whole one.
#ifndef ZINNIAGAUGE_DECIDE_COMPLETE_EVENTS_H
#define ZINNIAGAUGE_DECIDE_COMPLETE_EVENTS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniagauge {

/// The whole events at the start of some text.
struct CompleteEvents {
  std::size_t Bytes = 0; // Of all of them.
  std::uint32_t Count = 0;
  std::optional<std::uint64_t> FirstId;
  std::optional<std::uint64_t> LastId;
};

/// Finds the whole events in \p text; an event ends with an empty line.
[[nodiscard]] CompleteEvents findCompleteEvents(std::string_view text) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_COMPLETE_EVENTS_H
