#include "zinniagauge/adapt/exchange_codec.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

Member sender() {
  Member m;
  m.Name = "a1";
  m.Id = VmId::of("a1");
  m.ZoneName = "hvar";
  m.Zone = ZoneId::of("hvar");
  m.EntryAddress = "127.0.0.1:1";
  m.AgentAddress = "127.0.0.1:2";
  m.MetricsAddress = "127.0.0.1:3";
  m.Incarnation = 7;
  m.Heartbeat = 8;
  m.BundleVersion = 9;
  return m;
}

ExchangeMessage fullSwap() {
  ExchangeMessage s;
  s.From = sender().Id;
  s.FromZone = sender().Zone;
  s.Digest.BundleVersion = 3;
  s.Digest.Members[5] = 6;
  s.Digest.Endpoints[63] = 7;
  s.Digest.Moves[0] = 8;
  s.Heartbeats = {{1, 2, 3}, {4, 5, 6}};
  s.Members = {{sender(), true, 4}};
  s.Endpoints.push_back(
      {EndpointId::of("e"), 2, true, true, 99, VersionId::of("v")});
  s.Moves.push_back(
      {MoveId::of("m"), 3, 10, MoveStage::RolledBack, true, "slow"});
  s.Bundle = BundleText{3, "digest", "{}"};
  return s;
}

} // namespace

TEST_CASE("a swap is unchanged by encoding and decoding", "[exchange][codec]") {
  const ExchangeMessage s = fullSwap();
  capnp::MallocMessageBuilder msg;
  writeSwap(s, sender(), msg.initRoot<wire::ExchangeSwap>());
  auto res = readSwap(msg.getRoot<wire::ExchangeSwap>().asReader());
  REQUIRE(res);
  const ExchangeMessage &decoded = res.value();
  CHECK(decoded.From == s.From);
  CHECK(decoded.FromZone == s.FromZone);
  CHECK(decoded.Digest.BundleVersion == 3);
  CHECK(decoded.Digest.Members == s.Digest.Members);
  CHECK(decoded.Digest.Endpoints == s.Digest.Endpoints);
  CHECK(decoded.Digest.Moves == s.Digest.Moves);
  REQUIRE(decoded.Heartbeats.size() == 2);
  CHECK(decoded.Heartbeats[1].Key == 4);
  CHECK(decoded.Heartbeats[1].BundleVersion == 6);
  CHECK(decoded.Members == s.Members);
  CHECK(decoded.Endpoints == s.Endpoints);
  CHECK(decoded.Moves == s.Moves);
  REQUIRE(decoded.Bundle);
  CHECK(decoded.Bundle->Text == "{}");
}

TEST_CASE("a swap with inconsistent lists is rejected", "[exchange][codec]") {
  capnp::MallocMessageBuilder msg;
  auto out = msg.initRoot<wire::ExchangeSwap>();
  CHECK_FALSE(readSwap(out.asReader())); // No digest.
  writeSwap(fullSwap(), sender(), out);
  out.initHeartbeats(1);
  CHECK_FALSE(readSwap(out.asReader()));
  writeSwap(fullSwap(), sender(), out);
  out.getMoves()[0].setStage(9);
  CHECK_FALSE(readSwap(out.asReader()));
}
