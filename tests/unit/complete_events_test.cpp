// Tests of finding complete events in an event stream.
#include "zinniagauge/decide/complete_events.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

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
