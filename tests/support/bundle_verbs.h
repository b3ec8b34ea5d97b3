// Scenario verbs for bundles: approvals, propagation and recovery.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_VERBS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_VERBS_H

#include "support/scenario.h"

namespace zinniagauge::testing {

/// Adds the verbs of docs/SCENARIOS.md, "Verbs of bundles".
void addBundleVerbs(VerbTable &t);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_VERBS_H
