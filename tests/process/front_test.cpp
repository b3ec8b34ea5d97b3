// Tests the front program with a stand-in of the users' platform. Each
// guarantee is checked from a caller's side.
#include "support/front_deployment.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

TEST_CASE("a front serves each kind of call", "[process][front]") {
  const FrontDeployment d;
  const std::string safe = d.call("/safe/a");
  CHECK(hasStatus(safe, 200));
  CHECK(safe.find("Zinniagauge-Response-Seal: s") != std::string::npos);
  // The engine receives the caller's workspace, but never the key.
  CHECK(safe.ends_with("workspace team"));
  CHECK(hasStatus(d.call("/unsafe/a"), 200));
  CHECK(hasStatus(d.call("/open/a", ""), 200));
  const std::string stream = d.call("/stream/a");
  CHECK(hasStatus(stream, 200));
  CHECK(stream.find("id: 8\n") != std::string::npos);
  CHECK(stream.ends_with("0\r\n\r\n"));
}

TEST_CASE("a front refuses what the plan doesn't allow", "[process][front]") {
  const FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/a", "k9"), 401));
  CHECK(hasStatus(d.call("/safe/a", ""), 401));
  CHECK(hasStatus(d.call("/none/a"), 404));
  CHECK(hasStatus(
      d.call("/safe/a", "k1", "X: " + std::string(5000, 'x') + "\r\n"), 431));
  CHECK(hasStatus(d.call("/safe/a", "k1", "Transfer-Encoding: chunked\r\n"),
                  400));
  CHECK(d.countCalls("arrivals") == 0);
}

TEST_CASE("a call that may run once never runs twice", "[process][front]") {
  const FrontDeployment d;
  d.setEngineModes("reset", "reset");
  CHECK(hasStatus(d.call("/unsafe/a"), 502));
  CHECK(d.countCalls("runs") == 1);
  d.setEngineModes("fail", "fail");
  const std::string failed = d.call("/unsafe/a");
  CHECK(hasStatus(failed, 500));
  CHECK(failed.ends_with("broken"));
  CHECK(d.countCalls("runs") == 2);
}

TEST_CASE("a call that hasn't run is retried elsewhere, or ends as not run",
          "[process][front]") {
  const FrontDeployment d;
  d.setEngineModes("not_run", "ok");
  for (int n = 0; n < 4; ++n)
    CHECK(hasStatus(d.call("/unsafe/a"), 200));
  CHECK(d.countCalls("runs") == 4);
  d.setEngineModes("not_run", "not_run");
  const std::string refused = d.call("/unsafe/a");
  CHECK(hasStatus(refused, 503));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(d.countCalls("runs") == 4);
}

TEST_CASE("a broken stream is resumed at another engine without a gap",
          "[process][front]") {
  const FrontDeployment d;
  d.setEngineModes("break", "ok");
  for (int n = 0; n < 4; ++n) {
    const std::string stream = d.call("/stream/a");
    CHECK(hasStatus(stream, 200));
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
  d.setEngineModes("break", "break");
  // Both engines broke the stream off: the response must not look complete.
  CHECK_FALSE(d.call("/stream/a").ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that can't be resumed ends, and nothing follows it",
          "[process][front]") {
  const FrontDeployment d;
  // One engine breaks off, the other responds to the resumption with an error.
  d.setEngineModes("break", "fail");
  for (int n = 0; n < 6; ++n) {
    const std::string response = d.call("/stream/a");
    CHECK(response.starts_with("HTTP/1.1 "));
    CHECK(response.find("HTTP/1.1 ", 1) == std::string::npos);
    if (hasStatus(response, 200))
      CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE("a withdrawn key is refused, also while the store is silent",
          "[process][front]") {
  const FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/a"), 200));
  d.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a"), 401); }));
  CHECK(hasStatus(d.call("/safe/a", "k2"), 200));
  d.control({{"store", "silent"}});
  // While the front can't read which keys are withdrawn, it may neither accept
  // a key nor reject one as unknown. Routes without keys are still served.
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a", "k2"), 503); }));
  CHECK(hasStatus(d.call("/safe/a", "k1"), 503));
  CHECK(hasStatus(d.call("/open/a", ""), 200));
  CHECK(waitForStatus("http://" + loopbackAddress(d.Ports[4]) + "/v1/readiness",
                      503));
  d.control({{"store", "ok"}});
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a", "k2"), 200); }));
}

// Guards against a build that doesn't start, or keeps old settings, with the
// file of a later one, as after a roll-back.
TEST_CASE("a setting that only another build knows doesn't stop a front",
          "[process][front]") {
  const FrontDeployment d;
  json settings = d.settings();
  settings["of_another_build"] = 1;
  const std::string path = d.Folder.write("settings.json", settings.dump());
  d.Front->signal(SIGHUP);
  CHECK(d.Front->waitForOutput(R"("event":"settings_reloaded")"));
  CHECK(d.Front->waitForOutput(R"("key":"of_another_build")"));
  CHECK(hasStatus(d.call("/safe/a"), 200));
  // A check of the file still finds it.
  const ProgramResult check =
      runProgram({ZINNIA_BINARY_DIR "/zinnia-front", "--check-settings", path});
  CHECK(check.Exit == 2);
  CHECK(check.Output.find("unknown setting of_another_build") !=
        std::string::npos);
}

TEST_CASE("a draining engine gets no more calls", "[process][front]") {
  const FrontDeployment d;
  d.putRow("servers", "i-0", d.engineEntryOf(0, "draining"));
  d.setEngineModes("reset", "ok");
  CHECK(waitUntil([&] {
    for (int n = 0; n < 6; ++n)
      if (!hasStatus(d.call("/unsafe/a"), 200))
        return false;
    return true;
  }));
}

TEST_CASE("odd entries of another writer neither end a front nor stop it from "
          "following the list",
          "[process][front]") {
  FrontDeployment d;
  const auto putraw = [&](const char *table, const std::string &key,
                          const std::string &value) {
    d.control({{"row", rawTableRow(table, key, value)}});
  };
  const std::string deep = std::string(300'000, '[');
  const std::string entry = d.engineEntryOf(0, "ready").dump();
  const auto replaced = [&](const std::string &what, const std::string &with) {
    std::string out = entry;
    return out.replace(out.find(what), what.size(), with);
  };
  putraw("servers", "odd-0", deep + std::string(300'000, ']'));
  putraw("servers", "odd-1", deep);
  putraw("servers", "odd-2", replaced("\"slots\":4", "\"slots\":1e999"));
  putraw("servers", "odd-3", replaced("\"slots\":4", "\"slots\":4294967297"));
  putraw("servers", "odd-4",
         replaced(loopbackAddress(d.Ports[1]), "127.0.0.1:99999"));
  putraw("servers", "odd\r\n5", entry);
  putraw("op", "rollout/pool", R"({"target":"v2","duration_s":1e300})");
  putraw("status", "rollout/pool", deep);
  putraw("fronts", "odd", deep);
  // The front follows the list as before.
  d.setEngineModes("reset", "ok");
  d.putRow("servers", "i-0", d.engineEntryOf(0, "draining"));
  CHECK(waitUntil([&] {
    for (int n = 0; n < 6; ++n)
      if (!hasStatus(d.call("/unsafe/a"), 200))
        return false;
    return true;
  }));
  // Operators' rows as well.
  d.putRow("op", "config", configOf(8, {"k2"}));
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a", "k2"), 200); }));
  CHECK_FALSE(d.Front->wait(Duration::zero()));
}

TEST_CASE("a front completes its calls before it stops", "[process][front]") {
  FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/a"), 200));
  d.Front->signal(SIGTERM);
  CHECK(waitForStatus("http://" + loopbackAddress(d.Ports[4]) + "/v1/readiness",
                      503));
  const std::string lastcall = d.call("/safe/a");
  CHECK(hasStatus(lastcall, 200));
  CHECK(lastcall.find("Connection: close") != std::string::npos);
  CHECK(d.Front->wait() == 0);
  CHECK(d.Front->output().find("\"event\":\"stopped\"") != std::string::npos);
}

TEST_CASE("each call is logged and counted", "[process][front]") {
  const FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/logged"), 200));
  CHECK(d.Front->waitForOutput("\"event\":\"call_end\""));
  CHECK(d.Front->output().find("\"end\":\"served\"") != std::string::npos);
  const auto metrics =
      callHttp("GET", "http://" + loopbackAddress(d.Ports[5]) + "/metrics");
  CHECK(metrics.Status == 200);
  CHECK(metrics.Body.find("zinnia_calls_total{") != std::string::npos);
}

TEST_CASE("invalid settings are refused with the paths of their faults",
          "[process][front]") {
  const ScratchFolder folder;
  const ProgramResult res = runProgram(
      {ZINNIA_BINARY_DIR "/zinnia-front", "--check-settings",
       folder.write("bad.json", R"({"node": 7, "callers": "nowhere"})")});
  CHECK(res.Exit == 2);
  CHECK(res.Output.find("/node") != std::string::npos);
  CHECK(res.Output.find("/callers") != std::string::npos);
}

TEST_CASE("an idempotent call is retried if its engine doesn't respond",
          "[process][front]") {
  const FrontDeployment d;
  d.setEngineModes("silent", "ok");
  for (int n = 0; n < 4; ++n)
    CHECK(hasStatus(d.call("/safe/a"), 200));
  CHECK(hasStatus(d.call("/stream/a"), 200));
  // The front waits for a call that may run only once; its outcome stays
  // unknown.
  d.setEngineModes("silent", "silent");
  CHECK(hasStatus(d.call("/unsafe/a"), 504));
}

TEST_CASE("a front that reads through another always recognises keys",
          "[process][front]") {
  FrontDeployment d;
  const auto ports = freePorts(5);
  const Process second(
      {ZINNIA_BINARY_DIR "/zinnia-front",
       d.Folder.write("second.json",
                      frontSettings("front-2", {ports[0], ports[1], ports[2],
                                                ports[3], d.Ports[0], ports[4]})
                          .dump())});
  REQUIRE(waitForStatus("http://" + loopbackAddress(ports[1]) + "/v1/readiness",
                        200));
  const std::string delegated = "\"event\":\"reads_for_others\",\"reads\":0";
  REQUIRE(waitUntil([&] {
    return second.output().find(delegated) != std::string::npos ||
           d.Front->output().find(delegated) != std::string::npos;
  }));
  // A front renews the proof that its plan is the latest every one or two
  // seconds; this is several times as long.
  const Time end = monotonicNow() + std::chrono::seconds(5);
  while (monotonicNow() < end)
    for (const std::uint16_t port : {d.Ports[3], ports[0]}) {
      REQUIRE(hasStatus(d.call("/safe/a", "k1", {}, port), 200));
      REQUIRE(hasStatus(d.call("/safe/a", "k9", {}, port), 401));
    }
}
