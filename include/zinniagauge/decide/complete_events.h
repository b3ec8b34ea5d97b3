// Finds the complete events of an event stream, so that a stream that breaks
// can be resumed at another back end after the last complete event.
#ifndef ZINNIAGAUGE_DECIDE_COMPLETE_EVENTS_H
#define ZINNIAGAUGE_DECIDE_COMPLETE_EVENTS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniagauge {

/// The complete events at the start of a text.
struct CompleteEvents {
  std::size_t Bytes = 0; // Total size of these events.
  std::uint32_t Count = 0;
  std::optional<std::uint64_t> FirstId;
  std::optional<std::uint64_t> LastId;
};

/// How far an incomplete event has been searched, relative to its start.
struct EventScan {
  std::size_t LineStart = 0; // Of the first line that isn't complete.
  std::size_t Searched = 0;  // No line ends between LineStart and here.
  std::optional<std::uint64_t> Id;
  bool HasFields = false;
};

/// Finds the complete events at the start of \p text. An event ends with an
/// empty line. \p scan is that of the call before, for the same text with the
/// complete events removed and more text appended, so that no byte is searched
/// twice.
[[nodiscard]] CompleteEvents findCompleteEvents(std::string_view text,
                                                EventScan &scan) noexcept;

/// Whether \p rest, what follows the complete events of a stream that has
/// ended, is a part of an event. The stream was then broken off.
[[nodiscard]] bool isInsideEvent(std::string_view rest) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_COMPLETE_EVENTS_H
