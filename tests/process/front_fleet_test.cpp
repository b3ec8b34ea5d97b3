// Tests several fronts of one zone: three coordinate, the others report to one
// of them, and the loss of a coordinator stops nothing.
#include "support/front_deployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// The front of FrontDeployment and four more.
struct Fleet {
  FrontDeployment D;
  std::vector<std::vector<std::uint16_t>> Ports;
  std::vector<std::unique_ptr<Process>> More;

  Fleet() {
    for (int n = 2; n <= 5; ++n) {
      const std::string name = "front-" + std::to_string(n);
      Ports.push_back(freePorts(4));
      const auto &p = Ports.back();
      More.push_back(std::make_unique<Process>(std::vector<std::string>{
          ZINNIA_BINARY_DIR "/zinnia-front",
          D.Folder.write(name + ".json", frontSettings(name, {p[0], p[1], p[2],
                                                              p[3], D.Ports[0]})
                                             .dump())}));
    }
    for (const auto &p : Ports)
      REQUIRE(waitForStatus("http://" + loopbackAddress(p[1]) + "/v1/readiness",
                            200));
  }

  [[nodiscard]] static bool holdsSlot(const Process &front) {
    return front.output().find("\"event\":\"coordinates\",\"holds_slot\":1") !=
           std::string::npos;
  }

  [[nodiscard]] std::size_t holders() const {
    std::size_t count = holdsSlot(*D.Front) ? 1 : 0;
    for (const auto &f : More)
      count += holdsSlot(*f) ? 1 : 0;
    return count;
  }

  /// Whether a call with \p key gets \p status at the front and each of the
  /// others that runs.
  [[nodiscard]] bool allRespond(const char *key, int status) const {
    if (!hasStatus(D.call("/unsafe/a", key), status))
      return false;
    return std::all_of(Ports.begin(), Ports.end(), [&](const auto &p) {
      return p.empty() || hasStatus(D.call("/unsafe/a", key, {}, p[0]), status);
    });
  }
};

} // namespace

TEST_CASE("three fronts of a zone coordinate, and one of them may die",
          "[process][front]") {
  Fleet fleet;
  REQUIRE(waitUntil([&] { return fleet.holders() == 3; }));
  // The others are members: their coordinator reads the store for them.
  CHECK(waitUntil([&] {
    return std::all_of(
        fleet.More.begin(), fleet.More.end(), [&](const auto &f) {
          return Fleet::holdsSlot(*f) ||
                 f->output().find("\"event\":\"reads_for_others\","
                                  "\"reads\":0") != std::string::npos;
        });
  }));
  CHECK(fleet.allRespond("k1", 200));

  const auto victim =
      std::find_if(fleet.More.begin(), fleet.More.end(),
                   [](const auto &f) { return Fleet::holdsSlot(*f); });
  REQUIRE(victim != fleet.More.end());
  (*victim)->signal(SIGKILL);
  fleet.Ports[static_cast<std::size_t>(victim - fleet.More.begin())].clear();
  CHECK(fleet.allRespond("k1", 200));

  // Changes of the plan and of the back ends still reach all fronts.
  fleet.D.putRow("op", "config", configOf(9, {"k2"}));
  CHECK(waitUntil([&] { return fleet.allRespond("k1", 401); }));
  CHECK(fleet.allRespond("k2", 200));
  fleet.D.putRow("servers", "i-0", fleet.D.engineEntryOf(0, "draining"));
  fleet.D.setEngineModes("reset", "ok");
  CHECK(waitUntil([&] {
    for (int n = 0; n < 3; ++n)
      if (!fleet.allRespond("k2", 200))
        return false;
    return true;
  }));
}
