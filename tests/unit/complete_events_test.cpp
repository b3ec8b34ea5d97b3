// Tests of finding complete events in an event stream.
#include "zinniagauge/decide/complete_events.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;

namespace {

CompleteEvents findCompleteEvents(std::string_view text) {
  EventScan scan;
  return zinniagauge::findCompleteEvents(text, scan);
}

} // namespace

TEST_CASE("only complete events are counted", "[events]") {
  const CompleteEvents events =
      findCompleteEvents("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(events.Bytes == 30);
  CHECK(events.Count == 2);
  CHECK(events.FirstId == 1U);
  CHECK(events.LastId == 2U);
}

TEST_CASE("an incomplete event gives nothing", "[events]") {
  const CompleteEvents events = findCompleteEvents("id: 7\ndata: x\n");
  CHECK(events.Bytes == 0);
  CHECK(events.Count == 0);
  CHECK_FALSE(events.LastId);
}

TEST_CASE("lines may end with a carriage return and carry other fields",
          "[events]") {
  const CompleteEvents events =
      findCompleteEvents("x-version: 4\r\nid:12\r\ndata: x\r\n\r\n");
  CHECK(events.Count == 1);
  CHECK(events.LastId == 12U);
}

// Guards against a search that begins again at the start of an event with each
// part of it.
TEST_CASE("an event is found wherever its bytes are cut, and none is searched "
          "twice",
          "[events]") {
  const std::string_view text =
      "id: 1\ndata: a\n\n\r\n: c\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (std::size_t cut = 0; cut <= text.size(); ++cut)
    for (std::size_t next = cut; next <= text.size(); ++next) {
      INFO(cut << ", " << next);
      EventScan scan;
      std::string unread;
      std::string passedon;
      std::uint32_t count = 0;
      std::optional<std::uint64_t> lastid;
      for (const std::string_view part :
           {text.substr(0, cut), text.substr(cut, next - cut),
            text.substr(next)}) {
        unread.append(part);
        const CompleteEvents events =
            zinniagauge::findCompleteEvents(unread, scan);
        passedon.append(unread, 0, events.Bytes);
        unread.erase(0, events.Bytes);
        count += events.Count;
        lastid = events.LastId ? events.LastId : lastid;
        REQUIRE(scan.Searched == unread.size());
      }
      REQUIRE(count == 2);
      REQUIRE(lastid == 2U);
      REQUIRE(passedon + unread == text);
      REQUIRE(unread == "id: 3\nda");
    }
}
