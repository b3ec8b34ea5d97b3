// The promises that a fault soak checks.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CHECKS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CHECKS_H

#include "support/soak_world.h"

#include <string>
#include <vector>

namespace zinniagauge::testing {

/// Each promise that was broken, in one line with the call and the times in
/// seconds since the first call; those seen while it ran included.
[[nodiscard]] std::vector<std::string> brokenPromises(const SoakWorld &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CHECKS_H
