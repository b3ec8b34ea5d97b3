// Property tests with a fixed seed, so that the result is reproducible.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SEEDED_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SEEDED_H

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <utility>

namespace zinniagauge::support {

/// Whether \p property holds in \p runs runs from \p seed; prints the shrunk
/// counterexample if it doesn't.
template <typename Fn>
[[nodiscard]] bool propertyHolds(Fn &&property, std::uint64_t seed, int runs) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  const auto result = rc::detail::checkTestable(
      std::forward<Fn>(property), rc::detail::TestMetadata{}, params);
  if (result.template is<rc::detail::SuccessResult>())
    return true;
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\nseed " << seed << "\n";
  return false;
}

} // namespace zinniagauge::support

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SEEDED_H
