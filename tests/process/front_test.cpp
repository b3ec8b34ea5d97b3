// The front program with a stand-in of the users' platform: each promise to
// callers as they see it.
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
  // The engine learns whose call it is, and never the key.
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

TEST_CASE("what hasn't run goes to another engine, or is refused as such",
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

TEST_CASE("a stream that breaks goes on elsewhere without a gap",
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
  // Both broke: the answer must not look whole.
  CHECK_FALSE(d.call("/stream/a").ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that can't go on ends, and nothing else follows it",
          "[process][front]") {
  const FrontDeployment d;
  // One breaks off, the other answers the rest with a failure of its own.
  d.setEngineModes("break", "fail");
  for (int n = 0; n < 6; ++n) {
    const std::string answer = d.call("/stream/a");
    CHECK(answer.starts_with("HTTP/1.1 "));
    CHECK(answer.find("HTTP/1.1 ", 1) == std::string::npos);
    if (hasStatus(answer, 200))
      CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE("a withdrawn key stops, also while the store is out",
          "[process][front]") {
  const FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/a"), 200));
  d.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a"), 401); }));
  CHECK(hasStatus(d.call("/safe/a", "k2"), 200));
  d.control({{"store", "silent"}});
  // Without news of withdrawn keys none may be used; nor may one be called
  // unknown. What needs no key goes on.
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a", "k2"), 503); }));
  CHECK(hasStatus(d.call("/safe/a", "k1"), 503));
  CHECK(hasStatus(d.call("/open/a", ""), 200));
  CHECK(waitForStatus("http://" + loopbackAddress(d.Ports[4]) + "/v1/readiness",
                      503));
  d.control({{"store", "ok"}});
  CHECK(waitUntil([&] { return hasStatus(d.call("/safe/a", "k2"), 200); }));
}

TEST_CASE("an engine that leaves gets no more calls", "[process][front]") {
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

TEST_CASE("a front that is told to stop ends what it began",
          "[process][front]") {
  FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/a"), 200));
  d.Front->signal(SIGTERM);
  CHECK(waitForStatus("http://" + loopbackAddress(d.Ports[4]) + "/v1/readiness",
                      503));
  const std::string late = d.call("/safe/a");
  CHECK(hasStatus(late, 200));
  CHECK(late.find("Connection: close") != std::string::npos);
  CHECK(d.Front->wait() == 0);
  CHECK(d.Front->output().find("\"event\":\"stopped\"") != std::string::npos);
}

TEST_CASE("logs and metrics tell of each call", "[process][front]") {
  const FrontDeployment d;
  CHECK(hasStatus(d.call("/safe/logged"), 200));
  CHECK(d.Front->waitForOutput("\"event\":\"call_end\""));
  CHECK(d.Front->output().find("\"end\":\"served\"") != std::string::npos);
  const auto numbers =
      callHttp("GET", "http://" + loopbackAddress(d.Ports[5]) + "/metrics");
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
  const FrontDeployment d;
  d.setEngineModes("silent", "ok");
  for (int n = 0; n < 4; ++n)
    CHECK(hasStatus(d.call("/safe/a"), 200));
  CHECK(hasStatus(d.call("/stream/a"), 200));
  // What may run once is waited for, and its outcome isn't known.
  d.setEngineModes("silent", "silent");
  CHECK(hasStatus(d.call("/unsafe/a"), 504));
}

TEST_CASE("a front that lets another read serves keys all the time",
          "[process][front]") {
  FrontDeployment d;
  const auto ports = freePorts(4);
  const Process second(
      {ZINNIA_BINARY_DIR "/zinnia-front",
       d.Folder.write("second.json",
                      frontSettings("front-2", {ports[0], ports[1], ports[2],
                                                ports[3], d.Ports[0]})
                          .dump())});
  REQUIRE(waitForStatus("http://" + loopbackAddress(ports[1]) + "/v1/readiness",
                        200));
  const std::string lets = "\"event\":\"reads_for_others\",\"reads\":0";
  REQUIRE(waitUntil([&] {
    return second.output().find(lets) != std::string::npos ||
           d.Front->output().find(lets) != std::string::npos;
  }));
  // Proofs are renewed every second or two; this is several times that.
  const Time end = monotonicNow() + std::chrono::seconds(5);
  while (monotonicNow() < end)
    for (const std::uint16_t port : {d.Ports[3], ports[0]}) {
      REQUIRE(hasStatus(d.call("/safe/a", "k1", {}, port), 200));
      REQUIRE(hasStatus(d.call("/safe/a", "k9", {}, port), 401));
    }
}
