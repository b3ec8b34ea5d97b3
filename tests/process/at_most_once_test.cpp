// Tests across real processes that a request runs at most once at the plain
// service, whatever fails. The service's stand-in counts the runs.
#include "support/nodes.h"

#include "zinniagauge/adapt/digest.h"
#include "zinniagauge/decide/assign.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

constexpr const char *Bin = ZINNIA_BINARY_DIR;
constexpr std::string_view CallerKey = "test-caller";
constexpr const char *ZoneName = "cuenca";
constexpr const char *DeskPool = "desk";

/// A stand-in process of an endpoint, either an engine or a plain service.
struct EndpointProcess {
  EndpointProcess(const std::string &kind, std::vector<std::string> more = {})
      : Port(freePorts(1).front()),
        Url("http://127.0.0.1:" + std::to_string(Port)),
        Proc(command(kind, std::move(more))) {
    REQUIRE(Proc.waitForOutput("listening"));
  }

  [[nodiscard]] std::vector<std::string>
  command(const std::string &kind, std::vector<std::string> more) const {
    std::vector<std::string> argv{std::string(Bin) + "/standin-engine",
                                  "--kind", kind, "--listen",
                                  "127.0.0.1:" + std::to_string(Port)};
    argv.insert(argv.end(), more.begin(), more.end());
    return argv;
  }

  void faults(const json &val) const {
    REQUIRE(callHttp("POST", Url + "/faults", val.dump()).Status == 200);
  }

  [[nodiscard]] json runs() const {
    return json::parse(callHttp("GET", Url + "/runs").Body);
  }

  std::uint16_t Port;
  std::string Url;
  Process Proc;
};

json endpointJson(const char *name, const char *pool, std::uint16_t port,
                  int slots) {
  return {{"name", name},          {"pool", pool},
          {"zone", ZoneName},      {"host", "127.0.0.1"},
          {"port", port},          {"version", "v1"},
          {"slots", slots},        {"generation", 1},
          {"token_limit", 100000}, {"tokens_per_second", 1000}};
}

/// A bundle with one tier with a timeout of 8 s, a service whose cues aren't
/// idempotent, and an engine.
json bundleJson(std::uint16_t desk, std::uint16_t engine, int slots) {
  json val;
  val["tiers"] = {{{"name", "cue"},
                   {"rank", 0},
                   {"default_timeout_s", 8},
                   {"first_token_target_ms", 500},
                   {"objective", 0.99}}};
  val["workspaces"] = {{{"name", "regiduria"},
                        {"key_digests", {sha256Hex(CallerKey)}},
                        {"weight", 1},
                        {"highest_tier", "cue"}}};
  val["pools"] = {{{"name", DeskPool}, {"kind", "service"}},
                  {{"name", "surtitle"}, {"kind", "engine"}}};
  val["routes"] = {{{"name", "fire-cue"},
                    {"path_prefix", "/desk/fire-cue"},
                    {"pool", DeskPool},
                    {"default_tier", "cue"},
                    {"idempotent", false}},
                   {{"name", "surtitle-model"},
                    {"model", "surtitle"},
                    {"pool", "surtitle"},
                    {"default_tier", "cue"}}};
  val["endpoints"] = {endpointJson("desk-1", DeskPool, desk, slots),
                      endpointJson("surtitle-1", "surtitle", engine, slots)};
  val["endpoints"][0].erase("token_limit");
  val["endpoints"][0].erase("tokens_per_second");
  val["moves"] = json::array();
  return val;
}

/// Adds the settings \p more to the settings file at \p path.
void addSettings(const std::string &path, const json &more) {
  std::ifstream in(path);
  json val = json::parse(in);
  val.update(more);
  std::ofstream(path) << val.dump();
}

/// Two VMs in one zone, with an active bundle.
struct OneZoneDeployment {
  ScratchFolder Folder;
  PlatformProcess Platform{Bin};
  EndpointProcess Desk;
  EndpointProcess Engine{"engine"};
  std::vector<Node> Nodes =
      makeNodes(Folder, Platform.Url, {"vm-a", "vm-b"}, {ZoneName, ZoneName});

  explicit OneZoneDeployment(const json &settings = json::object(),
                             std::vector<std::string> desk = {}, int slots = 8)
      : Desk("service", std::move(desk)) {
    for (Node &it : Nodes) {
      addSettings(it.EntrySettings, settings);
      startNode(it, Bin);
      REQUIRE(waitForStatus(it.operatorUrl() + "/v1/status", 401));
    }
    approve(Folder.write("bundle.json",
                         bundleJson(Desk.Port, Engine.Port, slots).dump()));
    for (const Node &it : Nodes)
      REQUIRE(waitUntil(
          [&] { return statusNumber(it, "/entry/bundle_version") == 1; }));
  }

  void approve(const std::string &file) const {
    const ProgramResult proposed = runZinniactl(
        Nodes[0], Bin, FirstOperatorKey, {"--json", "bundle", "propose", file});
    INFO(proposed.Output);
    REQUIRE(proposed.Exit == 0);
    const auto digest =
        json::parse(proposed.Output).at("digest").get<std::string>();
    REQUIRE(runZinniactl(Nodes[0], Bin, SecondOperatorKey,
                         {"bundle", "approve", digest})
                .Exit == 0);
  }

  [[nodiscard]] HttpResponse call(std::size_t node, std::string_view path,
                                  std::string_view body,
                                  std::vector<HttpHeader> headers = {}) const {
    headers.push_back({"Authorization", "Bearer " + std::string(CallerKey)});
    headers.push_back({"Content-Type", "application/json"});
    const std::string url =
        "http://" + Nodes[node].EntryHttp + std::string(path);
    HttpCall req;
    req.Method = "POST";
    req.Url = url;
    req.Headers = headers;
    req.Body = body;
    req.Timeout = DefaultTimeout;
    return handleResult([&] { return httpCall(req); },
                        [](const HttpResponse &ans) { return ans; },
                        [](const Error &) { return HttpResponse{}; });
  }

  [[nodiscard]] HttpResponse fire(std::size_t node,
                                  const std::string &key) const {
    std::vector<HttpHeader> headers;
    if (!key.empty())
      headers.push_back({"Idempotency-Key", key});
    return call(node, "/desk/fire-cue", R"({"cue": 7})", std::move(headers));
  }

  /// Waits until both entries can serve a request to fire a cue.
  void warmUp() const {
    for (std::size_t n = 0; n < Nodes.size(); ++n)
      REQUIRE(waitUntil([&] { return fire(n, {}).Status == 200; }));
  }

  void checkRuns() const {
    const json runs = Desk.runs();
    INFO(runs.dump());
    CHECK(runs.at("most_by_key") <= 1);
    CHECK(runs.at("most_by_request") <= 1);
  }
};

/// The value of an entry's metric, summed over its labels.
double metricOf(const Node &node, const std::string &name) {
  const std::string text =
      callHttp("GET", "http://" + node.EntryMetrics + "/metrics").Body;
  double sum = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(name) && line.find(' ') != std::string::npos)
      sum += std::stod(line.substr(line.rfind(' ') + 1));
  return sum;
}

std::string outcomeOf(const HttpResponse &ans) {
  for (const HttpHeader &h : ans.Headers)
    if (h.Name == "Zinnia-Outcome" || h.Name == "zinnia-outcome")
      return h.Value;
  return {};
}

} // namespace

TEST_CASE("two concurrent requests with one key at two entries run once",
          "[process][once]") {
  constexpr int Cues = 10;
  const OneZoneDeployment t;
  t.warmUp();
  for (int n = 0; n < Cues; ++n) {
    const std::string key = "cue-" + std::to_string(n);
    std::array<HttpResponse, 2> ans;
    std::thread other([&] { ans[1] = t.fire(1, key); });
    ans[0] = t.fire(0, key);
    other.join();
    CHECK((ans[0].Status == 200) != (ans[1].Status == 200));
    const HttpResponse &second = ans[0].Status == 200 ? ans[1] : ans[0];
    CHECK(second.Status == 409);
    const std::string outcome = outcomeOf(second);
    CHECK((outcome == "unknown" || outcome == "completed"));
    CHECK(t.Desk.runs().at("by_key").at(key) == 1);
  }
  t.checkRuns();
}

TEST_CASE("a claim whose response is lost is read back", "[process][once]") {
  const bool silent = GENERATE(false, true);
  const OneZoneDeployment t(json{{"platform_timeout_ms", 4000}});
  t.warmUp();
  REQUIRE(t.Platform.faults(json{
      {"service", "table"},
      {"silent", silent},
      {"lost_answers", 1}}.dump()));
  CHECK(t.fire(0, "cue-1").Status == 200);
  CHECK(json::parse(t.Platform.counts()).at("table").at("lost") == 1);
  const HttpResponse repeated = t.fire(1, "cue-1");
  CHECK(repeated.Status == 409);
  CHECK(t.Desk.runs().at("by_key").at("cue-1") == 1);
  t.checkRuns();
}

TEST_CASE("without the table a key is refused and an issued ticket runs once",
          "[process][once]") {
  const OneZoneDeployment t;
  t.warmUp();
  const HttpResponse issued = t.call(0, "/zinnia/tickets", "");
  REQUIRE(issued.Status == 201);
  const auto ticket = json::parse(issued.Body).at("ticket").get<std::string>();
  REQUIRE(t.Platform.faults(R"({"service": "table", "outage": true})"));
  const HttpResponse keyed = t.fire(0, "cue-1");
  CHECK(keyed.Status == 503);
  CHECK(outcomeOf(keyed) == "unknown");
  CHECK(json::parse(keyed.Body).at("step") == "claim");
  CHECK(t.fire(0, ticket).Status == 200);
  const HttpResponse repeated = t.fire(0, ticket);
  CHECK(repeated.Status == 409);
  CHECK(outcomeOf(repeated) == "completed");
  const HttpResponse elsewhere = t.fire(1, ticket);
  CHECK(elsewhere.Status == 409);
  CHECK(outcomeOf(elsewhere) == "unknown");
  const json runs = t.Desk.runs();
  CHECK(runs.at("by_key").at(ticket) == 1);
  CHECK_FALSE(runs.at("by_key").contains("cue-1"));
  t.checkRuns();
}

TEST_CASE(
    "a request is retried if its engine sends nothing on an open connection",
    "[process][once]") {
  const OneZoneDeployment t(json{{"first_byte_timeout_ms", 1000}});
  t.warmUp();
  const std::string body =
      R"({"model": "surtitle", "prompt": "una voz", "max_tokens": 4,)"
      R"( "stream": true})";
  REQUIRE(waitUntil(
      [&] { return t.call(0, "/v1/completions", body).Status == 200; }));
  t.Engine.faults({{"silent_open", true}});
  const HttpResponse ans = t.call(0, "/v1/completions", body);
  CHECK(ans.Status == 200);
  CHECK(ans.Body.find("data: [DONE]") != std::string::npos);
  CHECK(t.Engine.runs().at("most_by_request") <= 2);
  // A request that isn't idempotent is not retried.
  t.Desk.faults({{"silent", true}});
  const HttpResponse cue = t.fire(0, "cue-1");
  CHECK(outcomeOf(cue) == "unknown");
  t.checkRuns();
}

TEST_CASE("a truncated response is not passed on as complete",
          "[process][once]") {
  const OneZoneDeployment t;
  t.warmUp();
  t.Desk.faults({{"cut_after_bytes", 5}});
  const HttpResponse ans = t.fire(0, "cue-1");
  CHECK(ans.Status == 502);
  CHECK(outcomeOf(ans) == "unknown");
  t.checkRuns();
}

TEST_CASE("an unreachable endpoint gives the outcome not_run",
          "[process][once]") {
  OneZoneDeployment t;
  t.warmUp();
  t.Desk.Proc.kill();
  const HttpResponse ans = t.fire(0, "cue-1");
  CHECK(ans.Status == 503);
  CHECK(outcomeOf(ans) == "not_run");
  CHECK(json::parse(ans.Body).at("peer") == "desk-1");
}

TEST_CASE("an entry whose grant expires while it is frozen gets a new grant",
          "[process][once]") {
  const OneZoneDeployment t(json{{"platform_timeout_ms", 8000}});
  t.warmUp();
  // The claim is slow, so the grant waits for it. During the freeze the claim
  // completes and the grant expires.
  REQUIRE(t.Platform.faults(R"({"service": "table", "slowness_ms": 1000})"));
  HttpResponse ans;
  const auto writes = [&] {
    return json::parse(t.Platform.counts()).at("table").at("requests");
  };
  const json before = writes();
  std::thread caller([&] { ans = t.fire(0, "cue-1"); });
  CHECK(waitUntil([&] { return writes() != before; }));
  t.Nodes[0].Entry->signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  t.Nodes[0].Entry->signal(SIGCONT);
  caller.join();
  CHECK(ans.Status == 200);
  CHECK(t.Desk.runs().at("by_key").at("cue-1") == 1);
  CHECK(metricOf(t.Nodes[0], "zinnia_grants_lapsed_total") >= 1);
  t.checkRuns();
}

TEST_CASE("a planned stop interrupts no request in progress",
          "[process][once]") {
  constexpr int Running = 6;
  OneZoneDeployment t(json::object(), {"--service-ms", "1500"});
  t.warmUp();
  const auto runs = [&] { return t.Desk.runs().at("total").get<int>(); };
  const int before = runs();
  std::vector<HttpResponse> ans(Running);
  std::vector<std::thread> callers;
  for (int n = 0; n < Running; ++n)
    callers.emplace_back([&, n] {
      ans[static_cast<std::size_t>(n)] = t.fire(0, "cue-" + std::to_string(n));
    });
  CHECK(waitUntil([&] { return runs() == before + Running; }));
  t.Nodes[0].Entry->signal(SIGTERM);
  t.Nodes[0].Agent->signal(SIGTERM);
  for (std::thread &it : callers)
    it.join();
  for (const HttpResponse &it : ans) {
    INFO(it.Body);
    CHECK(it.Status == 200);
    CHECK(outcomeOf(it) == "completed");
  }
  CHECK(t.Nodes[0].Entry->wait() == 0);
  CHECK(t.Nodes[0].Agent->wait() == 0);
  CHECK(waitUntil([&] { return t.fire(1, {}).Status == 200; }));
  t.checkRuns();
}

TEST_CASE("an operator rolls a version move back", "[process][once]") {
  const OneZoneDeployment t;
  json val = bundleJson(t.Desk.Port, t.Engine.Port, 8);
  val["moves"] = {{{"name", "to-v2"},
                   {"pool", "surtitle"},
                   {"from", "v1"},
                   {"to", "v2"},
                   {"shares_permille", {100, 1000}},
                   {"step_time_s", 600},
                   {"deadline", "2099-01-01T00:00:00Z"}}};
  t.approve(t.Folder.write("moving.json", val.dump()));
  const auto rollback = [&] {
    return runZinniactl(t.Nodes[0], Bin, FirstOperatorKey,
                        {"move", "take-back", "to-v2"})
        .Exit;
  };
  CHECK(runZinniactl(t.Nodes[0], Bin, FirstOperatorKey,
                     {"move", "take-back", "none"})
            .Exit == 1);
  CHECK(waitUntil([&] { return rollback() == 0; }));
  // The other VM receives the state, and the row's final stage is taken_back.
  CHECK(waitUntil([&] {
    const ProgramResult status =
        runZinniactl(t.Nodes[1], Bin, FirstOperatorKey,
                     {"--json", "move", "status", "to-v2"});
    return status.Output.find("taken back by marija") != std::string::npos &&
           status.Output.find("taken_back") != std::string::npos;
  }));
}

TEST_CASE("no request is lost when the VM of a scheduler is killed",
          "[process][once]") {
  constexpr int Waiting = 8;
  OneZoneDeployment t(json::object(), {"--service-ms", "300"}, 1);
  t.warmUp();
  std::vector<Member> members(2);
  for (std::size_t n = 0; n < members.size(); ++n) {
    members[n].Id = VmId::of(t.Nodes[n].Name);
    members[n].Zone = ZoneId::of(ZoneName);
  }
  const Member *scheduler =
      schedulerFor(members, {ZoneId::of(ZoneName), PoolId::of(DeskPool), 0});
  const std::size_t killed = scheduler->Id == members[0].Id ? 0 : 1;
  std::vector<HttpResponse> ans(Waiting);
  std::vector<std::thread> callers;
  for (int n = 0; n < Waiting; ++n)
    callers.emplace_back([&, n] {
      ans[static_cast<std::size_t>(n)] =
          t.fire(1 - killed, "cue-" + std::to_string(n));
    });
  const json before = t.Desk.runs().at("total");
  CHECK(waitUntil([&] { return t.Desk.runs().at("total") > before; }));
  t.Nodes[killed].Entry->kill();
  t.Nodes[killed].Agent->kill();
  for (std::thread &it : callers)
    it.join();
  for (const HttpResponse &it : ans) {
    INFO(it.Body);
    CHECK(it.Status == 200);
  }
  t.checkRuns();
}
