// The platform's table, as far as claims need it, with its faults.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_CLAIM_TABLE_H
#define ZINNIAGAUGE_TESTS_SUPPORT_CLAIM_TABLE_H

#include "zinniagauge/decide/claim.h"

#include <cstdint>
#include <map>
#include <vector>

namespace zinniagauge::testing {

/// A row with its version.
struct StoredClaim {
  ClaimRow Row;
  std::uint64_t Version = 0;
};

/// All claims' rows.
struct ClaimTable {
  std::map<ClaimKey, StoredClaim> Rows;
  std::uint64_t LastVersion = 0;
};

/// What the table does with the next transactions.
enum class TableFault : std::uint8_t {
  None,
  Unavailable,   ///< Refuses: no effect.
  LostResponse,  ///< Takes effect; the answer is lost.
  DelayedEffect, ///< The answer is lost, and the effect comes later.
  NoResponse,    ///< No effect, no answer.
};

/// Applies a transaction.
std::vector<ClaimOpResult> apply(ClaimTable &t, const ClaimBatch &batch);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_CLAIM_TABLE_H
