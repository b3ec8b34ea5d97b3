// Runs the process tests. A broken invariant ends the run.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/board/invariant.h"

int main(int argc, char **argv) {
  zinniagauge::setInvariantsFatal(true);
  zinniagauge::initHttpClient();
  return Catch::Session().run(argc, argv);
}
