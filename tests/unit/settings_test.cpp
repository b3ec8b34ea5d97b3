// Tests that settings are parsed with their defaults and that every fault is
// reported at its path.

#include "zinniagauge/adapt/settings.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>

using namespace zinniagauge;

namespace {

const std::string RequiredEntrySettings =
    R"("vm_name": "vm-1", "zone_name": "split-1",
  "http_address": "127.0.0.1:8080", "rpc_address": "127.0.0.1:8081",
  "metrics_address": "127.0.0.1:8082")";

/// Parses an entry's settings, which must be invalid, and returns the faults.
std::vector<SettingsFault> faultsOf(const std::string &text) {
  std::vector<SettingsFault> faults;
  const bool ok = handleResult([&] { return parseEntrySettings(text, faults); },
                               [](const EntrySettings &) { return true; },
                               [](const Error &err) {
                                 CHECK(err.Code == ErrorCode::Invalid);
                                 CHECK(err.FailedStep == Step::Settings);
                                 return false;
                               });
  CHECK_FALSE(ok);
  return faults;
}

const SettingsFault *findFault(const std::vector<SettingsFault> &faults,
                               std::string_view path) {
  for (const SettingsFault &it : faults)
    if (it.Path == path)
      return &it;
  return nullptr;
}

} // namespace

TEST_CASE("settings that are absent have their defaults", "[settings]") {
  std::vector<SettingsFault> faults;
  const auto set = parseEntrySettings(
      "{" + RequiredEntrySettings +
          R"(, "first_byte_timeout_ms": 1500, "io_threads": 4,
       "log_format": "plain", "log_level": "warn", "log_file": "entry.log"})",
      faults);
  REQUIRE(set);
  CHECK(set->VmName == "vm-1");
  CHECK(set->FirstByteTimeout == std::chrono::milliseconds(1500));
  CHECK(set->IoThreads == 4);
  CHECK(set->WorkerThreads == EntrySettings{}.WorkerThreads);
  CHECK(set->Log.Format == LogFormat::Plain);
  CHECK(set->Log.Level == LogLevel::Warn);
  CHECK(set->Log.File == "entry.log");
}

TEST_CASE("an agent's settings contain keys and peers", "[settings]") {
  std::vector<SettingsFault> faults;
  const std::string digest(64, 'a');
  const auto set = parseAgentSettings(
      R"({"vm_name": "vm-1", "zone_name": "split-1",
          "rpc_address": "127.0.0.1:1", "entry_rpc_address": "127.0.0.1:2",
          "entry_http_address": "127.0.0.1:3",
          "entry_metrics_address": "127.0.0.1:4",
          "operator_address": "127.0.0.1:5", "metrics_address": "127.0.0.1:6",
          "platform_url": "http://127.0.0.1:7",
          "operator_keys": [{"name": "ana", "sha256": ")" +
          digest + R"("}], "peer_agents": ["127.0.0.2:1", "127.0.0.3:1"]})",
      faults);
  REQUIRE(set);
  REQUIRE(set->OperatorKeys.size() == 1);
  CHECK(set->OperatorKeys[0].Name == "ana");
  CHECK(set->OperatorKeys[0].Digest == digest);
  CHECK(set->PeerAgents.size() == 2);
}

TEST_CASE("all faults are reported at once, each at its path", "[settings]") {
  const auto faults = faultsOf(
      R"({"vm_name": 7, "zone_name": "split-1", "http_address": "localhost:80",
          "rpc_address": "127.0.0.1:70000", "io_threads": 0,
          "worker_threads": 2.5, "idle_timeout": 5, "colour": "red",
          "log_level": "loud", "metrics_adress": "127.0.0.1:1"})");
  CHECK(faults.size() == 10);
  REQUIRE(findFault(faults, "/metrics_adress"));
  CHECK(findFault(faults, "/metrics_adress")->Detail ==
        "unknown setting; did you mean \"metrics_address\"?");
  REQUIRE(findFault(faults, "/vm_name"));
  REQUIRE(findFault(faults, "/http_address"));
  REQUIRE(findFault(faults, "/rpc_address"));
  REQUIRE(findFault(faults, "/worker_threads"));
  REQUIRE(findFault(faults, "/log_level"));
  REQUIRE(findFault(faults, "/io_threads"));
  CHECK(findFault(faults, "/io_threads")->Detail ==
        "expected an integer from 1 to 64, found 0");
  REQUIRE(findFault(faults, "/idle_timeout"));
  CHECK(findFault(faults, "/idle_timeout")->Detail ==
        "unknown setting; did you mean \"idle_timeout_ms\"?");
  REQUIRE(findFault(faults, "/colour"));
  REQUIRE(findFault(faults, "/metrics_address"));
  CHECK(findFault(faults, "/metrics_address")->Detail ==
        "missing; expected \"ip:port\"");
}

TEST_CASE("malformed JSON is reported with its position", "[settings]") {
  const auto faults = faultsOf("{\n  \"vm_name\": }");
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].Path.empty());
  CHECK(faults[0].Detail.find("line 2, column 14") != std::string::npos);
  CHECK(faultsOf("").size() == 1);
  CHECK(faultsOf("[1]").size() == 1);
  CHECK(faultsOf("{\"vm_name\": \"\xff\"}").size() == 1);
}

TEST_CASE("a duplicate key is rejected", "[settings]") {
  const auto faults =
      faultsOf("{" + RequiredEntrySettings + R"(, "vm_name": "vm-2"})");
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].Path == "/vm_name");
  CHECK(faults[0].Detail == "stated twice");
}

TEST_CASE("inconsistent settings are rejected", "[settings]") {
  const auto faults = faultsOf(
      R"({"vm_name": "vm-1", "zone_name": "split-1",
          "http_address": "127.0.0.1:80", "rpc_address": "127.0.0.1:80",
          "metrics_address": "127.0.0.1:81",
          "peer_heartbeat_period_ms": 500, "peer_timeout_ms": 500})");
  CHECK(faults.size() == 2);
  CHECK(findFault(faults, "/rpc_address"));
  CHECK(findFault(faults, "/peer_timeout_ms"));
}

TEST_CASE("an invalid item of a list is reported at its own path",
          "[settings]") {
  std::vector<SettingsFault> faults;
  CHECK_FALSE(parseAgentSettings(
      R"({"peer_agents": ["127.0.0.1:1", "nowhere"],
          "operator_keys": [{"name": "ana", "sha256": "12", "x": 1}]})",
      faults));
  CHECK(findFault(faults, "/peer_agents/1"));
  CHECK(findFault(faults, "/operator_keys/0/sha256"));
  CHECK(findFault(faults, "/operator_keys/0/x"));
  CHECK_FALSE(findFault(faults, "/peer_agents"));
}

TEST_CASE("a settings file that can't be read is reported", "[settings]") {
  std::vector<SettingsFault> faults;
  CHECK_FALSE(loadEntrySettings("/nowhere/entry.json", faults));
  CHECK(describe("entry.json", faults) ==
        "entry.json: the file can't be read\n");
}

TEST_CASE("addresses are split", "[settings]") {
  CHECK(splitAddress("127.0.0.1:80").Host == "127.0.0.1");
  CHECK(splitAddress("127.0.0.1:80").Port == 80);
  CHECK(splitAddress("127.0.0.1").Host.empty());
  CHECK(splitAddress("127.0.0.1:x").Host.empty());
}

TEST_CASE("docs/SETTINGS.md matches the tables of settings", "[settings]") {
  const std::string path = std::string(ZINNIA_SOURCE_DIR) + "/docs/SETTINGS.md";
  if (std::getenv("ZINNIA_WRITE_PAGES"))
    std::ofstream(path) << settingsPage();
  std::ifstream in(path);
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  CHECK(page == settingsPage());
}
