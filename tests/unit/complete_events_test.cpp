#include "zinniagauge/decide/complete_events.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

TEST_CASE("only whole events are cut off", "[events]") {
  const CompleteEvents cut =
      findCompleteEvents("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(cut.Bytes == 30);
  CHECK(cut.Count == 2);
  CHECK(cut.FirstId == 1U);
  CHECK(cut.LastId == 2U);
}

TEST_CASE("an event that isn't whole gives nothing", "[events]") {
  const CompleteEvents cut = findCompleteEvents("id: 7\ndata: x\n");
  CHECK(cut.Bytes == 0);
  CHECK(cut.Count == 0);
  CHECK_FALSE(cut.LastId);
}

TEST_CASE("lines may end with a carriage return and carry other fields",
          "[events]") {
  const CompleteEvents cut =
      findCompleteEvents("x-version: 4\r\nid:12\r\ndata: x\r\n\r\n");
  CHECK(cut.Count == 1);
  CHECK(cut.LastId == 12U);
}
