// Tests the platform's adapter against the platform's stand-in.
#include "support/processes.h"
#include "zinniagauge/adapt/platform.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// A stand-in process of the platform, and the adapter connected to it.
struct PlatformStandIn {
  std::string Url = "http://127.0.0.1:" + std::to_string(freePorts(1).front());
  Process Proc{{ZINNIA_BINARY_DIR "/standin-platform", "--listen",
                Url.substr(std::string("http://").size())}};
  Platform Api = makeHttpPlatform(Url, std::chrono::milliseconds(500));

  PlatformStandIn() { REQUIRE(Proc.waitForOutput("serves")); }

  void faults(const std::string &body) const {
    REQUIRE(callHttp("POST", Url + "/faults", body).Status == 200);
  }
};

TableTransaction swapOf(std::uint64_t expected, std::string val) {
  return {{{TableOpKind::CompareAndSwap, "head", std::move(val), expected}},
          true};
}

template <typename Fn> ErrorCode codeOf(Fn &&fn) {
  return handleResult(
      fn, [](const auto &) { return ErrorCode::Disconnected; },
      [](const Error &err) { return err.Code; });
}

} // namespace

TEST_CASE("the table swaps, and each of its faults has its own error",
          "[process][platform]") {
  const PlatformStandIn p;
  const auto swapped = [&](std::uint64_t expected) {
    return handleResult([&] { return p.Api.Transact(swapOf(expected, "a")); },
                        [](const TableResult &res) { return res.Committed; },
                        [](const Error &) { return false; });
  };
  CHECK(swapped(0));
  CHECK_FALSE(swapped(0));
  CHECK(swapped(1));

  p.faults(R"({"service": "table", "outage": true})");
  CHECK(codeOf([&] { return p.Api.Transact(swapOf(2, "b")); }) ==
        ErrorCode::Unavailable);
  p.faults(R"({"service": "table", "outage": false, "lost_answers": 1})");
  CHECK(codeOf([&] { return p.Api.Transact(swapOf(2, "b")); }) ==
        ErrorCode::Broken);
  p.faults(R"({"service": "table", "silent": true, "lost_answers": 1})");
  CHECK(codeOf([&] { return p.Api.Transact(swapOf(3, "c")); }) ==
        ErrorCode::TimedOut);
  // Both writes whose responses were lost took effect.
  CHECK(swapped(4));
  CHECK(callHttp("GET", p.Url + "/counts").Body.find("\"lost\":2") !=
        std::string::npos);
}

TEST_CASE("the platform stores objects and lists VMs", "[process][platform]") {
  const PlatformStandIn p;
  CHECK(codeOf([&] { return p.Api.GetObject("a"); }) == ErrorCode::NotFound);
  const bool put =
      handleResult([&] { return p.Api.PutObject("a", "text"); },
                   [] { return true; }, [](const Error &) { return false; });
  CHECK(put);
  CHECK(handleResult([&] { return p.Api.GetObject("a"); },
                     [](const std::string &text) { return text; },
                     [](const Error &) { return std::string(); }) == "text");
  REQUIRE(callHttp("POST", p.Url + "/vms",
                   R"({"name": "vm-1", "zone": "split",)"
                   R"( "agent_address": "127.0.0.1:1", "leaving": true})")
              .Status == 200);
  const auto vms =
      handleResult([&] { return p.Api.ListVms(); },
                   [](std::vector<VmEntry> list) { return list; },
                   [](const Error &) { return std::vector<VmEntry>(); });
  REQUIRE(vms.size() == 1);
  CHECK(vms[0].Leaving);
}
