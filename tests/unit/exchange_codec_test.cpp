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

ExchangeMessage fullMessage() {
  ExchangeMessage message;
  message.From = sender().Id;
  message.FromZone = sender().Zone;
  message.Digest.BundleVersion = 3;
  message.Digest.Members[5] = 6;
  message.Digest.Endpoints[63] = 7;
  message.Digest.Moves[0] = 8;
  message.Heartbeats = {{1, 2, 3}, {4, 5, 6}};
  message.Members = {{sender(), true, 4}};
  message.Endpoints.push_back(
      {EndpointId::of("e"), 2, true, true, 99, VersionId::of("v")});
  message.Moves.push_back(
      {MoveId::of("m"), 3, 10, MoveStage::RolledBack, true, "slow"});
  message.Bundle = BundleText{3, "digest", "{}"};
  return message;
}

} // namespace

TEST_CASE("an exchange message is unchanged by encoding and decoding",
          "[exchange][codec]") {
  const ExchangeMessage message = fullMessage();
  capnp::MallocMessageBuilder msg;
  writeExchangeMessage(message, sender(), msg.initRoot<wire::ExchangeSwap>());
  auto res = readExchangeMessage(msg.getRoot<wire::ExchangeSwap>().asReader());
  REQUIRE(res);
  const ExchangeMessage &decoded = res.value();
  CHECK(decoded.From == message.From);
  CHECK(decoded.FromZone == message.FromZone);
  CHECK(decoded.Digest.BundleVersion == 3);
  CHECK(decoded.Digest.Members == message.Digest.Members);
  CHECK(decoded.Digest.Endpoints == message.Digest.Endpoints);
  CHECK(decoded.Digest.Moves == message.Digest.Moves);
  REQUIRE(decoded.Heartbeats.size() == 2);
  CHECK(decoded.Heartbeats[1].Key == 4);
  CHECK(decoded.Heartbeats[1].BundleVersion == 6);
  CHECK(decoded.Members == message.Members);
  CHECK(decoded.Endpoints == message.Endpoints);
  CHECK(decoded.Moves == message.Moves);
  REQUIRE(decoded.Bundle);
  CHECK(decoded.Bundle->Text == "{}");
}

TEST_CASE("an exchange message with inconsistent lists is rejected",
          "[exchange][codec]") {
  capnp::MallocMessageBuilder msg;
  auto out = msg.initRoot<wire::ExchangeSwap>();
  CHECK_FALSE(readExchangeMessage(out.asReader())); // No digest.
  writeExchangeMessage(fullMessage(), sender(), out);
  out.initHeartbeats(1);
  CHECK_FALSE(readExchangeMessage(out.asReader()));
  writeExchangeMessage(fullMessage(), sender(), out);
  out.getMoves()[0].setStage(9);
  CHECK_FALSE(readExchangeMessage(out.asReader()));
}
