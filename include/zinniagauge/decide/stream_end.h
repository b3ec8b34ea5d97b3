// Finds the event "data: [DONE]" that ends a stream of server-sent events. The
// stream may come in parts of any size.
#ifndef ZINNIAGAUGE_DECIDE_STREAM_END_H
#define ZINNIAGAUGE_DECIDE_STREAM_END_H

#include <array>
#include <cstddef>
#include <string_view>

namespace zinniagauge {

/// The state of the scan of one stream.
struct StreamEndScanner {
  std::array<char, 16> LineStart{}; // The start of the current line.
  std::size_t LineSize = 0;         // Size of the whole current line.
  bool DoneLineSeen = false;        // The line "data: [DONE]" was read.
  bool Complete = false; // The empty line that ends the event was read.
};

/// Scans the next part of the stream.
void scanForStreamEnd(StreamEndScanner &scanner,
                      std::string_view part) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_STREAM_END_H
