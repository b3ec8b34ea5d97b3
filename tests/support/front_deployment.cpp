#include "support/front_deployment.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace zinniagauge::testing {

using nlohmann::json;

namespace {

/// "aGk=" of "hi", as the store has values.
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

std::string at(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Sends \p text to \p port and reads until the connection ends.
std::string rawCall(std::uint16_t port, const std::string &text) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(port);
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string out;
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0 &&
      ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size())) {
    std::array<char, 4096> buf{};
    for (ssize_t n = ::read(fd, buf.data(), buf.size()); n > 0;
         n = ::read(fd, buf.data(), buf.size())) {
      out.append(buf.data(), static_cast<std::size_t>(n));
      // An answer with a stated length leaves the connection open.
      const std::size_t head = out.find("\r\n\r\n");
      const std::size_t len = out.find("Content-Length: ");
      if (head != std::string::npos && len < head &&
          out.size() >= head + 4 + std::stoul(out.substr(len + 16)))
        break;
      if (out.ends_with("0\r\n\r\n"))
        break;
    }
  }
  ::close(fd);
  return out;
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

bool isStatus(const std::string &answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

FrontDeployment::FrontDeployment() {
  REQUIRE(Platform.waitForOutput("serves"));
  putRow("op", "config", configOf(7, {"k1"}));
  for (int n = 0; n < 2; ++n)
    putRow("servers", "i-" + std::to_string(n), entry(n, "ready"));
  Front.emplace(std::vector<std::string>{
      ZINNIA_BINARY_DIR "/zinnia-front",
      Folder.write("settings.json", settings().dump())});
  REQUIRE(waitForStatus("http://" + at(Ports[4]) + "/v1/readiness", 200));
}

json FrontDeployment::entry(int n, const char *state) const {
  return {{"service", "pool"},
          {"address", at(Ports.at(1U + static_cast<std::size_t>(n)))},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 4},
          {"state", state},
          {"sequence", 1},
          {"born", 1000 + n}};
}

json FrontDeployment::settings() const {
  return {{"node", "front-1"},
          {"zone", "z"},
          {"callers", at(Ports[3])},
          {"status", at(Ports[4])},
          {"metrics", at(Ports[5])},
          {"peers", at(Ports[6])},
          {"table", at(Ports[0])},
          {"plan_apply_ms", 2000},
          {"key_withdrawal_ms", 3200},
          {"fail_closed", true},
          {"retry_ratio", 0.2},
          {"retry_slack", 20},
          {"retry_window_s", 10},
          {"allowance_window_s", 8},
          {"allowance_overage", 0.1},
          {"allowance_slack", 1000},
          {"stop_s", 8},
          {"descriptors", 512}};
}

void FrontDeployment::control(const json &doc) const {
  REQUIRE(callHttp("POST", "http://" + at(Ports[0]) + "/stand-in", doc.dump())
              .Status == 200);
}
void FrontDeployment::putRow(const char *table, const std::string &key,
                             const json &value) const {
  control({{"row",
            {{"table", table},
             {"part", ""},
             {"key", key},
             {"value", base64(value.dump())}}}});
}
void FrontDeployment::engines(const char *first, const char *second) const {
  control({{"engine", 0}, {"mode", first}});
  control({{"engine", 1}, {"mode", second}});
}
int FrontDeployment::count(const char *what) const {
  int sum = 0;
  const auto answer = callHttp("GET", "http://" + at(Ports[0]) + "/stand-in");
  for (const json &e : json::parse(answer.Body))
    sum += e.at(what).get<int>();
  return sum;
}
std::string FrontDeployment::call(const std::string &path,
                                  const std::string &key,
                                  const std::string &more) const {
  return rawCall(
      Ports[3],
      "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
          "Zinniagauge-Attempt-Id: call-" + std::to_string(++LastCall) +
          "\r\n" + "Zinniagauge-Deadline-Ms: 2500\r\n" +
          (key.empty() ? "" : "Zinniagauge-Credential: " + key + "\r\n") +
          more + "Content-Length: 2\r\n\r\nhi");
}

} // namespace zinniagauge::testing
