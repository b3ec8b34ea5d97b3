#include "zinniagauge/decide/end_mark.h"

namespace zinniagauge {

namespace {

bool isMark(const EndMark &em) noexcept {
  if (em.LineSize > em.Line.size())
    return false;
  const std::string_view line(em.Line.data(), em.LineSize);
  return line == "data: [DONE]" || line == "data:[DONE]";
}

void endLine(EndMark &em) noexcept {
  if (em.Marked && em.LineSize == 0)
    em.Whole = true;
  if (isMark(em))
    em.Marked = true;
  em.LineSize = 0;
}

} // namespace

void scan(EndMark &em, std::string_view part) noexcept {
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
