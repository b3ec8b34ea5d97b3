// Short runs of the fault soak, with each seed that has failed before and one
// more.
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace zinniagauge::testing;

namespace {

struct SoakSeed {
  std::string Seed;
  std::string Seconds;
};

std::vector<SoakSeed> failedSeeds() {
  std::ifstream in(ZINNIA_SOURCE_DIR "/tests/soak/seeds.txt");
  std::vector<SoakSeed> out;
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    SoakSeed s;
    if (!line.starts_with("#") && words >> s.Seed >> s.Seconds)
      out.push_back(std::move(s));
  }
  return out;
}

} // namespace

TEST_CASE("guarantees hold under faults, also with seeds that failed before",
          "[process][soak]") {
  std::vector<SoakSeed> seeds = failedSeeds();
  REQUIRE_FALSE(seeds.empty());
  seeds.push_back({"1001", "10"});
  std::vector<Process> runs;
  const std::string soak = std::string(ZINNIA_BINARY_DIR) + "/fault-soak";
  for (const SoakSeed &s : seeds)
    runs.emplace_back(std::vector<std::string>{soak, "--seed", s.Seed,
                                               "--seconds", s.Seconds});
  for (Process &run : runs) {
    const auto rc = run.wait(std::chrono::seconds(120));
    INFO(run.output());
    CHECK(rc == 0);
  }
}
