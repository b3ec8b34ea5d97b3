#include "zinniagauge/board/ids.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

TEST_CASE("a request id survives its text form", "[ids]") {
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

TEST_CASE("names hash alike everywhere", "[ids]") {
  CHECK(EndpointId::of("engine-1") == EndpointId::of("engine-1"));
  CHECK(EndpointId::of("engine-1") != EndpointId::of("engine-2"));
}
