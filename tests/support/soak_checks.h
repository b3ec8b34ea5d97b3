// The guarantees that a fault soak checks.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CHECKS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CHECKS_H

#include "support/soak_world.h"

#include <string>
#include <vector>

namespace zinniagauge::testing {

/// Returns one line for each violated guarantee, with the call and the times in
/// seconds since the first fault. Violations found while the soak ran are
/// included.
[[nodiscard]] std::vector<std::string> findViolations(const SoakWorld &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SOAK_CHECKS_H
