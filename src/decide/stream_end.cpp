#include "zinniagauge/decide/stream_end.h"

namespace zinniagauge {

namespace {

bool isMark(const StreamEndScanner &em) noexcept {
  if (em.LineSize > em.Line.size())
    return false;
  const std::string_view line(em.Line.data(), em.LineSize);
  return line == "data: [DONE]" || line == "data:[DONE]";
}

void endLine(StreamEndScanner &em) noexcept {
  if (em.DoneLineSeen && em.LineSize == 0)
    em.Complete = true;
  if (isMark(em))
    em.DoneLineSeen = true;
  em.LineSize = 0;
}

} // namespace

void scanForStreamEnd(StreamEndScanner &em, std::string_view part) noexcept {
  for (const char c : part) {
    if (c == '\r')
      continue;
    if (c == '\n') {
      endLine(em);
      continue;
    }
    if (em.LineSize < em.Line.size())
      em.Line[em.LineSize] = c;
    ++em.LineSize;
  }
}

} // namespace zinniagauge
