// Implements the addition of version statistics.
#include "zinniagauge/decide/version_stats_sum.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void add(VersionStatsCounts &to, const VersionStatsCounts &from) noexcept {
  to.Requests += from.Requests;
  to.Failures += from.Failures;
  to.FirstTokenNanos += from.FirstTokenNanos;
  to.TotalNanos += from.TotalNanos;
  to.OutputTokens += from.OutputTokens;
  to.SlowResponses += from.SlowResponses;
}

} // namespace

void addVersionStats(VersionStatsList &sum,
                     std::span<const VersionStats> more) {
  for (const VersionStats &e : more) {
    const auto it =
        std::lower_bound(sum.Rows.begin(), sum.Rows.end(), e,
                         [](const VersionStats &a, const VersionStats &b) {
                           return a.Key < b.Key;
                         });
    if (it != sum.Rows.end() && it->Key == e.Key)
      add(it->Counts, e.Counts);
    else
      sum.Rows.insert(it, e);
  }
}

} // namespace zinniagauge
