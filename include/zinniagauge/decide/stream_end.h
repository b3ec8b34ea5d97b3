// The end mark of a stream of server-sent events, found in parts of any size.
#ifndef ZINNIAGAUGE_DECIDE_STREAM_END_H
#define ZINNIAGAUGE_DECIDE_STREAM_END_H

#include <array>
#include <cstddef>
#include <string_view>

namespace zinniagauge {

/// What a scan of a stream has seen so far of the event "data: [DONE]".
struct StreamEndScanner {
  std::array<char, 16> Line{}; // The start of the current line.
  std::size_t LineSize = 0;    // Of the whole current line.
  bool DoneLineSeen = false;   // The line "data: [DONE]" has ended.
  bool Complete = false;       // So has its event, by an empty line.
};

/// Scans the next part of the stream.
void scanForStreamEnd(StreamEndScanner &em, std::string_view part) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_STREAM_END_H
