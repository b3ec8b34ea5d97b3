// Tests that bundles are parsed completely and that every fault is reported at
// its path.

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/digest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

using namespace zinniagauge;
using nlohmann::json;

namespace {

std::string example(const std::string &name) {
  std::ifstream in(std::string(ZINNIA_SOURCE_DIR) + "/examples/" + name +
                   "/bundle.json");
  return {std::istreambuf_iterator<char>(in), {}};
}

json demo() { return json::parse(example("demo")); }

/// Whether \p text has exactly one fault, at \p path.
bool hasOnlyFault(const std::string &text, const std::string &path) {
  const ParsedBundle in = readBundle(1, text);
  INFO(describe(in.Faults));
  CHECK(in.Faults.size() == 1);
  return !in.Faults.empty() && in.Faults[0].Path == path;
}

bool hasOnlyFault(const json &val, const std::string &path) {
  return hasOnlyFault(val.dump(), path);
}

json move(const std::string &name) {
  return json{{"name", name},
              {"pool", "surtitle"},
              {"from", "surtitle-4"},
              {"to", "surtitle-5"},
              {"step_time_s", 60},
              {"shares_permille", {10, 100, 1000}},
              {"deadline", "2026-12-05T18:00:00Z"}};
}

} // namespace

TEST_CASE("digests are SHA-256", "[bundle_json]") {
  CHECK(sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("the example bundles are valid", "[bundle_json]") {
  const auto check = [](const std::string &name, std::size_t engines,
                        std::size_t services, std::size_t workspaces) {
    const ParsedBundle in = readBundle(7, example(name));
    INFO(describe(in.Faults));
    REQUIRE(in.Faults.empty());
    const Bundle &b = in.Value;
    CHECK(b.Version == 7);
    CHECK(b.Digest == sha256Hex(b.Text));
    CHECK(b.Workspaces.size() == workspaces);
    const auto found = static_cast<std::size_t>(std::count_if(
        b.Endpoints.begin(), b.Endpoints.end(), [&](const EndpointSpec &e) {
          return findPool(b, e.Pool)->Kind == PoolKind::Engine;
        }));
    CHECK(found == engines);
    CHECK(b.Endpoints.size() == engines + services);
  };
  check("dalmatia", 10, 4, 5);
  check("cuenca", 20, 4, 5);
  check("demo", 2, 1, 2);
}

TEST_CASE("a bundle holds the values of its text", "[bundle_json]") {
  json val = demo();
  val["moves"] = {move("to-5")};
  const ParsedBundle in = readBundle(3, val.dump());
  REQUIRE(in.Faults.empty());
  const Bundle &b = in.Value;
  CHECK(findWorkspace(b, sha256Hex("demo-key-regiduria"))->Name == "regiduria");
  CHECK(findRouteByModel(b, "surtitle")->Pool == PoolId::of("surtitle"));
  CHECK_FALSE(findRouteByPath(b, "/desk/fire-cue/7")->Idempotent);
  CHECK(findRouteByPath(b, "/desk/cue-sheet")->Idempotent);
  CHECK(b.Tiers[0].DefaultTimeout == std::chrono::seconds(10));
  CHECK(findEndpoint(b, EndpointId::of("desk-1"))->ChecksFencingToken);
  REQUIRE(b.Moves.size() == 1);
  CHECK(b.Moves[0].MinStepInterval == std::chrono::minutes(1));
  CHECK(b.Moves[0].Deadline.time_since_epoch() ==
        std::chrono::seconds(1796493600));
}

TEST_CASE("each fault is reported at its path", "[bundle_json]") {
  json val = demo();
  SECTION("not JSON") { CHECK(hasOnlyFault(std::string("{\"tiers\": ["), "")); }
  SECTION("not an object") { CHECK(hasOnlyFault(std::string("[1]"), "")); }
  SECTION("null") { CHECK(hasOnlyFault(std::string("null"), "")); }
  SECTION("a duplicate key") {
    std::string text = val.dump();
    text.insert(1, R"("moves":[],)");
    CHECK(hasOnlyFault(text, ""));
  }
  SECTION("unknown key") {
    val["endpoints"][0]["prot"] = 1;
    CHECK(hasOnlyFault(val, "/endpoints/0/prot"));
  }
  SECTION("wrong type") {
    val["endpoints"][1]["port"] = "18102";
    CHECK(hasOnlyFault(val, "/endpoints/1/port"));
  }
  SECTION("out of range") {
    val["endpoints"][1]["port"] = 70000;
    CHECK(hasOnlyFault(val, "/endpoints/1/port"));
  }
  SECTION("negative") {
    val["workspaces"][1]["weight"] = -1;
    CHECK(hasOnlyFault(val, "/workspaces/1/weight"));
  }
  SECTION("a name in place of an IP address") {
    val["endpoints"][1]["host"] = "localhost";
    CHECK(hasOnlyFault(val, "/endpoints/1/host"));
  }
  SECTION("missing") {
    val["routes"][0].erase("pool");
    CHECK(hasOnlyFault(val, "/routes/0/pool"));
  }
  SECTION("no unit") {
    val["tiers"][0].erase("default_timeout_s");
    val["tiers"][0]["default_timeout"] = 10;
    CHECK(hasOnlyFault(val, "/tiers/0/default_timeout"));
  }
  SECTION("two units") {
    val["tiers"][0]["default_timeout_ms"] = 10;
    CHECK(hasOnlyFault(val, "/tiers/0/default_timeout"));
  }
  SECTION("a malformed digest") {
    val["workspaces"][0]["key_digests"][0] = "demo-key-regiduria";
    CHECK(hasOnlyFault(val, "/workspaces/0/key_digests/0"));
  }
  SECTION("a malformed deadline") {
    val["moves"] = {move("a")};
    val["moves"][0]["deadline"] = "2026-02-30T18:00:00Z";
    CHECK(hasOnlyFault(val, "/moves/0/deadline"));
  }
}

TEST_CASE("inconsistent bundles are rejected", "[bundle_json]") {
  json val = demo();
  SECTION("a duplicate name") {
    val["endpoints"][1]["name"] = "surtitle-1";
    CHECK(hasOnlyFault(val, "/endpoints/1/name"));
  }
  SECTION("an unknown tier") {
    val["routes"][0]["default_tier"] = "urgent";
    CHECK(hasOnlyFault(val, "/routes/0/default_tier"));
  }
  SECTION("an unknown pool") {
    val["routes"][0]["pool"] = "surtitel";
    CHECK(hasOnlyFault(val, "/routes/0/pool"));
  }
  SECTION("a tier without a rank") {
    val["tiers"][3].erase("rank");
    CHECK(hasOnlyFault(val, "/tiers/3/rank"));
  }
  SECTION("a gap in the ranks") {
    val["tiers"][3]["rank"] = 5;
    CHECK(hasOnlyFault(val, "/tiers/3/rank"));
  }
  SECTION("a key that belongs to two workspaces") {
    val["workspaces"][1]["key_digests"] = val["workspaces"][0]["key_digests"];
    CHECK(hasOnlyFault(val, "/workspaces/1/key_digests/0"));
  }
  SECTION("a model served by a plain service") {
    val["routes"][0]["pool"] = "projection-desk";
    CHECK(hasOnlyFault(val, "/routes/0/pool"));
  }
  SECTION("a route with both a model and a path") {
    val["routes"][0]["path_prefix"] = "/x";
    const ParsedBundle in = readBundle(1, val.dump());
    REQUIRE_FALSE(in.Faults.empty());
    CHECK(in.Faults[0].Path == "/routes/0");
  }
  SECTION("one address for two endpoints") {
    val["endpoints"][1]["port"] = 18101;
    CHECK(hasOnlyFault(val, "/endpoints/1/port"));
  }
  SECTION("two moves of one pool") {
    val["moves"] = {move("a"), move("b")};
    CHECK(hasOnlyFault(val, "/moves/1/pool"));
  }
  SECTION("shares that decrease") {
    val["moves"] = {move("a")};
    val["moves"][0]["shares_permille"] = {100, 10, 1000};
    CHECK(hasOnlyFault(val, "/moves/0/shares_permille"));
  }
  SECTION("a version that no endpoint serves") {
    val["moves"] = {move("a")};
    val["moves"][0]["from"] = "surtitle-3";
    CHECK(hasOnlyFault(val, "/moves/0/from"));
  }
}

TEST_CASE("all faults are reported at once", "[bundle_json]") {
  json val = demo();
  val["extra"] = 1;
  val["endpoints"][0]["port"] = 0;
  val["routes"][0]["pool"] = "nowhere";
  val["tiers"][0]["objective"] = 1;
  CHECK(readBundle(1, val.dump()).Faults.size() == 4);
  const std::string text = val.dump();
  const std::string detail =
      handleResult([&] { return parseBundle(1, text); },
                   [](const Bundle &) { return std::string(); },
                   [](const Error &e) { return e.Detail; });
  CHECK(std::count(detail.begin(), detail.end(), '\n') == 3);
}

TEST_CASE("names with the same hash are rejected", "[bundle_json]") {
  Bundle b = readBundle(1, example("demo")).Value;
  b.Endpoints[1].Id = b.Endpoints[0].Id;
  std::vector<BundleFault> faults;
  checkBundle(b, faults);
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].Path == "/endpoints/1/name");
}
