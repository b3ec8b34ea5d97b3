// Conversion between claims and rows of the platform's table.
#ifndef ZINNIAGAUGE_ADAPT_CLAIM_ROWS_H
#define ZINNIAGAUGE_ADAPT_CLAIM_ROWS_H

#include "zinniagauge/board/table.h"
#include "zinniagauge/decide/claim.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// Returns the row's name: "claims/" and the key in hexadecimal.
[[nodiscard]] std::string claimRowName(const ClaimKey &key);

/// Returns the row's value: a JSON object.
[[nodiscard]] std::string encodeClaimRow(const ClaimRow &row);

/// Decodes a value of encodeClaimRow. A value that can't be decoded becomes a
/// row with an empty holder, which matches no request, so that no request takes
/// the row for its own claim.
[[nodiscard]] ClaimRow decodeClaimRow(std::string_view text);

/// Converts \p batch to a transaction whose operations apply independently of
/// each other.
[[nodiscard]] TableTransaction toTransaction(const ClaimBatch &batch);

/// Converts the table's result of the transaction to the result of \p batch.
[[nodiscard]] ClaimBatchResult toBatchResult(const ClaimBatch &batch,
                                             const TableResult &res);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CLAIM_ROWS_H
