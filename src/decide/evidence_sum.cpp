#include "zinniagauge/decide/evidence_sum.h"

#include <algorithm>

namespace zinniagauge {

namespace {

void add(EvidenceCounts &to, const EvidenceCounts &from) noexcept {
  to.Requests += from.Requests;
  to.Failures += from.Failures;
  to.FirstTokenNanos += from.FirstTokenNanos;
  to.TotalNanos += from.TotalNanos;
  to.OutputTokens += from.OutputTokens;
}

} // namespace

void addEvidence(EvidenceList &sum, std::span<const Evidence> more) {
  for (const Evidence &e : more) {
    const auto it = std::lower_bound(
        sum.Rows.begin(), sum.Rows.end(), e,
        [](const Evidence &a, const Evidence &b) { return a.Key < b.Key; });
    if (it != sum.Rows.end() && it->Key == e.Key)
      add(it->Counts, e.Counts);
    else
      sum.Rows.insert(it, e);
  }
}

} // namespace zinniagauge
