#include "support/dispatch_verbs.h"
#include "support/scenario.h"

namespace zinniagauge::testing {

void addAllVerbs(VerbTable &t) {
  addClockVerbs(t);
  addDispatchVerbs(t);
}

} // namespace zinniagauge::testing
