// Tests of request ids and hashed names.
#include "zinniagauge/board/ids.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

TEST_CASE("a request id is unchanged by formatting and parsing", "[ids]") {
  const RequestId id{0x0123456789abcdefULL, 42};
  CHECK(toString(id) == "0123456789abcdef000000000000002a");
  CHECK(parseRequestId(toString(id)) == id);
}

TEST_CASE("malformed request ids are refused", "[ids]") {
  CHECK_FALSE(parseRequestId(""));
  CHECK_FALSE(parseRequestId("0123"));
  CHECK_FALSE(parseRequestId("0123456789abcdef00000000000000zz"));
  CHECK_FALSE(parseRequestId("0123456789abcdef+00000000000002a"));
}

TEST_CASE("equal names have equal ids", "[ids]") {
  CHECK(EndpointId::of("engine-1") == EndpointId::of("engine-1"));
  CHECK(EndpointId::of("engine-1") != EndpointId::of("engine-2"));
}
