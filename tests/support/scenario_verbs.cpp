// Collects the scenario verbs of all parts of the project.
#include "support/bundle_verbs.h"
#include "support/dispatch_verbs.h"
#include "support/scenario.h"

namespace zinniagauge::testing {

void addAllVerbs(VerbTable &t) {
  addClockVerbs(t);
  addBundleVerbs(t);
  addDispatchVerbs(t);
}

} // namespace zinniagauge::testing
