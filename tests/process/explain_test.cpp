// Tests that "zinniactl explain" states the right cause for calls that failed
// in different ways, with the front's log as its only input.
#include "support/front_deployment.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

const std::string Ctl = std::string(ZINNIA_BINARY_DIR) + "/zinniactl";

/// The explanation of the last call of \p d. Waits until the end of the call is
/// logged.
json explanationOf(const FrontDeployment &d) {
  const std::string id = "call-" + std::to_string(d.LastCall);
  json explanation;
  REQUIRE(waitUntil([&] {
    const ProgramResult res =
        runProgram({Ctl, "explain", "--json", id,
                    d.Folder.write("log", d.Front->output())});
    if (res.Exit != 0)
      return false;
    explanation = json::parse(res.Output);
    return explanation.at("cause") != "its front logged no end of it";
  }));
  return explanation;
}

std::string causeOf(const FrontDeployment &d) {
  return explanationOf(d).at("cause").get<std::string>();
}

std::string reasonOf(const FrontDeployment &d) {
  return explanationOf(d).at("because").get<std::string>();
}

} // namespace

TEST_CASE("explain states what the plan didn't allow", "[process][explain]") {
  const FrontDeployment d;
  REQUIRE(hasStatus(d.call("/safe/a"), 200));
  CHECK(causeOf(d) == "served");
  REQUIRE(hasStatus(d.call("/safe/a", "k9"), 401));
  CHECK(causeOf(d) == "the plan has no such key");
  REQUIRE(hasStatus(d.call("/none/a"), 404));
  CHECK(causeOf(d) == "the plan has no such route");
  CHECK(reasonOf(d).find("plan 7") != std::string::npos);
  REQUIRE(hasStatus(d.call("/safe/a", "k1", "Transfer-Encoding: chunked\r\n"),
                    400));
  CHECK(causeOf(d) == "the request could not be taken");
}

TEST_CASE("explain states how a back end failed a call", "[process][explain]") {
  const FrontDeployment d;
  d.setEngineModes("reset", "reset");
  REQUIRE(hasStatus(d.call("/unsafe/a"), 502));
  CHECK(causeOf(d) == "it was sent and no sound answer came");
  CHECK(reasonOf(d).find("reset") != std::string::npos);
  CHECK(reasonOf(d).find("i-") != std::string::npos);
  d.setEngineModes("fail", "fail");
  REQUIRE(hasStatus(d.call("/unsafe/a"), 500));
  CHECK(causeOf(d) == "a back end answered with a failure");
  d.setEngineModes("not_run", "not_run");
  REQUIRE(hasStatus(d.call("/unsafe/a"), 503));
  CHECK(causeOf(d) == "each back end that was tried refused it");
  d.setEngineModes("break", "break");
  static_cast<void>(d.call("/stream/a"));
  CHECK(causeOf(d) == "its stream ended early");
  d.setEngineModes("silent", "silent");
  REQUIRE(hasStatus(d.call("/unsafe/a"), 504));
  CHECK(causeOf(d) == "its time was over while a back end had it");
}

TEST_CASE("explain states a spent allowance and missing back ends",
          "[process][explain]") {
  const FrontDeployment d;
  d.putRow("op", "config", configOf(8, {"k1"}, 1));
  std::string response;
  REQUIRE(waitUntil([&] {
    response = d.call("/safe/a");
    return hasStatus(response, 429);
  }));
  CHECK(causeOf(d).find("allowance") != std::string::npos);
  CHECK(reasonOf(d).find("rate_per_s 1") != std::string::npos);
  d.putRow("op", "config", configOf(9, {"k1"}));
  const std::uint16_t unusedport = freePorts(1)[0]; // Refuses connections.
  for (int n = 0; n < 2; ++n) {
    json unreachable = d.engineEntryOf(n, "ready");
    unreachable["address"] = loopbackAddress(unusedport);
    unreachable["born"] = 2000 + n;
    d.putRow("servers", "i-" + std::to_string(n), unreachable);
  }
  REQUIRE(waitUntil([&] { return hasStatus(d.call("/unsafe/a"), 503); }));
  CHECK(causeOf(d) == "no back end that was tried could be reached");
  for (int n = 0; n < 2; ++n)
    d.putRow("servers", "i-" + std::to_string(n),
             d.engineEntryOf(n, "draining"));
  REQUIRE(waitUntil([&] {
    return hasStatus(d.call("/unsafe/a"), 503) &&
           causeOf(d) == "no back end had room in time";
  }));
}

TEST_CASE("explain names the outage that made a plan too old",
          "[process][explain]") {
  const FrontDeployment d;
  d.control({{"store", "busy"}});
  REQUIRE(waitUntil([&] { return hasStatus(d.call("/safe/a"), 503); }));
  CHECK(causeOf(d) == "the front could not prove its plan to be the latest");
  CHECK(reasonOf(d).find("table service lost for plan") != std::string::npos);
}

TEST_CASE("causes counts every call, and timeline lists a back end's states",
          "[process][explain]") {
  const FrontDeployment d;
  REQUIRE(hasStatus(d.call("/safe/a"), 200));
  d.setEngineModes("fail", "fail");
  for (int n = 0; n < 3; ++n)
    REQUIRE(hasStatus(d.call("/unsafe/a"), 500));
  static_cast<void>(explanationOf(d));
  const std::string log = d.Folder.write("log", d.Front->output());
  const ProgramResult causes = runProgram({Ctl, "causes", "--json", log});
  REQUIRE(causes.Exit == 0);
  const json counts = json::parse(causes.Output);
  REQUIRE(counts.size() == 2);
  CHECK(counts[0].at("calls") == 3);
  CHECK(counts[0].at("cause") == "a back end answered with a failure");
  CHECK(counts[1].at("calls") == 1);
  const ProgramResult timeline = runProgram({Ctl, "timeline", "i-0", log});
  CHECK(timeline.Exit == 0);
  CHECK(timeline.Output.find("state ready") != std::string::npos);
  CHECK(runProgram({Ctl, "explain", "call-99", log}).Exit == 1);
}
