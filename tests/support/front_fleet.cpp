// Implements the fleet of fronts.
#include "support/front_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

namespace zinniagauge::testing {

FrontFleet::FrontFleet(FleetLinks links) {
  const bool narrow = links == FleetLinks::Narrow;
  for (int n = 2; n <= 5; ++n) {
    const std::string name = "front-" + std::to_string(n);
    Ports.push_back(freePorts(5));
    const auto &p = Ports.back();
    nlohmann::json set = frontSettings(
        name, {p[0], p[1], p[2], p[3], D.Ports[narrow ? 8 : 0], p[4]});
    if (narrow) {
      set["cpu_share"] = 0.12;
      set["link_mbps"] = 10;
    }
    More.push_back(std::make_unique<Process>(
        std::vector<std::string>{ZINNIA_BINARY_DIR "/zinnia-front",
                                 D.Folder.write(name + ".json", set.dump())}));
  }
  for (const auto &p : Ports)
    REQUIRE(waitForStatus("http://" + loopbackAddress(p[1]) + "/v1/readiness",
                          200));
}

bool FrontFleet::holdsSlot(const Process &front) {
  return front.output().find("\"event\":\"coordinates\",\"holds_slot\":1") !=
         std::string::npos;
}

std::size_t FrontFleet::holders() const {
  std::size_t count = holdsSlot(*D.Front) ? 1 : 0;
  for (const auto &f : More)
    count += holdsSlot(*f) ? 1 : 0;
  return count;
}

std::string FrontFleet::planLines() const {
  std::string out;
  const auto append = [&](const std::string &log) {
    std::istringstream in(log);
    for (std::string line; std::getline(in, line);)
      if (line.find("\"event\":\"plan\"") != std::string::npos ||
          line.find("\"event\":\"reads_for_others\"") != std::string::npos ||
          line.find("\"event\":\"rows_not_passed_on\"") != std::string::npos)
        out.append(line).append("\n");
  };
  append(D.Front->output());
  for (const auto &f : More)
    append(f->output());
  return out;
}

bool FrontFleet::allRespond(const char *key, int status,
                            const char *path) const {
  if (!hasStatus(D.call(path, key), status))
    return false;
  return std::all_of(Ports.begin(), Ports.end(), [&](const auto &p) {
    return p.empty() || hasStatus(D.call(path, key, {}, p[0]), status);
  });
}

} // namespace zinniagauge::testing
