// Runs the unit tests. A broken invariant ends the run.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "zinniagauge/board/invariant.h"

#include <cstdlib>

int main(int argc, char **argv) {
  zinniagauge::setInvariantsFatal(true);
  // The fixed seed makes randomised tests reproducible. An RC_PARAMS that is
  // already set takes precedence.
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  return Catch::Session().run(argc, argv);
}
