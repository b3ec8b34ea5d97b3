#include "zinniagauge/adapt/endpoint_client.h"
#include "zinniagauge/adapt/http_server.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

/// The error code if \p fn fails; nothing if it succeeds.
template <typename Fn> std::optional<ErrorCode> codeOf(Fn fn) {
  return handleResult(
      fn, [](auto &&...) { return std::optional<ErrorCode>(); },
      [](const Error &err) { return std::optional(err.Code); });
}

} // namespace

TEST_CASE("an endpoint's status and load are read", "[endpoint_client]") {
  const auto status = decodeStatus(
      R"({"version":"v2","incarnation":7,"leaving":true,"kind":"engine"})");
  REQUIRE(status);
  CHECK(status->VersionLabel == "v2");
  CHECK(status->Incarnation == 7);
  CHECK(status->Leaving);
  const auto load = decodeLoad(
      R"({"running":3,"waiting":1,"tokens_in_flight":99999999999,"age_ms":5})");
  REQUIRE(load);
  CHECK(load->Running == 3);
  CHECK(load->Waiting == 1);
  CHECK(load->TokensInFlight == 4294967295U);
  CHECK(load->Age == std::chrono::milliseconds(5));
}

TEST_CASE("malformed endpoint reports are rejected", "[endpoint_client]") {
  CHECK_FALSE(decodeStatus("{\"version\":"));
  CHECK_FALSE(decodeStatus("[]"));
  CHECK_FALSE(decodeStatus(R"({"version":3,"incarnation":7})"));
  CHECK_FALSE(decodeLoad(R"({"running":-1,"age_ms":5})"));
  CHECK_FALSE(decodeLoad(R"({"running":1})"));
}

TEST_CASE("a rejected order is distinguished from a failed one",
          "[endpoint_client]") {
  int status = 200;
  std::string received;
  auto srv =
      HttpServer::start({}, {[&](const HttpRequest &req, HttpResponder reply) {
                               received = req.Path + " " + req.Body;
                               reply.send(status, {}, "{}");
                             },
                             {}});
  REQUIRE(srv);
  EndpointSpec ep;
  ep.Host = "127.0.0.1";
  ep.Port = srv->port();
  const EndpointClient client = httpEndpointClient(std::chrono::seconds(10));
  const EndpointOrder order{"v2", 5};
  CHECK(client.Order(ep, order));
  CHECK(received == R"(/order {"fence":5,"version":"v2"})");
  const auto sendorder = [&] { return client.Order(ep, order); };
  status = 409;
  CHECK(codeOf(sendorder) == ErrorCode::Conflict);
  status = 500;
  CHECK(codeOf(sendorder) == ErrorCode::Broken);
  CHECK(codeOf([&] { return client.Status(ep); }) == ErrorCode::Broken);
  ep.Port = 1;
  CHECK(codeOf([&] { return client.Load(ep); }) == ErrorCode::Unavailable);
}
