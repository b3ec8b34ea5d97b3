#include "zinniagauge/decide/stream_end.h"

namespace zinniagauge {

namespace {

bool isDoneLine(const StreamEndScanner &scanner) noexcept {
  if (scanner.LineSize > scanner.LineStart.size())
    return false;
  const std::string_view line(scanner.LineStart.data(), scanner.LineSize);
  return line == "data: [DONE]" || line == "data:[DONE]";
}

void endLine(StreamEndScanner &scanner) noexcept {
  if (scanner.DoneLineSeen && scanner.LineSize == 0)
    scanner.Complete = true;
  if (isDoneLine(scanner))
    scanner.DoneLineSeen = true;
  scanner.LineSize = 0;
}

} // namespace

void scanForStreamEnd(StreamEndScanner &scanner,
                      std::string_view part) noexcept {
  for (const char c : part) {
    if (c == '\r')
      continue;
    if (c == '\n') {
      endLine(scanner);
      continue;
    }
    if (scanner.LineSize < scanner.LineStart.size())
      scanner.LineStart[scanner.LineSize] = c;
    ++scanner.LineSize;
  }
}

} // namespace zinniagauge
