#include "zinniagauge/decide/response_baseline.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Weight of the latest response in the averages.
constexpr double ResponseWeight = 0.05;

double millis(Duration d) noexcept {
  return std::chrono::duration<double, std::milli>(d).count();
}

double unitMs(const ResponseTimes &times) noexcept {
  return times.Units > 0 ? millis(times.Rest) / times.Units : 0;
}

/// Moves \p median by a fraction \p weight of itself towards \p ms.
void addTo(double &median, double ms, double weight) noexcept {
  if (ms <= 0)
    return;
  if (median <= 0)
    median = ms;
  else if (ms > median)
    median = std::min(ms, median * (1 + weight));
  else
    median = std::max(ms, median / (1 + weight));
}

} // namespace

bool isSlow(const ResponseBaseline &base, const ResponseTimes &times) noexcept {
  if (base.Responses < MinBaselineResponses)
    return false;
  const double unit = unitMs(times);
  return millis(times.First) > base.FirstMs * SlowRatio ||
         (base.UnitMs > 0 && unit > base.UnitMs * SlowRatio);
}

void addResponse(ResponseBaseline &base, const ResponseTimes &times) noexcept {
  ++base.Responses;
  const double weight = std::max(ResponseWeight, 1.0 / base.Responses);
  addTo(base.FirstMs, millis(times.First), weight);
  addTo(base.UnitMs, unitMs(times), weight);
}

} // namespace zinniagauge
