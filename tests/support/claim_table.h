// A fake of the platform's table of claims, and its faults.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_CLAIM_TABLE_H
#define ZINNIAGAUGE_TESTS_SUPPORT_CLAIM_TABLE_H

#include "zinniagauge/decide/claim.h"

#include <cstdint>
#include <map>
#include <vector>

namespace zinniagauge::testing {

/// A claim's row with its version.
struct StoredClaim {
  ClaimRow Row;
  std::uint64_t Version = 0;
};

/// The rows of all claims.
struct ClaimTable {
  std::map<ClaimKey, StoredClaim> Rows;
  std::uint64_t LastVersion = 0;
};

/// How the table handles the next transactions.
enum class TableFault : std::uint8_t {
  None,
  Unavailable,   ///< Refuses them, without effect.
  LostResponse,  ///< They take effect; the response is lost.
  DelayedEffect, ///< The response is lost; they take effect later.
  NoResponse,    ///< Neither effect nor response.
};

/// Applies a transaction, and returns one result for each operation.
std::vector<ClaimOpResult> apply(ClaimTable &t, const ClaimBatch &batch);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_CLAIM_TABLE_H
