// Implements the table rows and front settings for tests.
#include "support/consortium_rows.h"

#include <string_view>

namespace zinniagauge::testing {

using nlohmann::json;

namespace {

/// Encodes \p raw in base64, the store's format of values: "hi" gives "aGk=".
std::string base64(const std::string &raw) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < raw.size(); n += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k)
      word = word << 8U |
             (n + k < raw.size() ? static_cast<unsigned char>(raw[n + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out += n + k > raw.size() ? '=' : Digits[word >> (18 - 6 * k) & 63U];
  }
  return out;
}

json route(const char *prefix, const char *kind, bool anonymous) {
  return {{"name", prefix},        {"host", "h.example"},
          {"prefix", prefix},      {"kind", kind},
          {"timeout_ms", 3000},    {"target_latency_ms", 500},
          {"priority", 0},         {"service", "pool"},
          {"max_attempts", 2},     {"allow_anonymous", anonymous},
          {"resume_streams", true}};
}

} // namespace

std::string loopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

json configOf(int version, const json &keys, int rate) {
  return {{"version", version},
          {"routes",
           {route("/safe/", "safe", false), route("/unsafe/", "unsafe", false),
            route("/stream/", "streaming", false),
            route("/open/", "unsafe", true)}},
          {"services", {{{"name", "pool"}, {"connection_limit", 100}}}},
          {"limits",
           {{"max_header_bytes", 4096},
            {"max_body_bytes", 65536},
            {"header_timeout_ms", 1000},
            {"idle_timeout_ms", 5000}}},
          {"tenants",
           {{{"name", "team"},
             {"api_keys", keys},
             {"rate_per_s", rate},
             {"burst", rate}}}}};
}

json bigConfigOf(int version, const json &keys, int count) {
  json config = configOf(version, keys);
  for (int n = 0; n < count; ++n)
    config["routes"].push_back(
        route(("/" + std::to_string(n) + "/").c_str(), "unsafe", true));
  return config;
}

json frontSettings(const std::string &node, const FrontPorts &ports) {
  json settings = {{"node", node},
                   {"zone", "z"},
                   {"callers", loopbackAddress(ports.Callers)},
                   {"status", loopbackAddress(ports.Status)},
                   {"metrics", loopbackAddress(ports.Metrics)},
                   {"peers", loopbackAddress(ports.Peers)},
                   {"table", loopbackAddress(ports.Table)},
                   {"plan_apply_ms", 2000},
                   {"key_withdrawal_ms", 3200},
                   {"fail_closed", true},
                   {"retry_ratio", 0.2},
                   {"retry_slack", 20},
                   {"retry_window_s", 10},
                   {"allowance_window_s", 8},
                   {"allowance_overage", 0.1},
                   {"allowance_slack", 1000},
                   {"exposure_share", 0.1},
                   {"exposure_slack", 50},
                   {"stop_s", 8},
                   {"cpu_share", 1},
                   {"link_mbps", 1000},
                   {"memory_mb", 128},
                   {"descriptors", 512}};
  if (ports.Relay != 0)
    settings["relay"] = loopbackAddress(ports.Relay);
  return settings;
}

json engineEntry(std::uint16_t port, const char *state, int incarnation) {
  return {{"service", "pool"}, {"address", loopbackAddress(port)},
          {"zone", "z"},       {"version", "v1"},
          {"slots", 4},        {"state", state},
          {"sequence", 1},     {"born", incarnation}};
}

json rawTableRow(const char *table, const std::string &key,
                 const std::string &value) {
  return {
      {"table", table}, {"part", ""}, {"key", key}, {"value", base64(value)}};
}

json tableRow(const char *table, const std::string &key, const json &value) {
  return rawTableRow(table, key, value.dump());
}

} // namespace zinniagauge::testing
