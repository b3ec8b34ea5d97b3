#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "zinniagauge/board/invariant.h"

int main(int argc, char **argv) {
  zinniagauge::setInvariantsFatal(true);
  return Catch::Session().run(argc, argv);
}
