// The front program with a stand-in of the users' platform: each promise to
// callers as they see it.
#include "support/processes.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <set>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

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

json configOf(int version, const json &keys) {
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
             {"rate_per_s", 0},
             {"burst", 0}}}}};
}

/// A front, the store and two engines on loopback.
struct Deployment {
  std::vector<std::uint16_t> Ports = freePorts(7);
  ScratchFolder Folder;
  Process Platform{{std::string(ZINNIA_BINARY_DIR) + "/standin-consortium",
                    "--store", at(Ports[0]), "--engine", at(Ports[1]),
                    "--engine", at(Ports[2])}};
  std::optional<Process> Front;

  Deployment() {
    REQUIRE(Platform.waitForOutput("serves"));
    putRow("op", "config", configOf(7, {"k1"}));
    for (int n = 0; n < 2; ++n)
      putRow("servers", "i-" + std::to_string(n), entry(n, "ready"));
    Front.emplace(std::vector<std::string>{
        ZINNIA_BINARY_DIR "/zinnia-front",
        Folder.write("settings.json", settings().dump())});
    REQUIRE(waitForStatus("http://" + at(Ports[4]) + "/v1/readiness", 200));
  }

  [[nodiscard]] json entry(int n, const char *state) const {
    return {{"service", "pool"},
            {"address", at(Ports.at(1U + static_cast<std::size_t>(n)))},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 4},
            {"state", state},
            {"sequence", 1},
            {"born", 1000 + n}};
  }

  [[nodiscard]] json settings() const {
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

  void control(const json &doc) const {
    REQUIRE(callHttp("POST", "http://" + at(Ports[0]) + "/stand-in", doc.dump())
                .Status == 200);
  }
  void putRow(const char *table, const std::string &key,
              const json &value) const {
    control({{"row",
              {{"table", table},
               {"part", ""},
               {"key", key},
               {"value", base64(value.dump())}}}});
  }
  void engines(const char *first, const char *second) const {
    control({{"engine", 0}, {"mode", first}});
    control({{"engine", 1}, {"mode", second}});
  }
  /// Calls of all engines, "runs" or "arrivals".
  [[nodiscard]] int count(const char *what) const {
    int sum = 0;
    const auto answer = callHttp("GET", "http://" + at(Ports[0]) + "/stand-in");
    for (const json &e : json::parse(answer.Body))
      sum += e.at(what).get<int>();
    return sum;
  }
  [[nodiscard]] std::string call(const std::string &path,
                                 const std::string &key = "k1",
                                 const std::string &more = {}) const {
    static int last = 0;
    return rawCall(
        Ports[3],
        "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
            "Zinniagauge-Attempt-Id: call-" + std::to_string(++last) + "\r\n" +
            "Zinniagauge-Deadline-Ms: 2500\r\n" +
            (key.empty() ? "" : "Zinniagauge-Credential: " + key + "\r\n") +
            more + "Content-Length: 2\r\n\r\nhi");
  }
};

bool isStatus(const std::string &answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

TEST_CASE("a front serves each kind of call", "[process][front]") {
  const Deployment d;
  const std::string safe = d.call("/safe/a");
  CHECK(isStatus(safe, 200));
  CHECK(safe.find("Zinniagauge-Response-Seal: s") != std::string::npos);
  // The engine learns whose call it is, and never the key.
  CHECK(safe.ends_with("workspace team"));
  CHECK(isStatus(d.call("/unsafe/a"), 200));
  CHECK(isStatus(d.call("/open/a", ""), 200));
  const std::string stream = d.call("/stream/a");
  CHECK(isStatus(stream, 200));
  CHECK(stream.find("id: 8\n") != std::string::npos);
  CHECK(stream.ends_with("0\r\n\r\n"));
}

TEST_CASE("a front refuses what the plan doesn't allow", "[process][front]") {
  const Deployment d;
  CHECK(isStatus(d.call("/safe/a", "k9"), 401));
  CHECK(isStatus(d.call("/safe/a", ""), 401));
  CHECK(isStatus(d.call("/none/a"), 404));
  CHECK(isStatus(
      d.call("/safe/a", "k1", "X: " + std::string(5000, 'x') + "\r\n"), 431));
  CHECK(
      isStatus(d.call("/safe/a", "k1", "Transfer-Encoding: chunked\r\n"), 400));
  CHECK(d.count("arrivals") == 0);
}

TEST_CASE("a call that may run once never runs twice", "[process][front]") {
  const Deployment d;
  d.engines("reset", "reset");
  CHECK(isStatus(d.call("/unsafe/a"), 502));
  CHECK(d.count("runs") == 1);
  d.engines("fail", "fail");
  const std::string failed = d.call("/unsafe/a");
  CHECK(isStatus(failed, 500));
  CHECK(failed.ends_with("broken"));
  CHECK(d.count("runs") == 2);
}

TEST_CASE("what hasn't run goes to another engine, or is refused as such",
          "[process][front]") {
  const Deployment d;
  d.engines("not_run", "ok");
  for (int n = 0; n < 4; ++n)
    CHECK(isStatus(d.call("/unsafe/a"), 200));
  CHECK(d.count("runs") == 4);
  d.engines("not_run", "not_run");
  const std::string refused = d.call("/unsafe/a");
  CHECK(isStatus(refused, 503));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(d.count("runs") == 4);
}

TEST_CASE("a stream that breaks goes on elsewhere without a gap",
          "[process][front]") {
  const Deployment d;
  d.engines("break", "ok");
  for (int n = 0; n < 4; ++n) {
    const std::string stream = d.call("/stream/a");
    CHECK(isStatus(stream, 200));
    CHECK(stream.ends_with("0\r\n\r\n"));
    CHECK(stream.find("id: 99") == std::string::npos);
    std::size_t from = 0;
    for (int id = 1; id <= 8; ++id) {
      const std::string line = "id: " + std::to_string(id) + "\n";
      const std::size_t found = stream.find(line, from);
      CHECK(found != std::string::npos);
      CHECK(stream.find(line, found + 1) == std::string::npos);
      from = found;
    }
  }
  d.engines("break", "break");
  // Both broke: the answer must not look whole.
  CHECK_FALSE(d.call("/stream/a").ends_with("0\r\n\r\n"));
}

TEST_CASE("a withdrawn key stops, also while the store is out",
          "[process][front]") {
  const Deployment d;
  CHECK(isStatus(d.call("/safe/a"), 200));
  d.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return isStatus(d.call("/safe/a"), 401); }));
  CHECK(isStatus(d.call("/safe/a", "k2"), 200));
  d.control({{"store", "silent"}});
  // Without news of withdrawn keys none may be used; nor may one be called
  // unknown. What needs no key goes on.
  CHECK(waitUntil([&] { return isStatus(d.call("/safe/a", "k2"), 503); }));
  CHECK(isStatus(d.call("/safe/a", "k1"), 503));
  CHECK(isStatus(d.call("/open/a", ""), 200));
  CHECK(waitForStatus("http://" + at(d.Ports[4]) + "/v1/readiness", 503));
  d.control({{"store", "ok"}});
  CHECK(waitUntil([&] { return isStatus(d.call("/safe/a", "k2"), 200); }));
}

TEST_CASE("an engine that leaves gets no more calls", "[process][front]") {
  const Deployment d;
  d.putRow("servers", "i-0", d.entry(0, "draining"));
  d.engines("reset", "ok");
  CHECK(waitUntil([&] {
    for (int n = 0; n < 6; ++n)
      if (!isStatus(d.call("/unsafe/a"), 200))
        return false;
    return true;
  }));
}

TEST_CASE("a front that is told to stop ends what it began",
          "[process][front]") {
  Deployment d;
  CHECK(isStatus(d.call("/safe/a"), 200));
  d.Front->signal(SIGTERM);
  CHECK(waitForStatus("http://" + at(d.Ports[4]) + "/v1/readiness", 503));
  const std::string late = d.call("/safe/a");
  CHECK(isStatus(late, 200));
  CHECK(late.find("Connection: close") != std::string::npos);
  CHECK(d.Front->wait() == 0);
  CHECK(d.Front->output().find("\"event\":\"stopped\"") != std::string::npos);
}

TEST_CASE("logs and metrics tell of each call", "[process][front]") {
  const Deployment d;
  CHECK(isStatus(d.call("/safe/logged"), 200));
  CHECK(d.Front->waitForOutput("\"event\":\"call_end\""));
  CHECK(d.Front->output().find("\"end\":\"served\"") != std::string::npos);
  const auto numbers = callHttp("GET", "http://" + at(d.Ports[5]) + "/metrics");
  CHECK(numbers.Status == 200);
  CHECK(numbers.Body.find("zinnia_calls_total{") != std::string::npos);
}

TEST_CASE("settings with faults are refused with their paths",
          "[process][front]") {
  const ScratchFolder folder;
  const ProgramResult res = runProgram(
      {ZINNIA_BINARY_DIR "/zinnia-front", "--check-settings",
       folder.write("bad.json", R"({"node": 7, "callers": "nowhere"})")});
  CHECK(res.Exit == 2);
  CHECK(res.Output.find("/node") != std::string::npos);
  CHECK(res.Output.find("/callers") != std::string::npos);
}

TEST_CASE("what may be repeated leaves an engine that fell silent",
          "[process][front]") {
  const Deployment d;
  d.engines("silent", "ok");
  for (int n = 0; n < 4; ++n)
    CHECK(isStatus(d.call("/safe/a"), 200));
  CHECK(isStatus(d.call("/stream/a"), 200));
  // What may run once is waited for, and its outcome isn't known.
  d.engines("silent", "silent");
  CHECK(isStatus(d.call("/unsafe/a"), 504));
}
