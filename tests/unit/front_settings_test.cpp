// Settings of the front: which numbers are accepted, and faults.
#include "support/consortium_rows.h"
#include "zinniagauge/front/front_settings.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

json validSettings() {
  return frontSettings("front-1", {7001, 7002, 7003, 7004, 7005, 7006});
}

/// The settings in \p doc, or nothing if they are invalid.
std::optional<FrontSettings> parsed(const json &doc) {
  return handleResult(
      [&] { return parseFrontSettings(doc.dump()); },
      [](FrontSettings set) {
        return std::optional<FrontSettings>(std::move(set));
      },
      [](const Error & /*err*/) { return std::optional<FrontSettings>(); });
}

} // namespace

TEST_CASE("each number of the settings may have a fraction", "[settings]") {
  const json valid = validSettings();
  REQUIRE(parsed(valid));
  for (const auto &item : valid.items())
    if (item.value().is_number()) {
      INFO(item.key());
      json doc = valid;
      doc[item.key()] = item.value().get<double>() + 0.25;
      CHECK(parsed(doc));
    }
  json doc = valid;
  doc["retry_slack"] = 33.16;
  CHECK(parsed(doc)->Retries.Slack == Approx(33.16));
}

TEST_CASE("settings of another build are listed, not refused", "[settings]") {
  json doc = validSettings();
  REQUIRE(parsed(doc));
  CHECK(parsed(doc)->UnknownKeys.empty());
  doc["of_another_build"] = 1;
  REQUIRE(parsed(doc));
  CHECK(parsed(doc)->UnknownKeys ==
        std::vector<std::string>{"of_another_build"});
  doc["descriptors"] = -1;
  CHECK_FALSE(parsed(doc));
}

TEST_CASE("numbers out of range are refused", "[settings]") {
  for (const char *key :
       {"retry_slack", "allowance_slack", "retry_ratio", "allowance_overage",
        "descriptors", "stop_s", "memory_mb"}) {
    INFO(key);
    json doc = validSettings();
    doc[key] = -1;
    CHECK_FALSE(parsed(doc));
    doc[key] = "8";
    CHECK_FALSE(parsed(doc));
  }
}

TEST_CASE("cold back ends have a limit only with a setting for it",
          "[settings]") {
  json doc = validSettings();
  doc.erase("cold_overage");
  doc.erase("cold_slack");
  REQUIRE(parsed(doc));
  CHECK_FALSE(parsed(doc)->ColdCalls.Limited);
  doc["cold_overage"] = 1.5;
  doc["cold_slack"] = 5;
  REQUIRE(parsed(doc));
  CHECK(parsed(doc)->ColdCalls.Limited);
  CHECK(parsed(doc)->ColdCalls.Factor == 1.5);
  CHECK(parsed(doc)->ColdCalls.Slack == 5);
  doc["cold_slack"] = -5;
  CHECK_FALSE(parsed(doc));
}

TEST_CASE("relaying uses a free port that no other listener has",
          "[settings]") {
  json doc = validSettings();
  doc.erase("relay");
  doc.erase("first_free_port");
  doc.erase("last_free_port");
  REQUIRE(parsed(doc));
  CHECK(parsed(doc)->RelayAddress.Port == 0);
  const PeerAddress metrics = parsed(doc)->Metrics;
  const PeerAddress peers = parsed(doc)->GossipAddress;
  doc["first_free_port"] = metrics.Port;
  doc["last_free_port"] = metrics.Port + 9;
  const PeerAddress relay = parsed(doc)->RelayAddress;
  CHECK(relay.Port > metrics.Port);
  CHECK(relay.Port != peers.Port);
  CHECK(relay.Ip == peers.Ip);
  doc["last_free_port"] = metrics.Port;
  CHECK(parsed(doc)->RelayAddress.Port == 0);
}

// Guards against a front that relies on its plan for longer than operators
// allow for a change to be in force.
TEST_CASE("a plan without a newer proof is used no longer than a change may "
          "take",
          "[settings][plan]") {
  for (int apply = 800; apply <= 8000; apply += 400)
    for (int withdrawal = 2000; withdrawal <= 8000; withdrawal += 1000) {
      json doc = validSettings();
      doc["plan_apply_ms"] = apply;
      doc["key_withdrawal_ms"] = withdrawal;
      const auto set = parsed(doc);
      REQUIRE(set);
      CHECK(set->FreshnessBounds.MaxRejectAge <=
            std::chrono::milliseconds(apply));
    }
}
